// Package hostwatch follows the platform's list of hosts.
//
// # Usage
//
//	watch := hostwatch.New(hosts, clock, observer, "daemon-1", "127.0.0.1:7100")
//	group.Go(func() error { return watch.Run(ctx) })
//	members := watch.Members()
//
// When the list can't be read, the last one stays in force.
package hostwatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"azurehitch"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Observer is told of each read of the list.
type Observer interface {
	HostListRead(err error)
}

// Members is the hosts that one read of the list showed. It is never changed.
type Members struct {
	// Daemons are the names of the live entry hosts in order, this one included
	// unless it leaves.
	Daemons []string
	// Leaving is true when the list says that this host leaves.
	Leaving  bool
	peers    map[string]string
	backends map[string]azurehitch.HostState
}

// PeerAddress returns the peer address of a daemon.
func (m *Members) PeerAddress(daemon string) (string, bool) {
	address, ok := m.peers[daemon]
	return address, ok
}

// Backends returns the state of each listed backend server; nil before the list was
// first read.
func (m *Members) Backends() map[string]azurehitch.HostState { return m.backends }

// Rank returns the position of a daemon among the live ones; -1 if it is none.
func (m *Members) Rank(daemon string) int { return slices.Index(m.Daemons, daemon) }

// Watch follows the list.
type Watch struct {
	list     azurehitch.HostList
	clock    azurehitch.Clock
	observer Observer
	self     string
	members  atomic.Pointer[Members]
}

// New returns a watch of the daemon with a name.
func New(list azurehitch.HostList, clock azurehitch.Clock, observer Observer, self string) *Watch {
	w := &Watch{list: list, clock: clock, observer: observer, self: self}
	unread := newMembers(nil, self)
	unread.backends = nil
	w.members.Store(unread)
	return w
}

// Members returns what the list showed last.
func (w *Watch) Members() *Members { return w.members.Load() }

// Run reads the list until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		w.poll(ctx)
		if err := w.clock.Sleep(ctx, pollInterval); err != nil {
			return nil
		}
	}
	return nil
}

func (w *Watch) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := w.list.Hosts(ctx)
	w.observer.HostListRead(err)
	if err == nil {
		w.members.Store(newMembers(hosts, w.self))
	}
}

func newMembers(hosts []azurehitch.Host, self string) *Members {
	m := &Members{peers: map[string]string{}, backends: map[string]azurehitch.HostState{}}
	for _, host := range hosts {
		if host.Role == azurehitch.HostRoleBackend {
			m.backends[host.Name] = host.State
			continue
		}
		m.peers[host.Name] = host.Address
		if host.State == azurehitch.HostStateLive && host.Name != self {
			m.Daemons = append(m.Daemons, host.Name)
		}
		if host.Name == self && host.State == azurehitch.HostStateLeaving {
			m.Leaving = true
		}
	}
	if !m.Leaving {
		m.Daemons = append(m.Daemons, self)
	}
	slices.Sort(m.Daemons)
	return m
}
