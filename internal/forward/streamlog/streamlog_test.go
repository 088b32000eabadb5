package streamlog_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/streamlog"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

var errDown = errors.New("the log is down")

// memoryLog is a KeyedLog in memory.
type memoryLog struct {
	mu      sync.Mutex
	records []azurehitch.KeyedRecord
	era     int64
	isDown  bool
	// puts, lists and reads count the calls.
	puts, lists, reads int
}

// Newest implements azurehitch.KeyedLog.
func (l *memoryLog) Newest(context.Context, string) (azurehitch.KeyedBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists++
	if l.isDown {
		return azurehitch.KeyedBatch{}, errDown
	}
	batch := azurehitch.KeyedBatch{Next: int64(len(l.records)), Era: l.era}
	seen := map[string]bool{}
	for _, r := range slices.Backward(l.records) {
		if !seen[r.Key] {
			batch.Records = append(batch.Records, r)
		}
		seen[r.Key] = true
	}
	return batch, nil
}

// Changes implements azurehitch.KeyedLog.
func (l *memoryLog) Changes(_ context.Context, _ string, from int64, _ time.Duration) (azurehitch.KeyedBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.isDown {
		return azurehitch.KeyedBatch{}, errDown
	}
	if from > int64(len(l.records)) {
		return azurehitch.KeyedBatch{Era: l.era, Gap: true}, nil
	}
	return azurehitch.KeyedBatch{Next: int64(len(l.records)), Era: l.era, Records: l.records[from:]}, nil
}

// Put implements azurehitch.KeyedLog.
func (l *memoryLog) Put(_ context.Context, _ string, record azurehitch.KeyedRecord) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts++
	if l.isDown {
		return errDown
	}
	l.records = append(l.records, record)
	return nil
}

func (l *memoryLog) setDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}

// calls returns the number of calls of each kind.
func (l *memoryLog) calls() (puts, lists, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.puts, l.lists, l.reads
}

// returnFromCopy drops all records after the first ones and begins another era.
func (l *memoryLog) returnFromCopy(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:count]
	l.era++
}

// discard is a compacted.Observer.
type discard struct{}

// StreamRead implements compacted.Observer.
func (discard) StreamRead(string, error) {}

// EraChanged implements compacted.Observer.
func (discard) EraChanged(string, int64, int64, int64) {}

// daemon is a log with its registry.
type daemon struct {
	*qt.C
	*streamlog.Log
	registry *streams.Registry
	stop     func()
}

// start starts the log of a daemon.
func start(c *qt.C, keyed *memoryLog, name string) *daemon {
	clock := azurehitch.SystemClock{}
	d := &daemon{C: c, registry: streams.NewRegistry(clock)}
	d.Log = streamlog.New(streamlog.Dependencies{
		Keyed: keyed, Stream: "origins", Self: name, Registry: d.registry, Clock: clock, Observer: discard{}, Metrics: metrics.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return d.Log.Run(ctx) })
	d.stop = func() {
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	}
	return d
}

// run calls test in a bubble with its own time, with a log and a daemon.
func run(t *testing.T, test func(keyed *memoryLog, d *daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		keyed := &memoryLog{era: 1}
		d := start(qt.New(t), keyed, "daemon-1")
		test(keyed, d)
		d.stop()
	})
}

func record(id string, version string) streams.Record {
	return streams.Record{Key: streams.KeyOf(id), Origin: streams.Origin{Service: "llm", Version: version}, Attempt: 1}
}

// add queues streams, and reports whether the daemon takes them.
func (d *daemon) add(version string, ids ...string) bool {
	var records []streams.Record
	for _, id := range ids {
		records = append(records, record(id, version))
	}
	return d.Add(records)
}

// assertKnown checks that a daemon that has just started finds streams in the log, and their version.
func assertKnown(c *qt.C, keyed *memoryLog, version string, ids ...string) {
	c.Helper()
	fresh := start(c, keyed, "daemon-fresh")
	defer fresh.stop()
	c.Assert(fresh.Refresh(context.Background()), qt.IsNil)
	for _, id := range ids {
		origin, ok := fresh.registry.Origin(streams.KeyOf(id))
		c.Assert(ok, qt.IsTrue, qt.Commentf("stream %s", id))
		c.Assert(origin, qt.Equals, streams.Origin{Service: "llm", Version: version})
	}
}

func TestOriginsAreKnownToOtherDaemons(t *testing.T) {
	run(t, func(keyed *memoryLog, d *daemon) {
		d.Assert(d.add("v1", "a", "b"), qt.IsTrue)
		d.Assert(d.add("v2", "c"), qt.IsTrue)
		time.Sleep(2 * time.Second)
		assertKnown(d.C, keyed, "v1", "a", "b")
		assertKnown(d.C, keyed, "v2", "c")
	})
}

