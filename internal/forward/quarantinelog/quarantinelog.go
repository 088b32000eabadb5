// Package quarantinelog keeps the held requests and parts of prompts in a keyed stream of the platform, so that
// they stay held when all daemons restart.
//
// # Usage
//
//	log := quarantinelog.New(dependencies)
//	group.Go(func() error { return log.Run(ctx) })
package quarantinelog

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/membership/daemonrank"
	"azurehitch/internal/oplog/compacted"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// readWait is how long a read of the stream waits for changes. Daemons learn of a hold from each
	// other first.
	readWait = 25 * time.Second
	// writeInterval is the interval at which the holds are compared with the stream. A daemon waits
	// rankDelay for each daemon before it in the ranking of a subject, which then writes its record.
	writeInterval = 200 * time.Millisecond
	rankDelay     = time.Second
)

// record is the value of a held subject in the stream.
type record struct {
	// Kind is empty in the records of earlier releases, which hold parts only.
	Kind    quarantine.Kind `json:",omitempty"`
	Service string
	// Part is the ID of the subject.
	Part        string
	LastCrashAt time.Time
	Trials      int
	TrialAt     time.Time
	WasAnswered bool
}

// Dependencies holds what a Log uses.
type Dependencies struct {
	Keyed  azurehitch.KeyedLog
	Stream string
	// Self is the name of this daemon, and Daemons returns those of all known daemons.
	Self     string
	Daemons  func() []string
	Tracker  *quarantine.Tracker
	Clock    azurehitch.Clock
	Observer compacted.Observer
}

// Log reads and writes the stream. It implements compacted.Fold.
type Log struct {
	Dependencies

	mu sync.Mutex
	// records are the records of the stream, by key. isListed is true once they have been read.
	records  map[string]record
	isListed bool
	// differsSince is when this daemon noticed that the record of a key is missing or out of date.
	differsSince map[string]time.Time
}

// New returns a Log.
func New(dependencies Dependencies) *Log {
	return &Log{Dependencies: dependencies, records: map[string]record{}, differsSince: map[string]time.Time{}}
}

// Run reads the stream, and writes the holds that it lacks, until the context ends.
func (l *Log) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	follower := compacted.NewFollower(l.Keyed, l.Stream, l, l.Clock, l.Observer, compacted.Pace{Wait: readWait})
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error {
		for l.Clock.Sleep(ctx, writeInterval) == nil {
			for _, r := range l.due() {
				// A record that could not be written is due again.
				_ = l.Keyed.Put(ctx, l.Stream, r)
			}
		}
		return nil
	})
	return group.Wait()
}

// due returns the records that this daemon has to write now: those of new holds and trials, and
// records without a value for subjects that are held no more.
func (l *Log) due() []azurehitch.KeyedRecord {
	holds := l.Tracker.Holds()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	wanted := map[string]record{}
	for _, h := range holds {
		r := record{Kind: h.Kind, Service: h.Service, Part: h.ID, LastCrashAt: now.Add(-h.Age), Trials: h.Trials, WasAnswered: h.WasAnswered}
		if h.Trials > 0 {
			r.TrialAt = now.Add(-h.TrialAge)
		}
		wanted[key(h.Subject)] = r
	}
	var due []azurehitch.KeyedRecord
	for k, r := range wanted {
		known, ok := l.records[k]
		if l.isDue(k, ok && known.Trials >= r.Trials, now) {
			value, err := json.Marshal(r)
			if err != nil {
				continue
			}
			due = append(due, azurehitch.KeyedRecord{Key: k, Value: value})
		}
	}
	for k := range l.records {
		if _, ok := wanted[k]; ok {
			continue
		}
		// A record that was just read reaches the tracker only after it is known here.
		_, wasMissing := l.differsSince[k]
		if l.isDue(k, false, now) && wasMissing {
			due = append(due, azurehitch.KeyedRecord{Key: k})
		}
	}
	return due
}

// isDue reports whether this daemon has to write a record now. The caller holds l.mu.
func (l *Log) isDue(key string, isCurrent bool, now time.Time) bool {
	if isCurrent || !l.isListed {
		delete(l.differsSince, key)
		return false
	}
	since, ok := l.differsSince[key]
	if !ok {
		since = now
		l.differsSince[key] = now
	}
	return now.Sub(since) >= time.Duration(daemonrank.Index(key, l.Self, l.Daemons()))*rankDelay
}

// key returns the key of a subject. Keys of the platform are short, and IDs may be long.
func key(subject quarantine.Subject) string {
	text := subject.Service + "\x00" + subject.ID
	if subject.Kind == quarantine.KindRequest {
		text += "\x00" + string(subject.Kind)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// subject returns the held subject of a record.
func (r record) subject() quarantine.Subject {
	return quarantine.Subject{Kind: cmp.Or(r.Kind, quarantine.KindPart), Service: r.Service, ID: r.Part}
}

// Replace implements compacted.Fold.
func (l *Log) Replace(records []azurehitch.KeyedRecord, readAt time.Time) {
	l.mu.Lock()
	l.records = map[string]record{}
	l.mu.Unlock()
	l.Apply(records, readAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isListed = true
}

// Apply implements compacted.Fold. Records that can't be decoded are ignored.
func (l *Log) Apply(records []azurehitch.KeyedRecord, _ time.Time) {
	var evidence quarantine.Evidence
	l.mu.Lock()
	now := l.Clock.Now()
	for _, r := range records {
		delete(l.records, r.Key)
		var held record
		if len(r.Value) == 0 || json.Unmarshal(r.Value, &held) != nil {
			continue
		}
		l.records[r.Key] = held
		evidence.Holds = append(evidence.Holds, quarantine.Hold{
			Subject: held.subject(), Age: max(now.Sub(held.LastCrashAt), 0),
			Trials: held.Trials, TrialAge: max(now.Sub(held.TrialAt), 0), WasAnswered: held.WasAnswered,
		})
	}
	l.mu.Unlock()
	if len(evidence.Holds) > 0 {
		l.Tracker.Merge(evidence, quarantine.SourceLog)
	}
}

// ReadFailed implements compacted.Fold. The known records are kept.
func (l *Log) ReadFailed(time.Time) {}

// UrgentChanges implements compacted.Fold. It is always 0, since no daemon confirms read positions of
// this stream to others.
func (l *Log) UrgentChanges() int64 { return 0 }
