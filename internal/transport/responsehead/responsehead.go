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
// is a token (section 5.6.2) right before its colon. The version is 1.0 or 1.1, and only the latter has chunks. HTTP
// libraries accept more: that of this project takes 000 for a status that was not set, which is 200, removes a blank
// before the colon, and reads the chunks of other versions as the body. Bytes with such a head are no response, whatever
// follows. All this is checked in interim heads too.
package responsehead

import (
	"bytes"
	"io"
	"net"
)

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
	// status is the status line of the current head.
	status statusLine
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

// Read implements io.Reader. From a line on that no response can have, the error is an *ErrStatus, *ErrVersion or
// *ErrFieldName.
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
	return r.beginFields(line)
}

// endField ends a line of fields. An empty one ends the head.
func (r *Reader) endField() error {
	ended := r.name
	r.name = fieldName{}
	switch {
	case ended.isComplete && ended.isEncoding() && !r.status.hasChunks():
		return &ErrVersion{Version: r.status.version, IsChunked: true}
	case ended.isComplete:
		return nil
	case ended.size > 0:
		return &ErrFieldName{Byte: '\n'}
	case r.status.isInterim():
		// Another head comes.
		r.phase = phaseStatusLine
	default:
		r.phase = phaseRest
	}
	return nil
}

// beginFields checks a status line, and finds out what follows it. Lines without a status are left to the HTTP library.
func (r *Reader) beginFields(line []byte) error {
	parsed, ok := parseStatusLine(line)
	if !ok {
		r.phase = phaseRest
		return nil
	}
	r.phase, r.status = phaseFields, parsed
	return parsed.check()
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
