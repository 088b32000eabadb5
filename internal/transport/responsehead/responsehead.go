// Package responsehead fails the read of an HTTP response whose head can't be that of one.
//
// # Usage
//
//	conn = responsehead.Wrap(conn) // for a client that sends one request after the other
//
//	reader := responsehead.NewReader(conn)
//	reader.Begin() // before each request
//	n, err := reader.Read(p)
//
// A status is a number of three digits from 100 to 599; RFC 9110, section 15, calls others invalid. The name of a field
// is a token (section 5.6.2) right before its colon. HTTP libraries accept more: that of this project takes 000 for a
// status that was not set, which is 200, and removes a blank before the colon. Bytes with such a head are no response,
// whatever follows. Both are checked in interim heads too.
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

var blank = []byte(" ")

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
	phaseFields     phase = "Fields"
	// phaseRest is all after the head of the final response.
	phaseRest phase = "Rest"
)

// Reader reads the responses of a server.
type Reader struct {
	reader io.Reader
	phase  phase
	// isInterim is true in the fields of an interim response, after which another status line comes.
	isInterim bool
	// line is the beginning of the current status line, without its end. Of blanks in a row it has one: any number may
	// precede the status.
	line []byte
	// name is the name in the current line of fields.
	name fieldName
	err  error
}

// NewReader returns a reader of the responses that r reads.
func NewReader(r io.Reader) *Reader { return &Reader{reader: r, phase: phaseRest} }

// Begin is called before each request. The response to it is read next.
func (r *Reader) Begin() { r.phase, r.line, r.name = phaseStatusLine, r.line[:0], fieldName{} }

// Read implements io.Reader. The error is an *ErrStatus or an *ErrFieldName from the line of a response on that has no
// valid status or name.
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
			return r.add(p)
		}
		if err := r.add(p[:end]); err != nil {
			return err
		}
		p = p[end+1:]
		if err := r.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// add adds bytes to the current line.
func (r *Reader) add(p []byte) error {
	if r.phase == phaseFields {
		return r.name.add(p)
	}
	for _, b := range p {
		isRepeated := b == ' ' && bytes.HasSuffix(r.line, blank)
		if !isRepeated && len(r.line) < maxLine {
			r.line = append(r.line, b)
		}
	}
	return nil
}

// endLine checks the line that has ended, and begins the next one.
func (r *Reader) endLine() error {
	if r.phase == phaseFields {
		return r.endField()
	}
	line := bytes.TrimSuffix(r.line, []byte("\r"))
	r.line = r.line[:0]
	if len(line) == 0 {
		// Empty lines before a status line are skipped.
		return nil
	}
	return r.checkStatus(line)
}

// endField ends a line of fields. An empty one ends the head.
func (r *Reader) endField() error {
	ended := r.name
	r.name = fieldName{}
	switch {
	case ended.isComplete:
		return nil
	case ended.size > 0:
		return &ErrFieldName{Byte: '\n'}
	case r.isInterim:
		r.phase = phaseStatusLine
	default:
		r.phase = phaseRest
	}
	return nil
}

// checkStatus checks a status line, and finds out what follows it. Lines without a status are left to the HTTP library.
func (r *Reader) checkStatus(line []byte) error {
	status, ok := parse(line)
	switch {
	case !ok:
		r.phase = phaseRest
	case status < minStatus || status >= firstBeyond:
		return &ErrStatus{Status: status}
	default:
		r.phase, r.isInterim = phaseFields, status < firstFinal
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

// Wrap returns a connection whose reads fail as those of a Reader. It takes over c, which may be nil.
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
