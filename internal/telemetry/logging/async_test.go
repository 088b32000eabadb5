package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func newTestLogs(output io.Writer) *Logs {
	return New(Options{Output: output, Level: "info", Daemon: "daemon-1", NonBlocking: true})
}

func TestLineAfterCloseEndsNoProcess(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	logs := newTestLogs(&output)
	logs.Layer(LayerDaemon).Info().Msg("before")
	logs.Close()
	logs.Layer(LayerDaemon).Info().Msg("after")
	c.Assert(strings.Count(output.String(), "\n"), qt.Equals, 1)
	c.Assert(logs.Dropped(), qt.Equals, int64(1))
}
