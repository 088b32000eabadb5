package mux_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/proof/liveheap"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
)

const (
	// maxAnswer is the largest answer that the client reads.
	maxAnswer = 1 << 20
	// endlessCalls is the number of calls at the same time.
	endlessCalls = 32
	// endlessTimeout is how long a call waits for its answer.
	endlessTimeout = time.Second
)

// faultyPeer accepts connections and lets serve write to them until the client closes.
type faultyPeer struct {
	address string
	sent    atomic.Int64
	group   errgroup.Group
}

// startFaultyPeer starts a peer that serves each connection with a function.
func startFaultyPeer(c *qt.C, serve func(p *faultyPeer, conn net.Conn)) *faultyPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &faultyPeer{address: listener.Addr().String()}
	p.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			p.group.Go(func() error {
				defer conn.Close()
				serve(p, conn)
				return nil
			})
		}
	})
	c.Cleanup(func() {
		listener.Close()
		c.Check(p.group.Wait(), qt.IsNil)
	})
	return p
}

// writeEndlessly writes the same bytes again and again until the other side closes.
func (p *faultyPeer) writeEndlessly(w io.Writer, piece []byte, pause time.Duration) {
	for {
		n, err := w.Write(piece)
		p.sent.Add(int64(n))
		if err != nil {
			return
		}
		if err := (azurehitch.SystemClock{}).Sleep(context.Background(), pause); err != nil {
			return
		}
	}
}

// answerStreams accepts the streams of a connection, and answers each with a size and endless bytes.
func (p *faultyPeer) answerStreams(conn net.Conn, size uint32, piece []byte, pause time.Duration) {
	session, err := yamux.Server(conn, yamux.DefaultConfig())
	if err != nil {
		return
	}
	defer session.Close()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		p.group.Go(func() error {
			defer stream.Close()
			if _, err := stream.Write(binary.BigEndian.AppendUint32(nil, size)); err == nil {
				p.writeEndlessly(stream, piece, pause)
			}
			return nil
		})
	}
}

// TestEndlessBytesOfPeerFillMemory checks the memory of a daemon, and that its calls end, while another daemon sends
// bytes that are no answer without end.
func TestEndlessBytesOfPeerFillMemory(t *testing.T) {
	// memory is what the largest answers of all calls may take, in buffers that grow by doubling.
	const memory = 3 * endlessCalls * maxAnswer
	piece := bytes.Repeat([]byte("z"), 64<<10)
	for name, serve := range map[string]func(p *faultyPeer, conn net.Conn){
		"no frames":        func(p *faultyPeer, conn net.Conn) { p.writeEndlessly(conn, piece, 0) },
		"largest answer":   func(p *faultyPeer, conn net.Conn) { p.answerStreams(conn, maxAnswer, piece, 0) },
		"answer too large": func(p *faultyPeer, conn net.Conn) { p.answerStreams(conn, math.MaxUint32, piece, 0) },
		"slow answer": func(p *faultyPeer, conn net.Conn) {
			p.answerStreams(conn, maxAnswer, []byte("z"), time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := startFaultyPeer(c, serve)
			client := mux.NewClient("daemon-1").WithMaxMessage(maxAnswer)
			defer client.Close()
			before := liveheap.Size()
			var calls errgroup.Group
			for range endlessCalls {
				calls.Go(func() error {
					start := time.Now()
					c.Check(call(client, p.address, endlessTimeout), qt.IsNotNil)
					c.Check(time.Since(start) < 2*endlessTimeout, qt.IsTrue)
					return nil
				})
			}
			peak := peakHeapFor(c, endlessTimeout/2)
			c.Assert(calls.Wait(), qt.IsNil)
			c.Assert(p.sent.Load() > 0, qt.IsTrue)
			c.Assert(peak-before < memory, qt.IsTrue, qt.Commentf("heap grew by %d bytes", peak-before))
		})
	}
}

// peakHeapFor returns the largest size of the heap within a period.
func peakHeapFor(c *qt.C, period time.Duration) int64 {
	peak := liveheap.Size()
	for end := time.Now().Add(period); time.Now().Before(end); {
		c.Assert(azurehitch.SystemClock{}.Sleep(c.Context(), 10*time.Millisecond), qt.IsNil)
		peak = max(peak, liveheap.Size())
	}
	return peak
}
