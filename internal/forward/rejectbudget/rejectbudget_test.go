package rejectbudget_test

import (
	"fmt"
	"testing"
	"time"

	_ "azurehitch/internal/proof/fixedseed"

	"azurehitch"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
)

// events is an Observer that records the events.
type events struct {
	changes    []rejectbudget.Brittleness
	rejections int
}

// BrittlenessChanged implements rejectbudget.Observer.
func (e *events) BrittlenessChanged(_ azurehitch.ServerIdentity, b rejectbudget.Brittleness) {
	e.changes = append(e.changes, b)
}

// BrittleServerRejected implements rejectbudget.Observer.
func (e *events) BrittleServerRejected(azurehitch.ServerIdentity) { e.rejections++ }

// fixture is the tracker of the first of some daemons, and the servers a and b with slots for each.
type fixture struct {
	*qt.C
	*manualclock.Clock
	*rejectbudget.Tracker
	*events
	daemons []string
	servers []azurehitch.FleetServer
}

const fixtureSlots = 6

func newFixture(t *testing.T, daemons int) *fixture {
	t.Helper()
	f := &fixture{C: qt.New(t), Clock: manualclock.New(), events: &events{}}
	for i := range daemons {
		f.daemons = append(f.daemons, fmt.Sprintf("daemon-%d", i))
	}
	for _, id := range []string{"a", "b"} {
		f.servers = append(f.servers, azurehitch.FleetServer{ServerIdentity: identity(id), Service: "desk", Slots: fixtureSlots})
	}
	f.Tracker = rejectbudget.New(rejectbudget.Dependencies{
		Self: "daemon-0", Daemons: func() []string { return f.daemons }, Clock: f.Clock, Observer: f.events,
		Server: func(id string) (azurehitch.FleetServer, bool) {
			for _, s := range f.servers {
				if s.ID == id {
					return s, true
				}
			}
			return azurehitch.FleetServer{}, false
		},
		Service: func(string) []azurehitch.FleetServer { return f.servers },
	})
	return f
}

func identity(id string) azurehitch.ServerIdentity {
	return azurehitch.ServerIdentity{ID: id, Address: id + ":80", Incarnation: 1}
}

// brittle and sound are the notices in answers.
var (
	brittle = azurehitch.ServerNotice{Brittle: true, MaxRejections: 3}
	sound   = azurehitch.ServerNotice{}
)

// answered records an answer to a request that is sent now.
func (f *fixture) answered(id string, notice azurehitch.ServerNotice) {
	f.advance(time.Millisecond)
	f.Answered(identity(id), rejectbudget.Answer{Notice: notice, SentAt: f.Time})
}

func (f *fixture) rejected(id string) {
	f.advance(time.Millisecond)
	f.Answered(identity(id), rejectbudget.Answer{Notice: brittle, Rejected: true, SentAt: f.Time})
}

func (f *fixture) advance(d time.Duration) { f.Time = f.Time.Add(d) }

// assertRoom checks how many requests can begin at a server now, up to a maximum. It ends them again.
func (f *fixture) assertRoom(id string, most, want int) {
	f.Helper()
	got := 0
	for range most {
		if end, ok := f.Begin(identity(id), 0); ok {
			defer end()
			got++
		}
	}
	f.Assert(got, qt.Equals, want)
}

