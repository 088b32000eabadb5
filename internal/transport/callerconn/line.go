package callerconn

import (
	"bytes"
	"net"
)

const (
	// lineStartBytes is how much of the beginning of a line is kept. It holds the names of header fields, and none
	// of the value of a field whose name is as long.
	lineStartBytes = 14
	// maxHeadBytes is the number of bytes of a request in which the beginning of the line is looked for, so that
	// long bodies are not searched.
	maxHeadBytes = 64 << 10
)

// lineStart is the beginning of the last line that was read and may go on.
type lineStart struct {
	text   [lineStartBytes]byte
	length int
}

// add adds bytes that were read.
func (l *lineStart) add(p []byte) {
	if end := bytes.LastIndexByte(p, '\n'); end >= 0 {
		l.length = 0
		p = p[end+1:]
	}
	l.length += copy(l.text[l.length:], p)
}

// LineStart returns the first bytes of the line that a connection of Listen was reading last. If the header of a request
// is too large, it names the field at which the limit was exceeded. It is empty for other connections.
func LineStart(c net.Conn) string {
	watched, ok := c.(*conn)
	if !ok {
		return ""
	}
	watched.mu.Lock()
	defer watched.mu.Unlock()
	return string(watched.line.text[:watched.line.length])
}
