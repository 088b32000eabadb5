package tunnelpeer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/pkg/errors"
)

// Conn is the client's end of a tunnel. A read returns io.EOF only after the server has closed its
// connection; if the tunnel was broken off, the error is another one.
type Conn struct {
	*net.TCPConn
	peer   string
	reader *bufio.Reader
	// remaining is the number of bytes of the current frame that have not been read.
	remaining int
	isEnded   bool
	onClose   func()
}

// Through returns the name of the daemon that the tunnel leads through.
func (c *Conn) Through() string { return c.peer }

// IsSingleUse reports that a tunnel serves one exchange: the daemon on the way takes an open tunnel for a
// request in progress.
func (c *Conn) IsSingleUse() bool { return true }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isEnded {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.readFrameHead(); err != nil {
			return 0, err
		}
	}
	if c.isEnded {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, asBroken(err)
}

// readFrameHead reads the length of the next frame.
func (c *Conn) readFrameHead() error {
	var head [frameHeadBytes]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return asBroken(err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxFrameBytes {
		return errors.Errorf("frame of %d bytes", length)
	}
	c.remaining = int(length)
	c.isEnded = length == 0
	return nil
}

// asBroken returns the error of a read before the last frame. The end of the connection is none of the
// server's.
func asBroken(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}
