package resetconn_test

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"azurehitch/internal/transport/resetconn"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const testTimeout = 5 * time.Second

// pair is a wrapped connection and its peer.
type pair struct {
	*qt.C
	conn net.Conn
	peer *net.TCPConn
}

func newPair(t *testing.T) *pair {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(dialed.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	p := &pair{C: c, conn: resetconn.Wrap(dialed), peer: accepted.(*net.TCPConn)}
	c.Cleanup(func() {
		p.conn.Close()
		p.peer.Close()
	})
	return p
}

// reset has the peer break the connection off.
func (p *pair) reset() {
	p.Assert(p.peer.SetLinger(0), qt.IsNil)
	p.Assert(p.peer.Close(), qt.IsNil)
}

// writeUntilFailure writes until a write fails.
func (p *pair) writeUntilFailure() {
	for err := error(nil); err == nil; {
		_, err = p.conn.Write(make([]byte, 1<<10))
	}
}

func TestEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(p *pair)
		// isOrderly is true if the peer ends its side in order.
		isOrderly bool
	}{
		{"a reset that a write has seen", func(p *pair) { p.reset(); p.writeUntilFailure() }, false},
		{"a reset that nobody has seen", func(p *pair) { p.reset() }, false},
		{"an end", func(p *pair) { p.Assert(p.peer.Close(), qt.IsNil) }, true},
		{"an end, and a reset that a write has seen", func(p *pair) {
			p.Assert(p.peer.CloseWrite(), qt.IsNil)
			p.reset()
			p.writeUntilFailure()
		}, true},
		{"an end of one side", func(p *pair) { p.Assert(p.peer.CloseWrite(), qt.IsNil) }, true},
	} {
		for name, read := range map[string]func(p *pair) ([]byte, error){
			"Read": func(p *pair) ([]byte, error) { return io.ReadAll(struct{ io.Reader }{p.conn}) },
			"Copy": func(p *pair) ([]byte, error) {
				var got bytes.Buffer
				_, err := io.Copy(&got, p.conn)
				return got.Bytes(), err
			},
		} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				p := newPair(t)
				_, err := p.peer.Write([]byte("part"))
				p.Assert(err, qt.IsNil)
				test.end(p)
				got, err := read(p)
				p.Assert(string(got), qt.Equals, "part")
				p.Assert(err == nil, qt.Equals, test.isOrderly, qt.Commentf("%v", err))
			})
		}
	}
}

// TestReadAfterFailure checks that a connection whose failure a read has seen doesn't end in order after it.
func TestReadAfterFailure(t *testing.T) {
	p := newPair(t)
	p.reset()
	_, err := p.conn.Read(make([]byte, 1))
	p.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	_, err = p.conn.Read(make([]byte, 1))
	p.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}

// TestResetSeenByCopy checks that a copy to the connection records a failure as writes do.
func TestResetSeenByCopy(t *testing.T) {
	p := newPair(t)
	p.reset()
	_, err := io.Copy(p.conn, io.LimitReader(neverEnding{}, 64<<20))
	p.Assert(err, qt.IsNotNil)
	_, err = p.conn.Read(make([]byte, 1))
	var failed *resetconn.ErrReset
	p.Assert(err, qt.ErrorAs, &failed)
}

// neverEnding is a reader of zeros that a connection can't read by itself.
type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// TestEndDuringWrite checks that a read doesn't wait for a write that its peer takes nothing of.
func TestEndDuringWrite(t *testing.T) {
	p := newPair(t)
	var group errgroup.Group
	group.Go(func() error {
		_, err := p.conn.Write(make([]byte, 64<<20))
		return err
	})
	p.Assert(p.peer.CloseWrite(), qt.IsNil)
	began := time.Now()
	_, err := p.conn.Read(make([]byte, 1))
	p.Assert(err, qt.Equals, io.EOF)
	p.Assert(time.Since(began) < testTimeout/2, qt.IsTrue)
	p.reset()
	p.Assert(group.Wait(), qt.IsNotNil)
}

func TestOtherConnections(t *testing.T) {
	one, other := net.Pipe()
	defer other.Close()
	defer one.Close()
	qt.Assert(t, resetconn.Wrap(one), qt.Equals, one)
}
