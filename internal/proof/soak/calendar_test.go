package soak_test

import (
	"sync"
	"time"
)

// everyDaemon is the number under which the disturbances of all daemons are noted.
const everyDaemon = -1

// plannedStop is the name of planned stops.
const plannedStop = "planned stop"

// disturbance is a span in which a fault could show.
type disturbance struct {
	name   string
	daemon int
	// planned work must not show.
	planned bool
	from    time.Time
	// to is zero while it lasts.
	to time.Time
}

// calendar is the disturbances of a run.
type calendar struct {
	mu      sync.Mutex
	daemons []*disturbance
	servers []*disturbance
	store   []*disturbance
}

// begin notes a disturbance. The returned function notes its end.
func (c *calendar) begin(list *[]*disturbance, d disturbance) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.from = time.Now()
	noted := &d
	*list = append(*list, noted)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		noted.to = time.Now()
	}
}

func (c *calendar) disturbDaemon(daemon int, name string) (end func()) {
	return c.begin(&c.daemons, disturbance{name: name, daemon: daemon})
}

func (c *calendar) disturbServers(name string) (end func()) {
	return c.begin(&c.servers, disturbance{name: name, daemon: everyDaemon})
}

func (c *calendar) disturbStore(name string) (end func()) {
	return c.begin(&c.store, disturbance{name: name, daemon: everyDaemon})
}

// planWork notes planned work on a daemon.
func (c *calendar) planWork(daemon int, name string) (end func()) {
	return c.begin(&c.daemons, disturbance{name: name, daemon: daemon, planned: true})
}

// overlaps returns the first disturbance that fits and overlaps a span.
func (c *calendar) overlaps(list *[]*disturbance, from, to time.Time, fits func(*disturbance) bool) *disturbance {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range *list {
		if fits(d) && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return d
		}
	}
	return nil
}

// isCalm reports whether a daemon was without unplanned disturbance in a span and for some
// time before.
func (c *calendar) isCalm(daemon int, from, to time.Time) bool {
	return c.overlaps(&c.daemons, from.Add(-stableWindow), to, func(d *disturbance) bool {
		return !d.planned && (d.daemon == daemon || d.daemon == everyDaemon)
	}) == nil
}

// plannedWork returns the planned work on a daemon in a span; nil if there was none.
func (c *calendar) plannedWork(daemon int, from, to time.Time) *disturbance {
	return c.overlaps(&c.daemons, from, to, func(d *disturbance) bool {
		return d.planned && (d.daemon == daemon || d.daemon == everyDaemon)
	})
}

func (c *calendar) areServersCalm(from, to time.Time) bool {
	return c.overlaps(&c.servers, from.Add(-stableWindow), to, func(*disturbance) bool { return true }) == nil
}

func (c *calendar) isStoreCalm(from, to time.Time) bool {
	return c.overlaps(&c.store, from.Add(-stableWindow), to, func(*disturbance) bool { return true }) == nil
}
