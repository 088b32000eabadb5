package rejectbudget

import (
	"slices"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/daemonrank"
)

const (
	// shareTTL is how long the shares of a service are used before daemons and servers are read again.
	shareTTL = time.Second
	// One of reserveFraction rejections is kept for requests that no daemon counts, and for daemons that do not
	// know each other yet.
	reserveFraction = 4
	// homePause is how long a daemon without any unit of a service sends no further request after a
	// rejection.
	homePause = 10 * time.Second
)

// serverSlots is a server and its slots.
type serverSlots struct {
	id    string
	slots int
}

// members are the daemons and servers between which the units of a service are shared.
type members struct {
	daemons   []string
	servers   []serverSlots
	allowance int
}

func (m members) equal(other members) bool {
	return m.allowance == other.allowance && slices.Equal(m.daemons, other.daemons) && slices.Equal(m.servers, other.servers)
}

// shares are the units of the servers of a service that one daemon may use.
type shares struct {
	members
	checkedAt time.Time
	// units are the numbers of units by server ID.
	units map[string]int
	// home is the server that a daemon without any unit of the service uses; empty if it has one.
	home string
}

// hasUnit reports whether this daemon may send a request to a server now that has waited for some time. The
// caller holds t.mu.
func (t *Tracker) hasUnit(id azurehitch.ServerIdentity, waited time.Duration) bool {
	listed, ok := t.Server(id.ID)
	if !ok || listed.Slots <= 0 {
		return true
	}
	now := t.Clock.Now()
	stated := t.current(id, listed.Service, now)
	if !stated.IsBrittle && (stated.isKnown(now) || waited >= maxStatementWait) {
		return true
	}
	s := t.server(id)
	used := s.inProgress + len(s.recentRejections(now))
	daemons := t.Daemons()
	if !stated.IsBrittle || len(daemons) == 0 {
		return used == 0
	}
	own := t.sharesOf(listed.Service, daemons, stated.Allowance, now)
	if own.home == listed.ID {
		return used == 0 && stated.Allowance > 0 && now.Sub(s.lastRejectedAt) >= homePause
	}
	return used < own.units[listed.ID]
}

// current returns what is known of the brittleness of a server: its own last statement, or a newer one of
// another server of its service. The caller holds t.mu.
func (t *Tracker) current(id azurehitch.ServerIdentity, service string, now time.Time) statement {
	var own statement
	if s, ok := t.servers[id]; ok {
		own = s.statement
	}
	newest := t.services[service]
	if !own.sentAt.IsZero() && (now.Sub(own.sentAt) < answerTTL || !newest.sentAt.After(own.sentAt)) {
		return own
	}
	return newest
}

// sharesOf returns the shares of this daemon in a service. The caller holds t.mu.
func (t *Tracker) sharesOf(service string, daemons []string, allowance int, now time.Time) shares {
	known, ok := t.shares[service]
	if ok && known.allowance == allowance && now.Sub(known.checkedAt) < shareTTL {
		return known
	}
	m := members{daemons: slices.Sorted(slices.Values(daemons)), allowance: allowance}
	for _, s := range t.Service(service) {
		m.servers = append(m.servers, serverSlots{id: s.ID, slots: s.Slots})
	}
	slices.SortFunc(m.servers, func(a, b serverSlots) int { return strings.Compare(a.id, b.id) })
	if !ok || !known.equal(m) {
		known = m.sharesOf(t.Self)
	}
	known.checkedAt = now
	t.shares[service] = known
	return known
}

// sharesOf returns the shares of a daemon. First each daemon gets one unit, then the units that remain at a
// server are divided between all daemons, those that come first in its ranking getting one more.
func (m members) sharesOf(self string) shares {
	own := shares{members: m, units: map[string]int{}}
	remaining := make([]int, len(m.servers))
	for i, s := range m.servers {
		remaining[i] = s.slots + m.allowance - m.allowance/reserveFraction
	}
	for _, daemon := range m.daemons {
		i := m.bestServer(daemon, func(i int) bool { return remaining[i] > 0 })
		if i < 0 {
			break
		}
		remaining[i]--
		if daemon == self {
			own.units[m.servers[i].id]++
		}
	}
	for i, s := range m.servers {
		own.units[s.id] += remaining[i] / len(m.daemons)
		if daemonrank.Index(s.id, self, m.daemons) < remaining[i]%len(m.daemons) {
			own.units[s.id]++
		}
	}
	if i := m.bestServer(self, func(int) bool { return true }); i >= 0 && own.isEmpty() {
		own.home = m.servers[i].id
	}
	return own
}

// bestServer returns the index of the server that suits a daemon best among those that are eligible; -1 if
// there is none.
func (m members) bestServer(daemon string, isEligible func(i int) bool) int {
	best := -1
	var highest uint64
	for i, s := range m.servers {
		if weight := daemonrank.Weight(s.id, daemon); isEligible(i) && (best < 0 || weight > highest) {
			best, highest = i, weight
		}
	}
	return best
}

// isEmpty reports whether the daemon has no unit of any server.
func (s shares) isEmpty() bool {
	for _, units := range s.units {
		if units > 0 {
			return false
		}
	}
	return true
}
