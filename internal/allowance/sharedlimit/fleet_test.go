package sharedlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azurehitch/internal/allowance/sharedlimit"
)

const (
	step        = time.Millisecond
	callTimeout = 300 * time.Millisecond
)

// member is a daemon of a simulated fleet.
type member struct {
	name        string
	process     int64
	lender      *sharedlimit.Lender
	coordinator *sharedlimit.Coordinator
	isUp        bool
	pausedUntil time.Time
	group       int
	waiting     []waiter
	dueAt       time.Time
}

type waiter struct {
	ticket   *sharedlimit.Ticket
	deadline time.Time
	cost     float64
}

// network is what happens to messages.
type network struct {
	loss     float64
	maxDelay time.Duration
}

// simulation runs daemons on a virtual clock with messages in memory.
type simulation struct {
	rand    *rand.Rand
	now     time.Time
	members []*member
	known   int
	limit   sharedlimit.Limit
	net     network
	events  map[int64][]func()
	// spent are the units spent in each step, and refused those that were refused.
	spent             []float64
	refused, messages int
	// refundRatio is the share of granted requests that are given back 50 ms later.
	refundRatio float64
}

// newSimulation starts a number of daemons with a limit.
func newSimulation(seed uint64, daemons int, limit sharedlimit.Limit) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), known: daemons, limit: limit,
		net: network{maxDelay: 2 * time.Millisecond}, events: map[int64][]func(){},
	}
	for i := range daemons {
		s.members = append(s.members, &member{name: fmt.Sprintf("daemon-%03d", i)})
	}
	for _, m := range s.members {
		s.start(m)
	}
	return s
}

// start starts a new process of a daemon, in which the former one's requests are lost.
func (s *simulation) start(m *member) {
	m.process, m.isUp, m.pausedUntil, m.waiting = s.now.UnixNano(), true, time.Time{}, nil
	m.lender = sharedlimit.NewLender(m.name, m.process, s.now)
	m.lender.SetActive(true)
	m.coordinator = sharedlimit.NewCoordinator(m.process, func(string) (sharedlimit.Limit, bool) { return s.limit, true })
	s.describe(m)
}

// describe gives a daemon the list of daemons.
func (s *simulation) describe(m *member) {
	var names []string
	for _, other := range s.members[:s.known] {
		names = append(names, other.name)
	}
	m.lender.SetFleet(s.now, sharedlimit.Fleet{Daemons: s.known, Candidates: names})
}

func (s *simulation) after(d time.Duration, event func()) {
	at := s.now.Add(max(d, step)).UnixMilli()
	s.events[at] = append(s.events[at], event)
}

// on runs an event at a process of a daemon when it runs.
func (s *simulation) on(m *member, process int64, event func()) {
	switch {
	case !m.isUp || process != 0 && m.process != process:
	case s.now.Before(m.pausedUntil):
		s.after(m.pausedUntil.Sub(s.now), func() { s.on(m, process, event) })
	default:
		event()
		m.dueAt = s.now
	}
}

// run runs the daemons for some time. Each of them gets the traffic that a function returns for it, in units per
// second, as requests of the given cost.
func (s *simulation) run(d time.Duration, cost float64, traffic func(i int) float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.spent = append(s.spent, 0)
		due := s.events[s.now.UnixMilli()]
		delete(s.events, s.now.UnixMilli())
		for _, event := range due {
			event()
		}
		for i, m := range s.members {
			if m.isUp && !s.now.Before(m.pausedUntil) {
				s.runMember(m, cost, traffic(i))
			}
		}
	}
}

func (s *simulation) runMember(m *member, cost, traffic float64) {
	for requests := traffic / cost * step.Seconds(); requests > 0; requests-- {
		if s.rand.Float64() < requests {
			s.request(m, cost)
		}
	}
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		if !s.now.Before(w.deadline) {
			m.lender.GiveUp(s.now, w.ticket)
		}
		if w.ticket.State() == sharedlimit.TicketWaiting {
			kept = append(kept, w)
		} else {
			s.settle(m, w)
		}
	}
	m.waiting = kept
	if m.dueAt.After(s.now) && len(m.waiting) == 0 {
		return
	}
	for _, message := range m.lender.Due(s.now) {
		s.send(m, message)
	}
	m.dueAt = m.lender.NextDue(s.now)
}

func (s *simulation) request(m *member, cost float64) {
	w := waiter{ticket: m.lender.Take(s.now, "account", s.limit, cost), deadline: s.now.Add(sharedlimit.MaxWait), cost: cost}
	if w.ticket.State() == sharedlimit.TicketWaiting {
		m.waiting = append(m.waiting, w)
		return
	}
	s.settle(m, w)
}

// settle records the end of a request.
func (s *simulation) settle(m *member, w waiter) {
	switch {
	case w.ticket.State() == sharedlimit.TicketRefused:
		s.refused++
	case s.rand.Float64() < s.refundRatio:
		process := m.process
		s.after(50*time.Millisecond, func() { s.on(m, process, func() { m.lender.Refund(s.now, w.ticket) }) })
	default:
		s.spent[len(s.spent)-1] += w.cost
	}
}

// send carries a report and its answer, either of which may be lost or late.
func (s *simulation) send(m *member, message sharedlimit.Message) {
	s.messages++
	process, sequence := m.process, message.Report.Sequence
	s.after(callTimeout, func() {
		s.on(m, process, func() { m.lender.Failed(s.now, message.To, sequence, false) })
	})
	i := slices.IndexFunc(s.members, func(other *member) bool { return other.name == message.To })
	to := s.members[i]
	s.carry(m, to, func() {
		s.on(to, 0, func() {
			answer := to.coordinator.Handle(s.now, message.Report)
			s.carry(to, m, func() {
				s.on(m, process, func() { m.lender.Answered(s.now, message.To, sequence, answer) })
			})
		})
	})
}

// carry runs an event after the time that a message takes, unless it is lost. Some arrive twice, or late.
func (s *simulation) carry(from, to *member, event func()) {
	if from == to {
		s.after(step, event)
		return
	}
	if from.group != to.group || s.rand.Float64() < s.net.loss {
		return
	}
	s.after(time.Duration(s.rand.Int64N(int64(s.net.maxDelay))), event)
	if s.rand.Float64() < s.net.loss {
		s.after(time.Duration(s.rand.Int64N(int64(4*time.Second))), event)
	}
}

// largestWindow returns the largest sum spent in a window of 8 s.
func (s *simulation) largestWindow() float64 {
	const steps = int(window / step)
	sum, largest := 0.0, 0.0
	for i, units := range s.spent {
		sum += units
		if i >= steps {
			sum -= s.spent[i-steps]
		}
		largest = max(largest, sum)
	}
	return largest
}

// sum returns what was spent since a time after the start.
func (s *simulation) sum(since time.Duration) float64 {
	sum := 0.0
	for _, units := range s.spent[int(since/step):] {
		sum += units
	}
	return sum
}
