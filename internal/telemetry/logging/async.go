package logging

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that wait to be written.
	queueLines = 2048
	// linesPerSecond and burstLines bound the lines below the level of a warning.
	linesPerSecond = 400
	burstLines     = 1000
)

// asyncWriter writes lines without holding up who logs them. What comes too fast is
// dropped and counted.
type asyncWriter struct {
	queue   *log.AsyncWriter
	limit   *rate.Limiter
	dropped atomic.Int64
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	return &asyncWriter{
		queue: &log.AsyncWriter{Writer: &log.IOWriter{Writer: output}, ChannelSize: queueLines, DiscardOnFull: true},
		limit: rate.NewLimiter(linesPerSecond, burstLines),
	}
}

// WriteEntry implements log.Writer.
func (w *asyncWriter) WriteEntry(e *log.Entry) (int, error) {
	if e.Level < log.WarnLevel && !w.limit.Allow() {
		w.dropped.Add(1)
		return 0, nil
	}
	n, err := w.queue.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, nil
}

// Close writes what waits.
func (w *asyncWriter) Close() error { return w.queue.Close() }
