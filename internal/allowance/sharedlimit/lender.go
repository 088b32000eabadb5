package sharedlimit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"azurehitch/internal/membership/daemonrank"
)

// Fleet is what a daemon knows of the others.
type Fleet struct {
	// Daemons is the number of known daemons, this one included. It is 0 until their list has been read:
	// the daemon has no share then.
	Daemons int
	// Candidates are the names of the daemons that may be coordinators.
	Candidates []string
}

// Lender is the side of a daemon that uses limits: it lends its share, and takes units for requests.
type Lender struct {
	name              string
	process, sequence int64
	// homeFrom is when the daemon may use its share itself, as far as it has not lent it: a former process
	// of it may have lent it until then.
	homeFrom time.Time
	fleet    Fleet
	share    float64
	// isActive is true while there are limits. Otherwise the lender sends no message.
	isActive bool
	slots    []*slotState
	peers    map[string]*peer
	counts   LenderCounts
}

// LenderCounts counts what a Lender has done.
type LenderCounts struct {
	// Asked, Granted, Expired and Returned are units from coordinators, and Home those of the share that
	// the daemon used itself. Lost are those of answers that came too late.
	Asked, Granted, Expired, Returned, Home, Lost float64
	// Reports, Answers and Failures count messages, and Refused the requests without units.
	Reports, Answers, Failures, Refused int64
}

// slotState is where the share of a slot's keys is.
type slotState struct {
	Slot
	// order is the candidates in the order of preference.
	order []string
	// lentTo may use the share until promise.
	lentTo  string
	promise time.Time
	// home is the share while the daemon uses it itself.
	home *pool
	keys map[string]*key
	// pending are the keys whose waiting requests need a message.
	pending []*key
}

// NewLender returns the lender of a daemon whose process has started at now. A later process of the
// daemon must have a higher number.
func NewLender(name string, process int64, now time.Time) *Lender {
	l := &Lender{name: name, process: process, homeFrom: now.Add(LoanTime), peers: map[string]*peer{}}
	l.resetSlots(now, 1)
	return l
}

// Counts returns what the lender has done since its start.
func (l *Lender) Counts() LenderCounts { return l.counts }

// Coordinators returns the coordinator of each slot; empty where there is none.
func (l *Lender) Coordinators() []string {
	var names []string
	for _, s := range l.slots {
		name := ""
		if p, ok := l.coordinator(s); ok {
			name = p.name
		}
		names = append(names, name)
	}
	return names
}

// KeyCount returns the number of limits that the lender keeps.
func (l *Lender) KeyCount() int {
	n := 0
	for _, s := range l.slots {
		n += len(s.keys)
	}
	return n
}

// SetActive sets whether there are limits.
func (l *Lender) SetActive(isActive bool) { l.isActive = isActive }

// SetFleet sets what the daemon knows of the others.
func (l *Lender) SetFleet(now time.Time, f Fleet) {
	share := 0.0
	if f.Daemons > 0 {
		share = 1 / float64(f.Daemons)
	}
	isSame := slices.Equal(f.Candidates, l.fleet.Candidates)
	l.fleet, l.share = f, share
	count := slotCount(f.Daemons)
	if len(l.slots) != count {
		l.resetSlots(now, count)
	} else if isSame {
		return
	}
	for _, s := range l.slots {
		s.order = rank(s.Slot, f)
	}
}

// resetSlots forms new slots. No share is used until the loans of the former ones have ended.
func (l *Lender) resetSlots(now time.Time, count int) {
	former := l.slots
	l.slots = nil
	promise := time.Time{}
	for _, s := range former {
		if s.promise.After(promise) {
			promise = s.promise
		}
	}
	for i := range count {
		l.slots = append(l.slots, &slotState{Slot: Slot{Count: count, Index: i}, promise: promise, home: newPool(now), keys: map[string]*key{}})
	}
	for _, s := range former {
		for name, k := range s.keys {
			k.slot, k.isPending = slotOf(name, count), false
			l.slot(k).keys[name] = k
			if len(k.waiting) > 0 {
				l.requireMessage(l.slot(k), k)
			}
		}
	}
}

// rank returns the candidates for a slot by rendezvous hashing.
func rank(s Slot, f Fleet) []string {
	order := slices.Clone(f.Candidates)
	id := fmt.Sprintf("%d/%d", s.Index, s.Count)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(daemonrank.Weight(id, b), daemonrank.Weight(id, a))
	})
	return order
}

// Ticket is a request that takes units.
type Ticket struct {
	key   *key
	cost  float64
	state TicketState
	retry time.Duration
	from  origin
	knew  Knowledge
	done  chan struct{}
}

// Knowledge is what a lender knew when it refused a request.
type Knowledge struct {
	// Coordinator is empty if there is none. Age is the time since its last answer, or -1 without one.
	Coordinator string
	Age         time.Duration
	// InHand are the units in hand.
	InHand float64
}

// TicketState is the state of a Ticket.
type TicketState string

// The states of a ticket.
const (
	TicketGranted TicketState = "Granted"
	TicketWaiting TicketState = "Waiting"
	TicketRefused TicketState = "Refused"
)

// State returns the state.
func (t *Ticket) State() TicketState { return t.state }

// RetryAfter returns when a refused request can be granted, at any daemon.
func (t *Ticket) RetryAfter() time.Duration { return t.retry }

