package gateway_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"azurehitch/internal/standin/serverlink"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	// timeBeforeCut, cutTime and timeAfterCut are the parts of a run.
	timeBeforeCut = time.Second
	cutTime       = 5 * time.Second
	timeAfterCut  = 2 * time.Second
	// noticeTime is how long after a cut, or after its end, a daemon may take to notice it.
	noticeTime = time.Second
	// minServed is the least share of first tries that cut daemons serve, measured against the others.
	minServed = 0.95
)

// cut is a cut of daemons from all servers.
type cut struct {
	daemons    []*linkedDaemon
	from, till time.Time
	// stopped is a daemon that makes a planned stop meanwhile, whose own callers don't count. It may be nil.
	stopped *linkedDaemon
}

// cutWhileSending sends requests, cuts daemons from all servers meanwhile, and returns the requests. The
// function during is called at the beginning of the cut.
func (f *cutFleet) cutWhileSending(state serverlink.State, daemons []*linkedDaemon, during func()) (cut, []firstTry) {
	f.Helper()
	made := cut{daemons: daemons}
	var tries []firstTry
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		tries = f.send(ctx)
		return nil
	})
	f.Assert(sleep(ctx, timeBeforeCut), qt.IsNil)
	made.from, made.till = time.Now(), time.Now().Add(cutTime)
	f.setLinks(daemons, state)
	during()
	f.Assert(sleep(ctx, time.Until(made.till)), qt.IsNil)
	f.setLinks(f.daemons, serverlink.Up)
	f.Assert(sleep(ctx, timeAfterCut), qt.IsNil)
	stop()
	f.Assert(group.Wait(), qt.IsNil)
	return made, tries
}

func (f *cutFleet) setLinks(daemons []*linkedDaemon, state serverlink.State) {
	for _, d := range daemons {
		d.setLink(state)
	}
}

// share is the number of requests sent and of those that were served.
type share struct{ sent, served int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// shares returns the shares of the cut daemons and of the others, for requests of a period.
func (c cut) shares(tries []firstTry, from, till time.Time) (atCut, atOthers share) {
	for _, try := range tries {
		if try.sentAt.Before(from) || try.sentAt.After(till) || try.daemon == c.stopped {
			continue
		}
		counted := &atOthers
		if slices.Contains(c.daemons, try.daemon) {
			counted = &atCut
		}
		counted.sent++
		if try.isServed() {
			counted.served++
		}
	}
	return atCut, atOthers
}

// assertServedAlike checks that cut daemons serve as many first tries as others, during the cut and after
// its end.
func (f *cutFleet) assertServedAlike(made cut, tries []firstTry) {
	f.Helper()
	atCut, atOthers := made.shares(tries, made.from.Add(noticeTime), made.till)
	f.Logf("during the cut: cut daemons %+v, others %+v", atCut, atOthers)
	f.Check(atOthers.ratio() >= minServed, qt.IsTrue, qt.Commentf("others served %+v", atOthers))
	f.Check(atCut.ratio() >= minServed*atOthers.ratio(), qt.IsTrue, qt.Commentf("cut daemons served %+v, others %+v", atCut, atOthers))
	f.assertServedAfter(made, tries)
}

// assertServedAfter checks that all daemons serve first tries after the end of a cut.
func (f *cutFleet) assertServedAfter(made cut, tries []firstTry) {
	f.Helper()
	atCut, atOthers := made.shares(tries, made.till.Add(noticeTime), made.till.Add(timeAfterCut))
	f.Logf("after the cut: cut daemons %+v, others %+v", atCut, atOthers)
	f.Check(atOthers.sent == 0 || atOthers.ratio() >= minServed, qt.IsTrue, qt.Commentf("after the cut, others served %+v", atOthers))
	f.Check(atCut.ratio() >= minServed, qt.IsTrue, qt.Commentf("after the cut, cut daemons served %+v", atCut))
}

func TestCutDaemonServesThroughOthers(t *testing.T) {
	t.Parallel()
	for _, state := range []serverlink.State{serverlink.Hanging, serverlink.Reset, serverlink.Refused, serverlink.OneWay} {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			withCutFleet(t, func(f *cutFleet) {
				made, tries := f.cutWhileSending(state, f.daemons[1:1+cutDaemonCount/2], func() {})
				f.assertPromises(tries)
				f.assertServedAlike(made, tries)
			})
		})
	}
}
