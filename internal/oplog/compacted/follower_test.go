package compacted_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/compacted"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// scriptedLog plays answers in their order, and ends the follower behind the last.
type scriptedLog struct {
	answers []scripted
	end     context.CancelFunc
	calls   []string
}

// scripted is an answer to a call.
type scripted struct {
	batch azurehitch.KeyedBatch
	err   error
}

func (l *scriptedLog) next(call string) (azurehitch.KeyedBatch, error) {
	l.calls = append(l.calls, call)
	answer := l.answers[0]
	if l.answers = l.answers[1:]; len(l.answers) == 0 {
		defer l.end()
	}
	return answer.batch, answer.err
}

// Newest implements azurehitch.KeyedLog.
func (l *scriptedLog) Newest(context.Context, string) (azurehitch.KeyedBatch, error) {
	return l.next("list")
}

// Changes implements azurehitch.KeyedLog.
func (l *scriptedLog) Changes(_ context.Context, _ string, from int64, _ time.Duration) (azurehitch.KeyedBatch, error) {
	return l.next(fmt.Sprintf("from %d", from))
}

// Put implements azurehitch.KeyedLog.
func (l *scriptedLog) Put(context.Context, string, azurehitch.KeyedRecord) error { return nil }

// recordingFold keeps what it is told.
type recordingFold struct{ told []string }

// Replace implements compacted.Fold.
func (f *recordingFold) Replace(records []azurehitch.KeyedRecord, _ time.Time) {
	f.told = append(f.told, fmt.Sprintf("replace %d", len(records)))
}

// Apply implements compacted.Fold.
func (f *recordingFold) Apply(records []azurehitch.KeyedRecord, _ time.Time) {
	f.told = append(f.told, fmt.Sprintf("apply %d", len(records)))
}

// Failed implements compacted.Fold.
func (f *recordingFold) Changes() int64 { return int64(len(f.told)) }

func (f *recordingFold) Failed(time.Time) { f.told = append(f.told, "failed") }

// silent is an observer that drops what it is told.
type silent struct{}

// StreamRead implements compacted.Observer.
func (silent) StreamRead(string, error) {}

func TestFollower(t *testing.T) {
	one := []azurehitch.KeyedRecord{{Key: "a", Value: []byte("1")}}
	down := scripted{err: errors.New("down")}
	for _, test := range []struct {
		name    string
		answers []scripted
		calls   []string
		told    []string
	}{
		{
			"lists, then reads on",
			[]scripted{{batch: azurehitch.KeyedBatch{Next: 7, Records: one}}, {batch: azurehitch.KeyedBatch{Next: 8, Records: one}}, {batch: azurehitch.KeyedBatch{Next: 8}}},
			[]string{"list", "from 7", "from 8"},
			[]string{"replace 1", "apply 1"},
		},
		{
			"lists again behind a gap",
			[]scripted{{batch: azurehitch.KeyedBatch{Next: 7}}, {batch: azurehitch.KeyedBatch{Gap: true}}, {batch: azurehitch.KeyedBatch{Next: 90, Records: one}}, {}},
			[]string{"list", "from 7", "list", "from 90"},
			[]string{"replace 0", "replace 1"},
		},
		{
			"goes on where it was after failures",
			[]scripted{down, {batch: azurehitch.KeyedBatch{Next: 7}}, down, {batch: azurehitch.KeyedBatch{Next: 8}}, {}},
			[]string{"list", "list", "from 7", "from 7", "from 8"},
			[]string{"failed", "replace 0", "failed", "apply 0"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := &scriptedLog{answers: test.answers, end: cancel}
			fold := &recordingFold{}
			follower := compacted.NewFollower(log, "s", fold, azurehitch.SystemClock{}, silent{}, compacted.Pace{})
			c.Assert(follower.Run(ctx), qt.IsNil)
			c.Assert(log.calls, qt.DeepEquals, test.calls)
			// What is told of the last answer depends on when the context's end is seen.
			c.Assert(fold.told[:len(test.told)], qt.DeepEquals, test.told)
		})
	}
}
