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
	// tableInterval is the time between two changes of the configuration, and tableCount their number.
	tableInterval = 500 * time.Millisecond
	tableCount    = 8
	// serverSilence is how long a sound server is silent, and serversSilenced how many are, one after the other.
	serverSilence   = time.Second
	serversSilenced = 4
)

// publishTables changes the configuration again and again.
func (f *cutFleet) publishTables() {
	f.Helper()
	for range tableCount {
		f.publish()
		f.Assert(sleep(context.Background(), tableInterval), qt.IsNil)
	}
}

// TestCutDaemonsBesideOtherEvents cuts daemons from all servers while something else happens.
func TestCutDaemonsBesideOtherEvents(t *testing.T) {
	t.Parallel()
	for name, run := range map[string]func(f *cutFleet){
		"whole failure domain":  cutFailureDomain,
		"holder":                cutHolder,
		"changed configuration": cutBesideChanges,
		"relay stops":           cutWhileRelayStops,
		"all but one":           cutAllButOne,
		"next cut at once":      cutOthersNext,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withCutFleet(t, run)
		})
	}
}

func cutFailureDomain(f *cutFleet) {
	cutOff := slices.DeleteFunc(slices.Clone(f.daemons), func(d *linkedDaemon) bool { return d.failureDomain != failureDomain(0) })
	made, tries := f.cutWhileSending(serverlink.Hanging, cutOff, func() {})
	f.assertPromises(tries)
	f.assertServedAlike(made, tries)
}

func cutHolder(f *cutFleet) {
	holder := f.holder()
	made, tries := f.cutWhileSending(serverlink.Hanging, []*linkedDaemon{holder, f.others(holder)[0]}, func() {})
	f.assertPromises(tries)
	f.assertServedAlike(made, tries)
}

func cutBesideChanges(f *cutFleet) {
	made, tries := f.cutWhileSending(serverlink.Reset, f.daemons[1:3], f.publishTables)
	f.assertPromises(tries)
	f.assertServedAlike(made, tries)
}

func cutAllButOne(f *cutFleet) {
	made, tries := f.cutWhileSending(serverlink.OneWay, f.daemons[1:], func() {})
	f.assertPromises(tries)
	f.assertServedAlike(made, tries)
}

func cutWhileRelayStops(f *cutFleet) {
	stopped := f.daemons[0]
	made, tries := f.cutWhileSending(serverlink.Hanging, f.daemons[1:3], func() {
		f.Assert(sleep(context.Background(), 2*noticeTime), qt.IsNil)
		stopped.stop()
	})
	made.stopped = stopped
	f.assertPromises(tries)
	f.assertServedAlike(made, tries)
}

// cutOthersNext cuts the other half of the daemons as soon as the links of the first half are up again.
func cutOthersNext(f *cutFleet) {
	next := f.daemons[cutDaemonCount/2:]
	made, tries := f.cutWhileSending(serverlink.Reset, f.daemons[:cutDaemonCount/2], func() {
		f.Assert(sleep(context.Background(), cutTime/2), qt.IsNil)
		f.setLinks(f.daemons[:cutDaemonCount/2], serverlink.Up)
		f.setLinks(next, serverlink.Refused)
	})
	f.assertPromises(tries)
	first := cut{daemons: f.daemons[:cutDaemonCount/2], from: made.from, till: made.from.Add(cutTime / 2)}
	f.assertServedAlike(first, tries)
	f.assertServedAlike(cut{daemons: next, from: first.till, till: made.till}, tries)
}

// TestAllDaemonsServeAfterCutOfAll cuts all daemons from all servers.
func TestAllDaemonsServeAfterCutOfAll(t *testing.T) {
	t.Parallel()
	for _, state := range []serverlink.State{serverlink.Hanging, serverlink.Reset, serverlink.Refused, serverlink.OneWay} {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			withCutFleet(t, func(f *cutFleet) {
				made, tries := f.cutWhileSending(state, f.daemons, f.publishTables)
				f.assertPromises(tries)
				f.assertServedAfter(made, tries)
			})
		})
	}
}

// TestSilentServerCostsNoRequest makes sound servers silent for a second each. All requests must be served.
func TestSilentServerCostsNoRequest(t *testing.T) {
	t.Parallel()
	for name, during := range map[string]func(f *cutFleet){
		"same configuration":    func(*cutFleet) {},
		"changed configuration": (*cutFleet).publishTables,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withCutFleet(t, func(f *cutFleet) {
				tries := f.sendWhileServersFallSilent(during)
				f.assertPromises(tries)
				for _, try := range tries {
					f.Check(try.isServed(), qt.IsTrue, qt.Commentf("%s at %s: status %d, %v", try.id, try.daemon.callers, try.status, try.err))
				}
			})
		})
	}
}

// sendWhileServersFallSilent sends requests while one server after the other falls silent, and returns them.
func (f *cutFleet) sendWhileServersFallSilent(during func(f *cutFleet)) []firstTry {
	f.Helper()
	var tries []firstTry
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		tries = f.send(ctx)
		return nil
	})
	group.Go(func() error {
		during(f)
		return nil
	})
	for _, server := range f.servers[:serversSilenced] {
		f.Assert(sleep(ctx, 2*serverSilence), qt.IsNil)
		server.Pause(serverSilence)
	}
	f.Assert(sleep(ctx, 2*serverSilence), qt.IsNil)
	stop()
	f.Assert(group.Wait(), qt.IsNil)
	return tries
}
