package responsehead

import (
	"bytes"
	"fmt"
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

	versionWithChunks = "HTTP/1.1"
	oldVersion        = "HTTP/1.0"
)

var blank = []byte(" ")

// ErrStatus is returned by the read of a response without a valid status.
type ErrStatus struct{ Status int }

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("the response has the status %03d, which is none", e.Status)
}

// ErrVersion is returned by the read of a response of a version other than HTTP/1.0 and HTTP/1.1, or of one that has
// chunks, which its version lacks.
type ErrVersion struct {
	Version   string
	IsChunked bool
}

// Error implements error.
func (e *ErrVersion) Error() string {
	if e.IsChunked {
		return fmt.Sprintf("the response of version %q has an encoding for transfer", e.Version)
	}
	return fmt.Sprintf("the response has the version %q", e.Version)
}

// statusLine is the first line of a head.
type statusLine struct {
	version string
	status  int
}

// parseStatusLine returns false if a line has no status of three digits.
func parseStatusLine(line []byte) (statusLine, bool) {
	fields := bytes.Fields(line)
	if len(fields) < 2 || len(fields[1]) != statusDigits {
		return statusLine{}, false
	}
	status, err := strconv.Atoi(string(fields[1]))
	return statusLine{version: string(fields[0]), status: status}, err == nil && status >= 0
}

// check returns an *ErrStatus or an *ErrVersion if no response can begin with the line.
func (l statusLine) check() error {
	switch {
	case l.status < minStatus || l.status >= firstBeyond:
		return &ErrStatus{Status: l.status}
	case l.version != versionWithChunks && l.version != oldVersion:
		return &ErrVersion{Version: l.version}
	}
	return nil
}

// isInterim reports whether another head follows.
func (l statusLine) isInterim() bool { return l.status < firstFinal }

// hasChunks reports whether a body may come in chunks.
func (l statusLine) hasChunks() bool { return l.version == versionWithChunks }
