// Package platformlog is a stand-in for the platform's append-only log service.
//
// # Usage
//
//	log := platformlog.New(platformlog.Options{Retention: 10000})
//	offset, err := log.Append(ctx, "control", payload)
//
// The type Log implements azurehitch.Log in memory for tests; NewHandler serves
// the same over HTTP:
//
//	POST /v1/streams/NAME               append the body, answers {"Offset": 7}
//	GET  /v1/streams/NAME?from=3&wait=5s  read, long polling
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

// Options are the limits of the service.
type Options struct {
	// Retention is how many records a stream keeps; 0 keeps all.
	Retention int
	// AppendsPerSecond limits the appends of all streams; 0 is unlimited.
	AppendsPerSecond float64
}

// Log is the service in memory.
type Log struct {
	options Options
	limiter *rate.Limiter
	mu      sync.Mutex
	streams map[string]*stream
	outage  Outage
}

// Outage is a failure of the whole service, for tests without HTTP.
type Outage struct {
	Down bool
	// LoseAnswers fails appends after they took effect.
	LoseAnswers bool
	// Delay is added to each call.
	Delay time.Duration
}

type stream struct {
	first   int64
	records []azurehitch.Record
	grown   chan struct{}
}

// New returns an empty log.
func New(options Options) *Log {
	l := &Log{options: options, streams: map[string]*stream{}}
	if options.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(options.AppendsPerSecond), int(options.AppendsPerSecond)+1)
	}
	return l
}

// SetOutage replaces the failure in force.
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
	outage, err := l.enter(ctx, "append")
	if err != nil {
		return 0, err
	}
	offset := l.add(name, payload)
	if outage.LoseAnswers {
		return 0, &azurehitch.ErrLog{Operation: "append", MayHaveTakenEffect: true, Cause: errors.New("answer lost")}
	}
	return offset, nil
}

// Read implements azurehitch.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	if _, err := l.enter(ctx, "read"); err != nil {
		return azurehitch.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown := l.view(name, from)
		if len(batch.Records) > 0 || batch.First > from {
			return batch, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, &azurehitch.ErrLog{Operation: "read", Cause: ctx.Err()}
		}
	}
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

func (l *Log) enter(ctx context.Context, operation string) (Outage, error) {
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

func (l *Log) add(name string, payload []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, azurehitch.Record{Offset: offset, Payload: append([]byte(nil), payload...)})
	if excess := len(s.records) - l.options.Retention; l.options.Retention > 0 && excess > 0 {
		s.records = s.records[excess:]
		s.first += int64(excess)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

func (l *Log) view(name string, from int64) (azurehitch.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := azurehitch.Batch{First: s.first, Next: s.next()}
	if from < s.first {
		from = s.first
	}
	size := 0
	for i := from - s.first; i < int64(len(s.records)) && len(batch.Records) < maxReadRecords && size < maxReadBytes; i++ {
		batch.Records = append(batch.Records, s.records[i])
		size += len(s.records[i].Payload)
	}
	return batch, s.grown
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }
