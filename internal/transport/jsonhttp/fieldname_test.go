package jsonhttp_test

import (
	"testing"

	"azurehitch/internal/transport/jsonhttp"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestFieldNameThatIsNone guards against calls that are taken for a success although the name of a field in the head of
// their answer is none.
func TestFieldNameThatIsNone(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, line := range map[string]string{
		"a blank inside": "X-A b: 1\r\nContent-Length: 2", "a blank before the colon": "X-Ab : 1\r\nContent-Length: 2",
		"a folded line": "X-A: 1\r\n b: 1\r\nContent-Length: 2", "the length": "Content-Length : 1",
		"a control byte": "X-A\x01: 1\r\nContent-Length: 2",
	} {
		bad := "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n{}"
		for place, answers := range map[string][]string{"the first answer": {bad}, "a later one on the connection": {good, bad}} {
			t.Run(name+", "+place, func(t *testing.T) {
				var call *jsonhttp.ErrCall
				err := callRaw(t, answers...)
				qt.Assert(t, errors.As(err, &call), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, call.Sent, qt.IsTrue)
			})
		}
	}
}

// TestChunksThatTheVersionLacks guards against calls whose answer is taken with the sizes of its chunks for its body.
func TestChunksThatTheVersionLacks(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/2.0"} {
		t.Run(version, func(t *testing.T) {
			var call *jsonhttp.ErrCall
			err := callRaw(t, version+" 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
			qt.Assert(t, errors.As(err, &call), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, call.Sent, qt.IsTrue)
		})
	}
}
