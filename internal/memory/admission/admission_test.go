package admission_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

const kib = 1 << 10

// limits are those of a budget of 1 MiB: large requests may take 768 KiB of it, a caller has 512 KiB.
var limits = admission.NewLimits(1024 * kib)

// fixture is a budget with a manual clock.
type fixture struct {
	*qt.C
	*admission.Budget
	clock *manualclock.Clock
}

func newFixture(t *testing.T) *fixture {
	clock := manualclock.New()
	return &fixture{qt.New(t), admission.New(limits, clock), clock}
}

// open opens a request that holds n bytes.
func (f *fixture) open(caller string, n int) *admission.Reservation {
	f.Helper()
	r := f.NewRequest(caller, func() {})
	f.Assert(r.Grow(n), qt.IsNil)
	return r
}

// cause returns why bytes were not admitted; empty if they were.
func cause(err error) admission.Cause {
	var exhausted *admission.ErrExhausted
	if errors.As(err, &exhausted) {
		return exhausted.Cause
	}
	return ""
}

// advance lets time pass in which the given requests bring bytes fast enough.
func (f *fixture) advance(d time.Duration, progressing ...*admission.Reservation) {
	f.clock.Time = f.clock.Time.Add(d)
	for _, r := range progressing {
		r.Progress(int(d.Seconds() * float64(limits.MinRate)))
	}
}

// TestReserve guards against large requests that leave no room for small ones.
func TestReserve(t *testing.T) {
	f := newFixture(t)
	f.open("a", 500*kib)
	f.Assert(cause(f.NewRequest("a", nil).Grow(300*kib)), qt.Equals, admission.CauseMemory)
	f.open("a", 60*kib)
	f.Assert(f.HasRoom(60*kib), qt.IsTrue)
	f.Assert(f.HasRoom(300*kib), qt.IsFalse)
}

// TestStalledGiveWayFirst guards against a request that is refused, or a progressing one that is evicted, while
// others hold memory without progress.
func TestStalledGiveWayFirst(t *testing.T) {
	f := newFixture(t)
	stalled, progressing := f.open("a", 300*kib), f.open("b", 400*kib)
	f.advance(2*time.Second, progressing)
	f.Assert(f.NewRequest("c", func() {}).Grow(200*kib), qt.IsNotNil)
	f.Assert(cause(stalled.Received()), qt.Equals, admission.CauseStalled)
	f.Assert(progressing.Received(), qt.IsNil)
}

// TestTrickleIsNoProgress guards against requests that stay by a byte now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	f := newFixture(t)
	trickling := f.open("a", 700*kib)
	for range 20 {
		f.clock.Time = f.clock.Time.Add(100 * time.Millisecond)
		trickling.Progress(1)
	}
	f.Assert(f.NewRequest("b", func() {}).Grow(200*kib), qt.IsNotNil)
	f.Assert(cause(trickling.Eviction()), qt.Equals, admission.CauseStalled)
}

// TestLargeGivesWayToSmall guards against a small request that is refused because of large ones, and checks that
// the one that holds most for longest gives way.
func TestLargeGivesWayToSmall(t *testing.T) {
	f := newFixture(t)
	old := f.open("a", 300*kib)
	f.advance(500*time.Millisecond, old)
	young := f.open("b", 400*kib)
	for range 5 {
		f.open("c", 60*kib)
	}
	f.advance(200*time.Millisecond, old, young)
	f.Assert(f.NewRequest("d", func() {}).Grow(60*kib), qt.IsNotNil)
	f.Assert(cause(old.Eviction()), qt.Equals, admission.CauseEvicted)
	f.Assert(young.Eviction(), qt.IsNil)
}

// TestCallerPart guards against one caller that holds the whole budget while others wait, and against a part
// that binds a caller who is alone.
func TestCallerPart(t *testing.T) {
	f := newFixture(t)
	greedy := f.open("a", 760*kib)
	f.advance(100*time.Millisecond, greedy)
	f.Assert(cause(f.NewRequest("b", func() {}).Grow(100*kib)), qt.Equals, admission.CauseMemory)
	f.Assert(cause(greedy.Eviction()), qt.Equals, admission.CauseEvicted)
	f.Assert(cause(f.NewRequest("a", func() {}).Grow(kib)), qt.Equals, admission.CauseCallerPart)
	greedy.Release()
	f.open("b", 100*kib)
}

// TestReceivedStays guards against the eviction of a request that a server may have already.
func TestReceivedStays(t *testing.T) {
	f := newFixture(t)
	received := f.open("a", 760*kib)
	f.Assert(received.Received(), qt.IsNil)
	f.clock.Time = f.clock.Time.Add(time.Minute)
	f.Assert(f.NewRequest("b", func() {}).Grow(200*kib), qt.IsNotNil)
	f.Assert(received.Eviction(), qt.IsNil)
}

// TestAnswersHaveAPart guards against answers that leave no room for requests.
func TestAnswersHaveAPart(t *testing.T) {
	f := newFixture(t)
	answer := f.NewReservation()
	f.Assert(answer.Grow(400*kib), qt.IsNil)
	f.Assert(answer.Grow(100*kib), qt.IsNotNil)
	f.Assert(f.HasRoom(300*kib), qt.IsTrue)
}

// TestAdmitWaitsForEvicted guards against a refusal although an evicted request releases its memory at once.
func TestAdmitWaitsForEvicted(t *testing.T) {
	f := newFixture(t)
	var group errgroup.Group
	var stalled *admission.Reservation
	stalled = f.NewRequest("a", func() {
		group.Go(func() error {
			stalled.Release()
			return nil
		})
	})
	f.Assert(stalled.Grow(700*kib), qt.IsNil)
	f.clock.Time = f.clock.Time.Add(2 * time.Second)
	f.Assert(f.NewRequest("b", func() {}).Admit(context.Background(), 500*kib), qt.IsNil)
	f.Assert(group.Wait(), qt.IsNil)
}

// TestBudgetIsKept guards against any order of calls that takes more than the budget, or loses bytes of it.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := manualclock.New()
		budget := admission.New(limits, clock)
		var open []*admission.Reservation
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
				open = append(open, budget.NewRequest(caller, func() {}))
			},
			"answer": func(*rapid.T) { open = append(open, budget.NewReservation()) },
			"wait":   func(*rapid.T) { clock.Time = clock.Time.Add(300 * time.Millisecond) },
			"grow": func(t *rapid.T) {
				if len(open) > 0 {
					r := rapid.SampledFrom(open).Draw(t, "reservation")
					_ = r.Grow(rapid.IntRange(1, 400*kib).Draw(t, "bytes"))
				}
			},
			"release": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "reservation").Release()
				}
			},
			"": func(t *rapid.T) {
				var sum azurehitch.ByteSize
				for _, r := range open {
					sum += r.Held()
				}
				if budget.Taken() != sum || sum > limits.Size {
					t.Fatalf("%d bytes are taken, %d held, of %d", budget.Taken(), sum, limits.Size)
				}
			},
		})
	})
}
