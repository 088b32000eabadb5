package soak_test

import (
	"sync"
	"time"
)

// allDaemons is the daemon number of disturbances that affect every daemon.
const allDaemons = -1

// plannedStop is the disturbance name of a planned stop.
const plannedStop = "planned stop"

// freezeName is the disturbance name of a frozen daemon.
const freezeName = "freeze"

// settingsSignal is the disturbance name of changed settings with SIGHUP.
const settingsSignal = "changed settings, SIGHUP"

// disturbance is a period in which a fault or planned work may affect requests.
type disturbance struct {
	name   string
	daemon int
	// server is the address of the server that alone is affected; empty for no such limit.
	server string
	// planned marks planned work, which must not fail any request.
	planned bool
	from    time.Time
	// to is zero while the disturbance is in progress.
	to time.Time
}

// disturbanceLog records the disturbances of a run, in the order in which they start: those of
// daemons (faults and planned work), faults of servers and faults of the store. resumed has the moments at
// which daemons were resumed and links restored.
type disturbanceLog struct {
	mu      sync.Mutex
	daemons []*disturbance
	servers []*disturbance
	store   []*disturbance
	resumed []*disturbance
}

// begin records the start of a disturbance. The returned function records its end.
func (l *disturbanceLog) begin(list *[]*disturbance, d disturbance) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.from = time.Now()
	recorded := &d
	*list = append(*list, recorded)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		recorded.to = time.Now()
	}
}

func (l *disturbanceLog) beginDaemonFault(daemon int, name string) (end func()) {
	return l.begin(&l.daemons, disturbance{name: name, daemon: daemon})
}

func (l *disturbanceLog) beginServerFault(name string) (end func()) {
	return l.begin(&l.servers, disturbance{name: name, daemon: allDaemons})
}

func (l *disturbanceLog) beginStoreFault(name string) (end func()) {
	return l.begin(&l.store, disturbance{name: name, daemon: allDaemons})
}

// recordResumed records that a daemon is about to be resumed, or a link of it to be restored.
func (l *disturbanceLog) recordResumed(daemon int) {
	l.begin(&l.resumed, disturbance{name: "resumed", daemon: daemon})()
}

// recordRestored records that the link to a server is about to be restored.
func (l *disturbanceLog) recordRestored(server string) {
	l.begin(&l.resumed, disturbance{name: "link restored", daemon: allDaemons, server: server})()
}

// isJustResumed reports whether a daemon was resumed, or a link between it and a server was restored, within the
// resumeSlack before a moment.
func (l *disturbanceLog) isJustResumed(daemon int, server string, at time.Time) bool {
	return l.firstOverlapping(&l.resumed, at.Add(-resumeSlack), at, func(d *disturbance) bool {
		return (d.daemon == daemon || d.daemon == allDaemons) && (d.server == "" || d.server == server)
	}) != nil
}

// isInTouch reports whether a daemon ran without any fault or planned stop in the settleTime before a moment, and
// the store had no fault.
func (l *disturbanceLog) isInTouch(daemon int, at time.Time) bool {
	stop := l.firstOverlapping(&l.daemons, at.Add(-settleTime), at, func(d *disturbance) bool {
		return d.name == plannedStop && d.daemon == daemon
	})
	return stop == nil && l.isDaemonHealthy(daemon, at, at) && l.isStoreHealthy(at, at)
}

// beginPlannedWork records the start of planned work on a daemon: a planned stop or a change of
// settings or of the configuration, which must not fail any request. The returned function records
// its end.
func (l *disturbanceLog) beginPlannedWork(daemon int, name string) (end func()) {
	return l.begin(&l.daemons, disturbance{name: name, daemon: daemon, planned: true})
}

// firstOverlapping returns the first matching disturbance that overlaps a period, or nil.
func (l *disturbanceLog) firstOverlapping(list *[]*disturbance, from, to time.Time, matches func(*disturbance) bool) *disturbance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range *list {
		if matches(d) && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return d
		}
	}
	return nil
}

// isDaemonHealthy reports whether a daemon had no unplanned disturbance in a period or in the
// settleTime before it.
func (l *disturbanceLog) isDaemonHealthy(daemon int, from, to time.Time) bool {
	return l.firstOverlapping(&l.daemons, from.Add(-settleTime), to, func(d *disturbance) bool {
		return !d.planned && (d.daemon == daemon || d.daemon == allDaemons)
	}) == nil
}

// plannedWork returns the first planned work on a daemon in a period, or nil.
func (l *disturbanceLog) plannedWork(daemon int, from, to time.Time) *disturbance {
	return l.firstOverlapping(&l.daemons, from, to, func(d *disturbance) bool {
		return d.planned && (d.daemon == daemon || d.daemon == allDaemons)
	})
}

// areServersHealthy reports whether no server had a fault in a period or in the settleTime before
// it.
func (l *disturbanceLog) areServersHealthy(from, to time.Time) bool {
	return l.firstOverlapping(&l.servers, from.Add(-settleTime), to, func(*disturbance) bool { return true }) == nil
}

// isStoreHealthy reports whether the store had no fault in a period or in the settleTime before it.
func (l *disturbanceLog) isStoreHealthy(from, to time.Time) bool {
	return l.firstOverlapping(&l.store, from.Add(-settleTime), to, func(*disturbance) bool { return true }) == nil
}
