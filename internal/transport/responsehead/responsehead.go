// Package responsehead fails the read of an HTTP response whose status no server can mean.
//
// # Usage
//
//	conn = responsehead.Wrap(conn) // for a client that sends one request after the other
//
//	reader := responsehead.NewReader(conn)
//	reader.Begin() // before each request
//	n, err := reader.Read(p)
//
// A status is a number of three digits from 100 to 599; RFC 9110, section 15, calls others invalid. HTTP libraries accept
// them: that of this project takes 000 for a status that was not set, which is 200. Bytes with such a status are no
// response, whatever follows.
package responsehead

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
)

const (
	minStatus   = 100
	firstFinal  = 200
	firstBeyond = 600
	// statusDigits is the length of a status. Others are left to the HTTP library, which rejects them.
	statusDigits = 3
	// maxLine is how many bytes of a line are kept: more than the protocol and the status.
	maxLine = 64
)

// ErrStatus is returned by the read of a response without a valid status.
type ErrStatus struct{ Status int }

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("the response has the status %03d, which is none", e.Status)
}

// phase is the part of a response that comes next.
type phase string

const (
	phaseStatusLine phase = "StatusLine"
	// phaseFields are the header fields of an interim response, after which another status line comes.
	phaseFields phase = "Fields"
	// phaseRest is all after the status line of the final response.
	phaseRest phase = "Rest"
)

// Reader reads the responses of a server.
type Reader struct {
	reader io.Reader
	phase  phase
	// line is the beginning of the current line, without its end.
	line []byte
	err  error
}

// NewReader returns a reader of the responses that r reads.
func NewReader(r io.Reader) *Reader { return &Reader{reader: r, phase: phaseRest} }

// Begin is called before each request. The response to it is read next.
func (r *Reader) Begin() { r.phase, r.line = phaseStatusLine, r.line[:0] }

// Read implements io.Reader. The error is an *ErrStatus from the status line of a response on that has no valid status.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.reader.Read(p)
	if r.err = r.check(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// check checks the next bytes of a response.
func (r *Reader) check(p []byte) error {
	for len(p) > 0 && r.phase != phaseRest {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			r.add(p)
			return nil
		}
		r.add(p[:end])
		p = p[end+1:]
		if err := r.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// add adds bytes to the current line, as far as they are kept.
func (r *Reader) add(p []byte) { r.line = append(r.line, p[:min(len(p), maxLine-len(r.line))]...) }

// endLine checks the line that has ended, and begins the next one.
func (r *Reader) endLine() error {
	line := bytes.TrimSuffix(r.line, []byte("\r"))
	r.line = r.line[:0]
	switch {
	case r.phase == phaseFields && len(line) == 0:
		r.phase = phaseStatusLine
	case r.phase == phaseFields, len(line) == 0:
		// Empty lines before a status line are skipped.
	default:
		return r.checkStatus(line)
	}
	return nil
}

// checkStatus checks a status line, and finds out what follows it. Lines without a status are left to the HTTP library.
func (r *Reader) checkStatus(line []byte) error {
	status, ok := parse(line)
	switch {
	case ok && (status < minStatus || status >= firstBeyond):
		return &ErrStatus{Status: status}
	case ok && status < firstFinal:
		r.phase = phaseFields
	default:
		r.phase = phaseRest
	}
	return nil
}

// parse returns the status of a status line, and false if it has none of three digits.
func parse(line []byte) (status int, ok bool) {
	fields := bytes.Fields(line)
	if len(fields) < 2 || len(fields[1]) != statusDigits {
		return 0, false
	}
	status, err := strconv.Atoi(string(fields[1]))
	return status, err == nil && status >= 0
}

// conn is a connection of a client that sends one request after the other.
type conn struct {
	net.Conn
	reader *Reader
	// hasRead is true from a read to the next write, which begins a request.
	hasRead bool
}

// Wrap returns a connection whose reads fail with an *ErrStatus. It takes over c, which may be nil.
func Wrap(c net.Conn) net.Conn {
	if c == nil {
		return nil
	}
	return &conn{Conn: c, reader: NewReader(c), hasRead: true}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.hasRead = true
	return c.reader.Read(p)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.hasRead {
		c.hasRead = false
		c.reader.Begin()
	}
	return c.Conn.Write(p)
}
