package hedge_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"azurehitch/internal/forward/hedge"

	qt "github.com/frankban/quicktest"
)

const (
	simulatedStep = 5 * time.Millisecond
	// callInterval is the time from one call to the next.
	callInterval = 50 * time.Millisecond
)

// simulated is an exchange in progress.
type simulated struct {
	exchange *hedge.Exchange
	server   int
	// lateAt is when a hedge is asked for; zero if it was, or the exchange is a hedge.
	lateAt, endsAt time.Time
	outcome        hedge.Outcome
}

// simulation plays calls at random servers.
type simulation struct {
	*service
	random *rand.Rand
	// time returns how long a call takes at a server; 0 means that the server rejects it.
	time      func(server int) time.Duration
	exchanges []*simulated
	hedged    int
	denied    map[hedge.Denial]int
}

func (s *simulation) begin(server int) *simulated {
	took := s.time(server)
	e := &simulated{
		exchange: s.tracker.Begin(s.Name, "r", s.servers[server].ServerIdentity), server: server,
		endsAt: s.clock.Time.Add(took), outcome: hedge.OutcomeAnswered,
	}
	if took == 0 {
		e.outcome = hedge.OutcomeRejected
	}
	s.exchanges = append(s.exchanges, e)
	return e
}

// play runs for some time, and returns the numbers of hedges and denials.
func (s *simulation) play(d time.Duration) (hedged int, denied map[hedge.Denial]int) {
	s.hedged, s.denied = 0, map[hedge.Denial]int{}
	for at := time.Duration(0); at < d; at += simulatedStep {
		if at%callInterval == 0 {
			s.tracker.Earn(s.BackendService)
			e := s.begin(s.random.IntN(len(s.servers)))
			if e.exchange.Delay.IsLearnt {
				e.lateAt = s.clock.Time.Add(e.exchange.Delay.Duration)
			}
		}
		for _, e := range slices.Clone(s.exchanges) {
			s.advance(e)
		}
		s.clock.Time = s.clock.Time.Add(simulatedStep)
	}
	return s.hedged, s.denied
}

func (s *simulation) advance(e *simulated) {
	if !s.clock.Time.Before(e.endsAt) {
		e.exchange.End(e.outcome)
		s.exchanges = slices.DeleteFunc(s.exchanges, func(other *simulated) bool { return other == e })
		return
	}
	if e.lateAt.IsZero() || s.clock.Time.Before(e.lateAt) {
		return
	}
	e.lateAt = time.Time{}
	e.exchange.Late()
	permit, denial := s.decide(e.server)
	if denial != "" {
		s.denied[denial]++
		return
	}
	permit.Sent()
	s.hedged++
	second := s.random.IntN(len(s.servers))
	for slices.Contains(permit.Avoid, s.servers[second].ID) {
		second = s.random.IntN(len(s.servers))
	}
	s.begin(second)
}

// TestOverload guards against hedges that add to an overload: with a share that allows any number of
// them, they end by themselves when all servers get slower, or reject calls.
func TestOverload(t *testing.T) {
	const servers = 6
	type times = func(s *simulation, server int) time.Duration
	usual := func(s *simulation) time.Duration { return time.Duration(20+s.random.IntN(20)) * time.Millisecond }
	for _, test := range []struct {
		name string
		time times
		// isHelped is true if hedges are wanted.
		isHelped bool
	}{
		{"one server is slower", func(s *simulation, server int) time.Duration {
			if server == 0 {
				return 400 * time.Millisecond
			}
			return usual(s)
		}, true},
		{"all servers are slower", func(s *simulation, _ int) time.Duration { return 15 * usual(s) }, false},
		{"two reject calls, the others are slower", func(s *simulation, server int) time.Duration {
			if server < 2 {
				return 0
			}
			return 15 * usual(s)
		}, false},
		{"all but one reject calls, and it is slower", func(s *simulation, server int) time.Duration {
			if server > 0 {
				return 0
			}
			return 15 * usual(s)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &simulation{service: newService(servers, 1), random: rand.New(rand.NewPCG(1, 1))}
			s.time = func(int) time.Duration { return usual(s) }
			s.play(20 * time.Second)
			s.time = func(server int) time.Duration { return test.time(s, server) }
			first, denied := s.play(time.Second)
			then, deniedThen := s.play(5 * time.Second)
			t.Logf("in the first second %d hedged, denied %v; then %d, denied %v", first, denied, then, deniedThen)
			if test.isHelped {
				qt.Check(t, denied, qt.HasLen, 0)
				// The server gets some 17 calls in 5 s. They stay late ones, although they are usual there by then.
				qt.Check(t, then >= 10, qt.IsTrue)
				return
			}
			qt.Check(t, first <= servers, qt.IsTrue)
			qt.Check(t, then, qt.Equals, 0)
			qt.Check(t, deniedThen[hedge.DenialServiceFull] > 0, qt.IsTrue)
		})
	}
}