// TestCalls bounds the calls of a daemon that gets origins all the time, and of one that has none.
func TestCalls(t *testing.T) {
	run(t, func(keyed *memoryLog, d *daemon) {
		time.Sleep(time.Minute)
		puts, lists, reads := keyed.calls()
		d.Assert(puts+lists+reads, qt.Equals, 0)
		for i := range 300 {
			d.Assert(d.add("v1", fmt.Sprint(i)), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
		puts, lists, _ = keyed.calls()
		d.Assert(puts <= 21, qt.IsTrue, qt.Commentf("%d writes in 30 s", puts))
		d.Assert(lists, qt.Equals, 1)
		for range 50 {
			d.Assert(d.Refresh(context.Background()), qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		_, _, reads = keyed.calls()
		d.Assert(reads <= 6, qt.IsTrue, qt.Commentf("%d reads in 5 s", reads))
	})
}

// TestOriginsStayForTheirTime checks that no record is overwritten within streams.TTL, also if the daemon starts again,
// and that the number of keys is bounded.
func TestOriginsStayForTheirTime(t *testing.T) {
	run(t, func(keyed *memoryLog, d *daemon) {
		const writes = 100
		for i := range writes {
			if i == writes/2 {
				d.stop()
				*d = *start(d.C, keyed, "daemon-1")
			}
			d.Assert(d.add("v1", fmt.Sprint(i)), qt.IsTrue)
			time.Sleep(1500 * time.Millisecond)
		}
		var kept []string
		for i := range writes {
			if time.Duration(writes-i)*1500*time.Millisecond < streams.TTL {
				kept = append(kept, fmt.Sprint(i))
			}
		}
		assertKnown(d.C, keyed, "v1", kept...)
		keys := map[string]bool{}
		for _, r := range keyed.records {
			keys[r.Key] = true
		}
		d.Assert(len(keys) < 45, qt.IsTrue, qt.Commentf("%d keys", len(keys)))
	})
}

func TestLogThatFails(t *testing.T) {
	t.Run("what was taken is written later, and nothing more is taken until then", func(t *testing.T) {
		run(t, func(keyed *memoryLog, d *daemon) {
			keyed.setDown(true)
			d.Assert(d.add("v1", "a"), qt.IsTrue)
			time.Sleep(2 * time.Second)
			d.Assert(d.add("v1", "b"), qt.IsFalse)
			keyed.setDown(false)
			time.Sleep(4 * time.Second)
			d.Assert(d.add("v1", "c"), qt.IsTrue)
			time.Sleep(2 * time.Second)
			assertKnown(d.C, keyed, "v1", "a", "c")
		})
	})
	t.Run("a failed read is repeated after a second", func(t *testing.T) {
		run(t, func(keyed *memoryLog, d *daemon) {
			keyed.setDown(true)
			d.Assert(d.Refresh(context.Background()), qt.ErrorIs, errDown)
			keyed.setDown(false)
			d.Assert(d.Refresh(context.Background()), qt.ErrorIs, errDown)
			time.Sleep(time.Second)
			d.Assert(d.Refresh(context.Background()), qt.IsNil)
		})
	})
	t.Run("a return from an older copy: what is written afterwards is found", func(t *testing.T) {
		run(t, func(keyed *memoryLog, d *daemon) {
			reader := start(d.C, keyed, "daemon-2")
			defer reader.stop()
			for i := range 3 {
				d.Assert(d.add("v1", fmt.Sprint(i)), qt.IsTrue)
				time.Sleep(2 * time.Second)
			}
			d.Assert(reader.Refresh(context.Background()), qt.IsNil)
			keyed.returnFromCopy(1)
			d.Assert(d.add("v2", "later"), qt.IsTrue)
			time.Sleep(2 * time.Second)
			d.Assert(reader.Refresh(context.Background()), qt.IsNil)
			origin, ok := reader.registry.Origin(streams.KeyOf("later"))
			d.Assert(ok, qt.IsTrue)
			d.Assert(origin.Version, qt.Equals, "v2")
		})
	})
	t.Run("a record that can't be decoded hides no other", func(t *testing.T) {
		run(t, func(keyed *memoryLog, d *daemon) {
			for _, value := range []string{"", "{", `{"Groups":[{"Service":"llm","Keys":"AAAA","Attempts":"AQ=="}]}`} {
				d.Assert(keyed.Put(context.Background(), "origins", azurehitch.KeyedRecord{Key: "daemon-1/" + value, Value: []byte(value)}), qt.IsNil)
			}
			d.Assert(d.add("v1", "a"), qt.IsTrue)
			time.Sleep(2 * time.Second)
			assertKnown(d.C, keyed, "v1", "a")
		})
	})
}
