package tunnelpeer_test

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/liveheap"

	qt "github.com/frankban/quicktest"
)

// TestEndlessBytesThroughTunnels checks the memory of daemons, on both sides of their tunnels, while servers send
// without end and the callers read nothing.
func TestEndlessBytesThroughTunnels(t *testing.T) {
	const (
		tunnels = 60
		// memory is what connections and their buffers may take on both sides.
		memory  = 32 << 20
		playFor = time.Second
	)
	c := qt.New(t)
	piece := bytes.Repeat([]byte("z"), 64<<10)
	var sent atomic.Int64
	address := startServer(c, func(conn *net.TCPConn) {
		defer conn.Close()
		for {
			n, err := conn.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	d := startDaemon(c, "a", tunnels)
	client := newClient(d)
	before := liveheap.Size()
	for range tunnels {
		conn := dial(c, client, address)
		// A tunnel opens when the first bytes of a request are written.
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.Assert(err, qt.IsNil)
	}
	peak := before
	for end := time.Now().Add(playFor); time.Now().Before(end); {
		peak = max(peak, liveheap.Size())
		c.Assert(azurehitch.SystemClock{}.Sleep(t.Context(), 50*time.Millisecond), qt.IsNil)
	}
	c.Assert(sent.Load() > memory, qt.IsTrue, qt.Commentf("only %d bytes sent", sent.Load()))
	c.Assert(peak-before < memory, qt.IsTrue, qt.Commentf("heap grew by %d bytes", peak-before))
}
