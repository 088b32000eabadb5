package backend_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAnswerResetDuringUpload checks that an answer without a length is not taken for whole whose server resets the
// connection while the request is being sent.
func TestAnswerResetDuringUpload(t *testing.T) {
	const (
		plays       = 20
		requestSize = 8 << 20
	)
	address := startEarlyServer(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart", func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	for name, atMostOnce := range map[string]bool{"pinned": true, "pooled": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for range plays {
				exchange, err := send(address, make([]byte, requestSize), atMostOnce)
				if err == nil {
					_, err = io.ReadAll(exchange.Body())
					exchange.Close()
				}
				c.Check(err, qt.IsNotNil)
			}
		})
	}
}
