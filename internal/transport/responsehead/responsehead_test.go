package responsehead_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"azurehitch/internal/transport/responsehead"

	qt "github.com/frankban/quicktest"
)

// TestRead reads responses in one piece, byte by byte, and after an interim response.
func TestRead(t *testing.T) {
	const fields = "Content-Length: 2\r\nX: HTTP/1.1 000 X\r\n\r\nHTTP/1.1 000 X\r\n\r\n"
	for _, test := range []struct {
		line   string
		status int
	}{
		{"HTTP/1.1 000 X\r\n", 0},
		{"HTTP/1.1 000\n", 0},
		{"\r\nHTTP/1.0  099 X\r\n", 99},
		{"HTTP/1.1" + strings.Repeat(" ", 200) + "000 X\r\n", 0},
		{"HTTP/1.1 600 " + strings.Repeat("x", 200) + "\r\n", 600},
		{"HTTP/1.1 999 X\r\n", 999},
		{"HTTP/1.1 100 X\r\nX: y\r\n\r\nHTTP/1.1 001 X\r\n", 1},
		{"HTTP/1.1 200 OK\r\n", -1},
		{"HTTP/1.1 599 X\r\n", -1},
		{"HTTP/1.1 199 X\r\nX: " + strings.Repeat("y", 200) + "\r\n\r\nHTTP/1.1 204 X\r\n", -1},
		{"HTTP/1.1 0 X\r\n", -1},
		{"HTTP/1.1 -10 X\r\n", -1},
		{"garbage\r\n", -1},
		{"HTTP/1.1\r\n", -1},
	} {
		t.Run(test.line[:min(len(test.line), 40)], func(t *testing.T) {
			text := test.line + fields
			for _, inner := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				reader := responsehead.NewReader(inner)
				reader.Begin()
				got, err := io.ReadAll(reader)
				var invalid *responsehead.ErrStatus
				if test.status < 0 {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, string(got), qt.Equals, text)
					continue
				}
				qt.Assert(t, err, qt.ErrorAs, &invalid)
				qt.Assert(t, invalid.Status, qt.Equals, test.status)
				_, again := reader.Read(make([]byte, 1))
				qt.Assert(t, again, qt.ErrorAs, &invalid)
			}
		})
	}
}

// TestBytesOutsideOfResponses checks that bytes that no request precedes are read as they are.
func TestBytesOutsideOfResponses(t *testing.T) {
	got, err := io.ReadAll(responsehead.NewReader(strings.NewReader("HTTP/1.1 000 X\r\n")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "HTTP/1.1 000 X\r\n")
}

// TestVersions checks the versions of the protocol, and chunks of those that lack them.
func TestVersions(t *testing.T) {
	for _, test := range []struct {
		version, fields string
		isSound         bool
	}{
		{"HTTP/1.1", "", true},
		{"HTTP/1.0", "", true},
		{"HTTP/1.2", "", false},
		{"HTTP/2.0", "", false},
		{"http/1.1", "", false},
		{"ICY", "", false},
		{"HTTP/1.1", "Transfer-Encoding: chunked\r\n", true},
		{"HTTP/1.0", "Transfer-Encoding: chunked\r\n", false},
		{"HTTP/1.0", "X-A: 1\r\ntransfer-encoding:\r\n", false},
		{"HTTP/1.0", "Transfer-Encodin: 1\r\nTransfer-Encodings: 1\r\nTransfer-Encodinh: 1\r\n", true},
	} {
		t.Run(test.version+" "+test.fields, func(t *testing.T) {
			text := test.version + " 200 OK\r\n" + test.fields + "\r\nTransfer-Encoding: not a field\r\n"
			for _, inner := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				reader := responsehead.NewReader(inner)
				reader.Begin()
				got, err := io.ReadAll(reader)
				if test.isSound {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, string(got), qt.Equals, text)
					continue
				}
				var invalid *responsehead.ErrVersion
				qt.Assert(t, err, qt.ErrorAs, &invalid)
				qt.Assert(t, invalid.Version, qt.Equals, test.version)
			}
		})
	}
}
