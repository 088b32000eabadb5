package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the maximum number of lines that wait to be written.
	queueLines = 2048
	// linesPerSecond and burstLines are the rate limit for lines below the warn level.
	linesPerSecond = 400
	burstLines     = 1000
)

// asyncWriter writes lines in the background, without blocking the code that logs. Lines beyond the
// rate limit or the queue are dropped and counted.
type asyncWriter struct {
	queue *log.AsyncWriter
	limit *rate.Limiter
	// dropped is the number of dropped lines.
	dropped atomic.Int64

	// mu is held for reading while a line is queued, and for writing by Close.
	mu     sync.RWMutex
	closed bool
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	return &asyncWriter{
		queue: &log.AsyncWriter{Writer: &log.IOWriter{Writer: output}, ChannelSize: queueLines, DiscardOnFull: true},
		limit: rate.NewLimiter(linesPerSecond, burstLines),
	}
}

// WriteEntry implements log.Writer. It never returns an error.
func (w *asyncWriter) WriteEntry(e *log.Entry) (int, error) {
	if e.Level < log.WarnLevel && !w.limit.Allow() {
		w.dropped.Add(1)
		return 0, nil
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return 0, nil
	}
	n, err := w.queue.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, nil
}

// Close writes the queued lines. Later lines are dropped.
func (w *asyncWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return w.queue.Close()
}
