// Package platformlog is a stand-in for the platform's append-only log service.
//
// # Usage
//
//	log := platformlog.New(platformlog.Options{Retention: 10000})
//	offset, err := log.Append(ctx, "control", payload)
//
// A Log implements azurehitch.Log in memory for tests; NewHandler serves it over HTTP:
//
//	POST /v1/streams/NAME                 append the body; the answer is {"Offset": 7}
//	GET  /v1/streams/NAME?from=3&wait=5s  read from an offset, with long polling
//	GET  /v1/streams                      number of appended records by stream
package platformlog

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	maxReadRecords = 5000
	maxReadBytes   = 4 << 20
)

// Options set the retention and the rate limit of the service.
type Options struct {
	// Retention is the number of records that a stream keeps; 0 keeps all.
	Retention int
	// Era is the era of the log at first; 0 if it names none before it returns from an older copy.
	Era int64
	// AppendsPerSecond limits the appends to all streams together; 0 is unlimited.
	AppendsPerSecond float64
}

// Log is an append-only log service in memory.
type Log struct {
	options Options
	limiter *rate.Limiter
	mu      sync.Mutex
	streams map[string]*stream
	outage  Outage
	// era increases by one each time the log returns from an older copy.
	era int64
}

// Outage is a failure of the service as a whole, for tests without HTTP.
type Outage struct {
	// Down makes each call fail before it takes effect.
	Down bool
	// LoseAnswers makes appends fail after they have taken effect.
	LoseAnswers bool
	// Delay is added to each call.
	Delay time.Duration
}

type stream struct {
	// first is the offset of the oldest kept record; Retention removes older ones.
	first   int64
	records []azurehitch.Record
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// New returns an empty log.
func New(options Options) *Log {
	l := &Log{options: options, streams: map[string]*stream{}, era: options.Era}
	if options.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(options.AppendsPerSecond), int(options.AppendsPerSecond)+1)
	}
	return l
}

// SetOutage replaces the active failure; the zero Outage ends it.
func (l *Log) SetOutage(outage Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// Append implements azurehitch.Log.
func (l *Log) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	if l.limiter != nil {
		if err := l.limiter.Wait(ctx); err != nil {
			return 0, &azurehitch.ErrLog{Operation: "append", Cause: err}
		}
	}
	outage, err := l.applyOutage(ctx, "append")
	if err != nil {
		return 0, err
	}
	offset := l.appendRecords(name, payload)
	if outage.LoseAnswers {
		return 0, &azurehitch.ErrLog{Operation: "append", MayHaveTakenEffect: true, Cause: errors.New("answer lost")}
	}
	return offset, nil
}

// Read implements azurehitch.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	if _, err := l.applyOutage(ctx, "read"); err != nil {
		return azurehitch.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended := l.readBatch(name, from)
		if len(batch.Records) > 0 || batch.First > from || from > batch.Next {
			return batch, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, &azurehitch.ErrLog{Operation: "read", Cause: ctx.Err()}
		}
	}
}

// DropHistory deletes all records.
func (l *Log) DropHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.first, s.records = s.next(), nil
	}
}

// DropBefore deletes the records of a stream before an offset.
func (l *Log) DropBefore(name string, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	deleted := min(max(offset-s.first, 0), int64(len(s.records)))
	s.first += deleted
	s.records = s.records[deleted:]
}

// Streams returns the number of records ever appended to each stream.
func (l *Log) Streams() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int64{}
	for name, s := range l.streams {
		counts[name] = s.next() - 1
	}
	return counts
}

// applyOutage delays or fails a call if an outage is active.
func (l *Log) applyOutage(ctx context.Context, operation string) (Outage, error) {
	l.mu.Lock()
	outage := l.outage
	l.mu.Unlock()
	if outage.Delay > 0 {
		if err := (azurehitch.SystemClock{}).Sleep(ctx, outage.Delay); err != nil {
			return outage, &azurehitch.ErrLog{Operation: operation, Cause: err}
		}
	}
	if outage.Down {
		return outage, &azurehitch.ErrLog{Operation: operation, Cause: errors.New("log is down")}
	}
	return outage, nil
}

// AppendBatch implements azurehitch.BatchLog. The rate limit counts a batch as one append.
func (l *Log) AppendBatch(ctx context.Context, name string, payloads [][]byte) (int64, error) {
	if _, err := l.applyOutage(ctx, "append"); err != nil {
		return 0, err
	}
	return l.appendRecords(name, payloads...), nil
}

// appendRecords appends records, removes the records beyond the retention and returns the
// offset of the first appended record.
func (l *Log) appendRecords(name string, payloads ...[]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	for _, payload := range payloads {
		s.records = append(s.records, azurehitch.Record{Offset: s.next(), Payload: append([]byte(nil), payload...)})
	}
	if excess := len(s.records) - l.options.Retention; l.options.Retention > 0 && excess > 0 {
		s.records = s.records[excess:]
		s.first += int64(excess)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// readBatch returns the kept records from an offset on, up to the limits of one read, and a
// channel that is closed at the next append.
func (l *Log) readBatch(name string, from int64) (azurehitch.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := azurehitch.Batch{First: s.first, Next: s.next(), Era: l.era}
	if from < s.first {
		from = s.first
	}
	size := 0
	for i := from - s.first; i < int64(len(s.records)) && len(batch.Records) < maxReadRecords && size < maxReadBytes; i++ {
		batch.Records = append(batch.Records, s.records[i])
		size += len(s.records[i].Payload)
	}
	return batch, s.appended
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// next returns the offset of the next record.
func (s *stream) next() int64 { return s.first + int64(len(s.records)) }
