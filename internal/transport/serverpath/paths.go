package serverpath

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// blockedToCutOff is the number of blocked paths, found since a server was last reached, from which on
	// the daemon is cut off.
	blockedToCutOff = 3
	// reachedTime is how long after a server was reached a silent connection is no reason to check a path.
	reachedTime = time.Second
	// doubtTime is how long after a server was reached a dial that fails is no reason to check other paths.
	doubtTime = 200 * time.Millisecond
)

// paths knows which paths to servers are blocked.
type paths struct {
	mu sync.Mutex
	// blockedSince is when a path was found blocked, by the address of the server.
	blockedSince map[string]time.Time
	// reachedAt is when a server was last reached directly; zero before.
	reachedAt time.Time
	cutOff    bool
	// suspects are the servers whose paths are to be checked, and checkDue is true if other paths are.
	suspects  []string
	checkDue  bool
	checkedAt time.Time
	// nextProbe counts the probes, so that they go to one server after the other.
	nextProbe int
}

func newPaths() *paths { return &paths{blockedSince: map[string]time.Time{}} }

// change is what a finding has changed.
type change struct {
	// isNew is true if the path was open before, wasBlocked if it was blocked before, for blockedFor.
	isNew         bool
	wasBlocked    bool
	blockedFor    time.Duration
	cutOffChanged bool
}

func (p *paths) isCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

func (p *paths) isBlocked(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isBlocked := p.blockedSince[address]
	return isBlocked || p.cutOff
}

// reached records that a server was reached directly. The daemon is not cut off then.
func (p *paths) reached(address string, now time.Time) change {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, wasBlocked := p.blockedSince[address]
	delete(p.blockedSince, address)
	result := change{wasBlocked: wasBlocked, blockedFor: now.Sub(since), cutOffChanged: p.cutOff}
	p.reachedAt, p.cutOff = now, false
	return result
}

// blocked records that the path to one of a number of listed servers is blocked.
func (p *paths) blocked(address string, now time.Time, servers int) change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, isKnown := p.blockedSince[address]; isKnown {
		return change{}
	}
	p.blockedSince[address] = now
	p.checkDue = true
	wasCutOff := p.cutOff
	p.cutOff = wasCutOff || p.blockedSinceReached() >= min(blockedToCutOff, max(servers, 1))
	return change{isNew: true, cutOffChanged: p.cutOff != wasCutOff}
}

// blockedSinceReached counts the paths that were found blocked since a server was last reached.
func (p *paths) blockedSinceReached() int {
	count := 0
	for _, since := range p.blockedSince {
		if !since.Before(p.reachedAt) {
			count++
		}
	}
	return count
}

// suspect reports whether the path to a server is to be checked because its connection is silent.
func (p *paths) suspect(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff || now.Sub(p.reachedAt) < reachedTime || slices.Contains(p.suspects, address) || len(p.suspects) >= checkCount {
		return false
	}
	p.suspects = append(p.suspects, address)
	return true
}

// doubt reports whether paths to some servers are to be checked because a server was reached neither directly
// nor through others.
func (p *paths) doubt(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff || p.checkDue || now.Sub(p.reachedAt) < doubtTime {
		return false
	}
	p.checkDue = true
	return true
}

// toCheck returns the listed servers whose paths are to be checked now: the suspects, and some others after
// a path was found blocked.
func (p *paths) toCheck(servers []string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := p.suspects
	p.suspects = nil
	if !p.checkDue || p.cutOff || now.Sub(p.checkedAt) < checkInterval {
		return addresses
	}
	p.checkDue, p.checkedAt = false, now
	others := slices.DeleteFunc(slices.Clone(servers), func(address string) bool {
		_, isBlocked := p.blockedSince[address]
		return isBlocked || slices.Contains(addresses, address)
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(addresses, others[:min(len(others), checkCount)]...)
}

// toProbe returns the servers to dial now: of a daemon that is cut off any, else those whose paths are
// blocked. Servers that are not listed any more are forgotten.
func (p *paths) toProbe(servers []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.blockedSince, func(address string, _ time.Time) bool { return !slices.Contains(servers, address) })
	addresses := slices.Sorted(maps.Keys(p.blockedSince))
	if p.cutOff {
		addresses = slices.Sorted(slices.Values(servers))
	}
	var chosen []string
	for range min(probeCount, len(addresses)) {
		chosen = append(chosen, addresses[p.nextProbe%len(addresses)])
		p.nextProbe++
	}
	return chosen
}

// needProbes reports whether a path is blocked.
func (p *paths) needProbes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff || p.checkDue || len(p.blockedSince) > 0
}