func TestBegin(t *testing.T) {
	const many = 50
	t.Run("one request before the first answer", func(t *testing.T) {
		f := newFixture(t, 1)
		f.assertRoom("a", many, 1)
		_, ok := f.Begin(identity("a"), time.Second)
		f.Assert(ok, qt.IsTrue, qt.Commentf("after a wait"))
	})
	t.Run("any number at a server that is not brittle", func(t *testing.T) {
		f := newFixture(t, 1)
		f.answered("a", sound)
		f.assertRoom("a", many, many)
		f.assertRoom("b", many, many)
	})
	t.Run("one request after a time without an answer", func(t *testing.T) {
		f := newFixture(t, 1)
		f.answered("a", sound)
		f.advance(3 * time.Second)
		f.assertRoom("a", many, 1)
	})
	t.Run("slots and allowance of a brittle server", func(t *testing.T) {
		f := newFixture(t, 1)
		f.answered("a", brittle)
		f.assertRoom("a", many, fixtureSlots+brittle.MaxRejections)
		f.assertRoom("b", many, fixtureSlots+brittle.MaxRejections)
	})
	t.Run("rejections use the allowance for a while", func(t *testing.T) {
		f := newFixture(t, 1)
		f.answered("a", brittle)
		f.rejected("a")
		f.assertRoom("a", many, fixtureSlots+brittle.MaxRejections-1)
		f.advance(3 * time.Second)
		f.assertRoom("a", many, fixtureSlots+brittle.MaxRejections)
		f.Assert(f.rejections, qt.Equals, 1)
	})
	t.Run("granted requests count", func(t *testing.T) {
		f := newFixture(t, 1)
		f.answered("a", brittle)
		end := f.BeginGranted(identity("a"))
		f.assertRoom("a", many, fixtureSlots+brittle.MaxRejections-1)
		end()
		f.assertRoom("a", many, fixtureSlots+brittle.MaxRejections)
	})
	t.Run("an answer without the notice ends it, also for the other servers", func(t *testing.T) {
		f := newFixture(t, 1)
		f.answered("a", brittle)
		f.answered("a", sound)
		f.assertRoom("a", many, many)
		f.assertRoom("b", many, many)
		f.Assert(f.changes, qt.HasLen, 2)
	})
	t.Run("an answer to an earlier request does not end it", func(t *testing.T) {
		f := newFixture(t, 1)
		sentAt := f.Time
		f.answered("a", brittle)
		f.Answered(identity("a"), rejectbudget.Answer{Notice: sound, SentAt: sentAt})
		f.Assert(f.IsBrittle(identity("a")), qt.IsTrue)
	})
	t.Run("a daemon without a unit stops after a rejection", func(t *testing.T) {
		f := newFixture(t, 60)
		f.Self = f.daemons[len(f.daemons)-1]
		f.answered("a", azurehitch.ServerNotice{Brittle: true, MaxRejections: 1})
		var used []string
		for _, s := range f.servers {
			if !f.IsHeld(s.ServerIdentity) {
				used = append(used, s.ID)
			}
		}
		f.Assert(used, qt.HasLen, 1)
		f.assertRoom(used[0], many, 1)
		f.rejected(used[0])
		f.advance(9 * time.Second)
		f.assertRoom(used[0], many, 0)
	})
	t.Run("one request while the other daemons are unknown", func(t *testing.T) {
		f := newFixture(t, 0)
		f.answered("a", brittle)
		f.assertRoom("a", many, 1)
	})
}

// TestUnitsOfAllDaemons checks that the daemons divide the units of each server, and that each has one.
func TestUnitsOfAllDaemons(t *testing.T) {
	for _, count := range []int{1, 2, 9, 18} {
		t.Run(fmt.Sprint(count, " daemons"), func(t *testing.T) {
			total := map[string]int{}
			for self := range count {
				f := newFixture(t, count)
				f.Self = fmt.Sprintf("daemon-%d", self)
				f.answered("a", brittle)
				own := 0
				for _, s := range f.servers {
					for end, ok := f.Begin(s.ServerIdentity, 0); ok; end, ok = f.Begin(s.ServerIdentity, 0) {
						f.Assert(end, qt.IsNotNil)
						total[s.ID]++
						own++
					}
				}
				f.Assert(own > 0, qt.IsTrue)
			}
			want := fixtureSlots + brittle.MaxRejections
			qt.Assert(t, total, qt.DeepEquals, map[string]int{"a": want, "b": want})
		})
	}
}
