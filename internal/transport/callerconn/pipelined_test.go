package callerconn_test

import (
	"io"
	"testing"
	"time"

	"azurehitch/internal/transport/callerconn"

	qt "github.com/frankban/quicktest"
)

// TestWatchedTwiceLosesNoByte guards against a second Watch, before the next read, that drops the byte which the first
// one has read of the next request.
func TestWatchedTwiceLosesNoByte(t *testing.T) {
	a := accept(t)
	a.receive()
	for _, text := range []string{"P", "OST"} {
		stop := callerconn.Watch(a.Conn, func() {})
		_, err := io.WriteString(a.peer, text)
		a.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Millisecond)
		stop()
	}
	got := make([]byte, len("POST"))
	a.Assert(a.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	_, err := io.ReadFull(a.Conn, got)
	a.Assert(err, qt.IsNil, qt.Commentf("%q", got))
	a.Assert(string(got), qt.Equals, "POST")
}
