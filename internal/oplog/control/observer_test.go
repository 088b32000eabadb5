package control_test

import (
	"testing"

	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/standin/platformlog"

	qt "github.com/frankban/quicktest"
)

// foldObserver implements control.Observer.
type foldObserver struct {
	kinds   []control.LeaseEventKind
	digests map[control.Position]uint64
	sources []control.FoldSource
}

func (o *foldObserver) LeaseFolded(event control.LeaseEvent) { o.kinds = append(o.kinds, event.Kind) }

func (o *foldObserver) FoldDigested(at control.Position, digest uint64) { o.digests[at] = digest }

func (o *foldObserver) FoldReplaced(_ control.Position, source control.FoldSource) {
	o.sources = append(o.sources, source)
}

// newObserved returns a reader of a log, and what it notifies of.
func newObserved(c *qt.C, log *platformlog.Log, name string) (reader, *foldObserver) {
	observer := &foldObserver{digests: map[control.Position]uint64{}}
	r := newReader(c, log, name)
	r.store.WithObserver(observer)
	return r, observer
}

func TestObserver(t *testing.T) {
	c := qt.New(t)
	log := platformlog.New(platformlog.Options{Era: 1})
	a, observedA := newObserved(c, log, "a")
	b, observedB := newObserved(c, log, "b")
	appendRecord(c, log, "a", claimOf(0))
	appendRecord(c, log, "b", claimOf(0))
	appendRecord(c, log, "a", control.Record{Release: &leaselog.Release{Pool: "llm", Token: 1}})
	for range 13 {
		appendRecord(c, log, "a", control.Record{Renewal: true})
	}
	a.read()
	b.read()
	c.Run("claims and releases", func(c *qt.C) {
		c.Assert(observedA.kinds, qt.DeepEquals, []control.LeaseEventKind{control.LeaseClaimed, control.LeaseClaimRejected, control.LeaseReleased})
	})
	c.Run("daemons that fold the same records have the same digests at the same positions", func(c *qt.C) {
		c.Assert(observedA.digests, qt.HasLen, 2)
		c.Assert(observedA.digests, qt.DeepEquals, observedB.digests)
	})
	c.Run("a fold that starts over in a new era", func(c *qt.C) {
		c.Assert(observedA.sources, qt.HasLen, 0)
		log.Restore(log.Copy())
		a.read()
		c.Assert(observedA.sources, qt.DeepEquals, []control.FoldSource{control.FoldFromNewEra})
	})
}
