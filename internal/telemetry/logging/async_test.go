package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedOutput is an output whose reader has stopped reading.
type blockedOutput struct{ released chan struct{} }

// Write implements io.Writer.
func (o blockedOutput) Write(p []byte) (int, error) {
	<-o.released
	return len(p), nil
}

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

func TestCloseWaitsForNoReader(t *testing.T) {
	c := qt.New(t)
	output := blockedOutput{released: make(chan struct{})}
	defer close(output.released)
	logs := newTestLogs(output)
	logs.Layer(LayerDaemon).Info().Msg("line")
	startedAt := time.Now()
	logs.Close()
	c.Assert(time.Since(startedAt) < 10*closeTimeout, qt.IsTrue)
}
