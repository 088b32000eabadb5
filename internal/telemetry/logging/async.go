package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the maximum number of lines that wait to be written.
	queueLines = 2048
	// linesPerSecond and burstLines are the rate limit for lines below the warn level.
	linesPerSecond = 400
	burstLines     = 1000
	// closeTimeout limits the wait for the reader of the output at the end of the logs.
	closeTimeout = 100 * time.Millisecond
)

// errNotWritten is returned by Close when queued lines were not written in time.
var errNotWritten = errors.New("the output takes no lines: queued lines are lost")

// asyncWriter writes lines in the background, without blocking the code that logs. Lines beyond the
// rate limit or the queue are dropped and counted.
type asyncWriter struct {
	queue *log.AsyncWriter
	limit *rate.Limiter
	// dropped is the number of dropped lines.
	dropped atomic.Int64

	// mu is held for reading while a line is queued, and for writing by stopQueueing.
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

// Close writes the queued lines, for at most closeTimeout. Later lines are dropped.
func (w *asyncWriter) Close() error {
	w.stopQueueing()
	result := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		result <- w.queue.Close()
		return nil
	})
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return errNotWritten
	}
}

// stopQueueing makes the writer drop all further lines.
func (w *asyncWriter) stopQueueing() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
