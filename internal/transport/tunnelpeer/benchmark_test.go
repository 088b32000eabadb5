package tunnelpeer_test

import (
	"context"
	"io"
	"net"
	"testing"

	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
)

// answerPieces and pieceBytes are the size of a stream: a head and some events.
const (
	answerPieces = 9
	pieceBytes   = 200
)

// BenchmarkStream sends a request and reads an answer in pieces, on a new connection each time.
func BenchmarkStream(b *testing.B) {
	c := qt.New(b)
	address := startServer(c, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 1<<10))
		for range answerPieces {
			_, _ = conn.Write(make([]byte, pieceBytes))
		}
	})
	for name, dialer := range map[string]connpool.Dialer{
		"direct": connpool.DirectDialer{}, "tunnel": newClient(startDaemon(c, "a", 8)),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				conn, err := dialer.Dial(context.Background(), address)
				c.Assert(err, qt.IsNil)
				_, err = conn.Write(make([]byte, 800))
				c.Assert(err, qt.IsNil)
				answer, err := io.ReadAll(conn)
				c.Assert(err, qt.IsNil)
				c.Assert(answer, qt.HasLen, answerPieces*pieceBytes)
				conn.Close()
			}
		})
	}
}