// Knew returns on what a refusal was based.
func (t *Ticket) Knew() Knowledge { return t.knew }

// Done returns a channel that is closed when the ticket waits no longer.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// maxWaiting limits the requests of a key that wait.
const maxWaiting = 1024

// Take takes units for a request. If it has to wait for a coordinator, the ticket waits, and Due may
// return a message at once. The caller ends the wait with GiveUp after MaxWait.
func (l *Lender) Take(now time.Time, name string, limit Limit, cost float64) *Ticket {
	s := l.slots[slotOf(name, len(l.slots)).Index]
	k := s.key(now, name)
	if k.limit != limit {
		k.limit, k.retryAt = limit, time.Time{}
	}
	k.observe(now, cost)
	t := &Ticket{key: k, cost: cost}
	if len(k.waiting) == 0 && l.takeNow(now, t) {
		return t
	}
	_, hasCoordinator := l.coordinator(s)
	retry := k.retryAt.Sub(now)
	if !limit.isValid() || !hasCoordinator || retry > MaxWait || len(k.waiting) >= maxWaiting {
		l.refuse(now, t)
		return t
	}
	t.state, t.done = TicketWaiting, make(chan struct{})
	k.waiting = append(k.waiting, t)
	l.requireMessage(s, k)
	return t
}

// key returns the state of a key.
func (s *slotState) key(now time.Time, name string) *key {
	k, ok := s.keys[name]
	if !ok {
		k = &key{name: name, slot: s.Slot, forecastAt: now}
		s.keys[name] = k
	}
	return k
}

// slot returns the state of a key's slot.
func (l *Lender) slot(k *key) *slotState { return l.slots[slotOf(k.name, len(l.slots)).Index] }

// takeNow takes the units of a ticket from those in hand or from the home share, if there are enough.
func (l *Lender) takeNow(now time.Time, t *Ticket) bool {
	units := l.inHand(now, t.key)
	if units >= t.cost {
		t.from, t.state = t.key.spend(t.cost), TicketGranted
		t.key.backlog.grant(now, t.cost)
		return true
	}
	home := l.home(now, l.slot(t.key))
	if home == nil || !t.key.limit.isValid() {
		return false
	}
	b := home.bucket(t.key.name, t.key.limit)
	if b.level < t.cost-units {
		return false
	}
	b.take(t.cost - units)
	l.counts.Home += t.cost - units
	t.key.spend(units)
	t.key.backlog.grant(now, t.cost)
	t.from, t.state = origin{isHome: units == 0, at: now}, TicketGranted
	return true
}

func (l *Lender) inHand(now time.Time, k *key) float64 {
	units, expired := k.inHand(now)
	l.counts.Expired += expired
	return units
}

// refuse ends a ticket without units.
func (l *Lender) refuse(now time.Time, t *Ticket) {
	l.counts.Refused++
	t.state, t.retry = TicketRefused, max(t.key.retryAt.Sub(now), ReportInterval)
	if !now.Before(l.homeFrom) {
		// A request that waits for the start of the daemon is refused again and again, which is no backlog.
		t.retry = max(t.retry, t.key.backlog.refuse(now, t.cost))
	}
	t.knew = Knowledge{Age: -1, InHand: l.inHand(now, t.key)}
	if p, ok := l.coordinator(l.slot(t.key)); ok || !t.key.limit.isValid() {
		if ok && !p.receivedAt.IsZero() {
			t.knew.Coordinator, t.knew.Age = p.name, now.Sub(p.receivedAt)
		}
		return
	}
	// Without a coordinator, the home share is all that there is.
	if home := l.home(now, l.slot(t.key)); home != nil {
		t.retry = max(t.retry, home.bucket(t.key.name, t.key.limit).timeUntil(home, t.cost, 0))
	}
}

// GiveUp ends the wait of a ticket, if it still waits: it is refused then.
func (l *Lender) GiveUp(now time.Time, t *Ticket) {
	if t.state != TicketWaiting {
		return
	}
	t.key.waiting = slices.DeleteFunc(t.key.waiting, func(other *Ticket) bool { return other == t })
	l.refuse(now, t)
	close(t.done)
}

// Refund gives back the units of a request that was not run.
func (l *Lender) Refund(now time.Time, t *Ticket) {
	if t.state != TicketGranted {
		return
	}
	t.state = TicketRefused
	s := l.slot(t.key)
	if t.from.isHome {
		if home := l.home(now, s); home != nil {
			home.bucket(t.key.name, t.key.limit).giveBack(home, t.cost, t.from.at)
		}
		return
	}
	if t.from.from == "" {
		return
	}
	k := s.key(now, t.key.name)
	k.usedAt, k.limit = now, t.key.limit
	if now.Before(t.from.expires) {
		k.putBack(t.cost, t.from)
		l.serveWaiting(now, k)
		return
	}
	k.refund(t.cost, t.from)
	l.counts.Returned += t.cost
}

// serveWaiting grants units to the waiting tickets in their order, as far as there are some.
func (l *Lender) serveWaiting(now time.Time, k *key) {
	for len(k.waiting) > 0 && l.takeNow(now, k.waiting[0]) {
		close(k.waiting[0].done)
		k.waiting = slices.Delete(k.waiting, 0, 1)
	}
}
