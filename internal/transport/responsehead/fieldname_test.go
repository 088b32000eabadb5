package responsehead_test

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"azurehitch/internal/transport/responsehead"

	qt "github.com/frankban/quicktest"
)

// tokenBytes are the bytes that the name of a field may hold (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// assertRead reads a response in one piece and byte by byte. It must fail with an *ErrFieldName, or be read as it is.
func assertRead(t *testing.T, text string, isSound bool) {
	t.Helper()
	for _, inner := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		reader := responsehead.NewReader(inner)
		reader.Begin()
		got, err := io.ReadAll(reader)
		if isSound {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%q", text))
			qt.Check(t, string(got), qt.Equals, text)
			continue
		}
		var invalid *responsehead.ErrFieldName
		qt.Check(t, err, qt.ErrorAs, &invalid, qt.Commentf("%q", text))
	}
}

// TestBytesOfNames puts each byte in each place of a name.
func TestBytesOfNames(t *testing.T) {
	for b := range 256 {
		t.Run(strconv.Quote(string([]byte{byte(b)})), func(t *testing.T) {
			one := string([]byte{byte(b)})
			// A colon ends the name, and a line feed at the beginning the head.
			isToken := strings.Contains(tokenBytes, one)
			for _, status := range []string{"103", "200"} {
				head := "HTTP/1.1 " + status + " X\r\nX-First: 1\r\n"
				assertRead(t, head+"X-A"+one+"b: 1\r\n\r\n", isToken || one == ":")
				assertRead(t, head+"X-Ab"+one+": 1\r\n\r\n", isToken || one == ":")
				assertRead(t, head+one+"X-Ab: 1\r\n\r\n", isToken || one == "\n")
			}
		})
	}
}

func TestLinesOfFields(t *testing.T) {
	for _, test := range []struct {
		name, fields string
		isSound      bool
	}{
		{"none", "", true},
		{"an empty value", "X-A:\r\n", true},
		{"a value with all that a name may not hold", "X-A: \t b:c \x01\r\r\n", true},
		{"lines that end without a carriage return", "X-A: 1\nX-B: 2\n", true},
		{"a long name", strings.Repeat("x", 4<<10) + ": 1\r\n", true},
		{"a long name with a blank at its end", strings.Repeat("x", 4<<10) + " : 1\r\n", false},
		{"no colon", "X-A\r\n", false},
		{"no colon, no carriage return", "X-A\n", false},
		{"a folded line", "X-A: 1\r\n 2\r\n", false},
		{"a folded line that is blank", "X-A: 1\r\n \r\n", false},
		{"a carriage return before a name", "\rX-A: 1\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertRead(t, "HTTP/1.1 200 OK\r\n"+test.fields+"\r\nX Y: not a field\r\n", test.isSound)
			assertRead(t, "HTTP/1.1 103 X\r\n"+test.fields+"\r\nHTTP/1.1 200 OK\r\n\r\nX Y: not a field\r\n", test.isSound)
		})
	}
}
