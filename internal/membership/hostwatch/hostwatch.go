// Package hostwatch polls the platform's list of hosts: backend servers, and entry hosts, which are
// the hosts that run a daemon.
//
// # Usage
//
//	watch := hostwatch.New(hosts, clock, observer, "daemon-1")
//	group.Go(func() error { return watch.Run(ctx) })
//	members := watch.Members()
//
// If the list can't be read, the result of the last successful read is kept.
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

// Observer receives the result of each read of the list.
type Observer interface {
	HostListRead(err error)
}

// Members holds the hosts of one read of the list. It is immutable.
type Members struct {
	// Daemons are the sorted names of the live entry hosts. They include this host unless
	// Leaving is true.
	Daemons []string
	// Leaving is true if the list shows this host as leaving.
	Leaving bool
	// peers holds the peer addresses of the listed daemons, by name.
	peers map[string]string
	// backends holds the states of the listed backend servers, by name. It is nil before the first
	// read.
	backends map[string]azurehitch.HostState
}

// PeerAddress returns the peer address of a daemon, and false if it is not listed.
func (m *Members) PeerAddress(daemon string) (string, bool) {
	address, ok := m.peers[daemon]
	return address, ok
}

// Backends returns the state of each listed backend server; nil before the list was
// first read.
func (m *Members) Backends() map[string]azurehitch.HostState { return m.backends }

// Rank returns the index of a daemon in Daemons; -1 if it is not there.
func (m *Members) Rank(daemon string) int { return slices.Index(m.Daemons, daemon) }

// Watch polls the list.
type Watch struct {
	list     azurehitch.HostList
	clock    azurehitch.Clock
	observer Observer
	self     string
	members  atomic.Pointer[Members]
}

// New returns a watch for the daemon named self. Until the first read, it shows only that daemon.
func New(list azurehitch.HostList, clock azurehitch.Clock, observer Observer, self string) *Watch {
	w := &Watch{list: list, clock: clock, observer: observer, self: self}
	unread := newMembers(nil, self)
	unread.backends = nil
	w.members.Store(unread)
	return w
}

// Members returns the hosts of the last successful read.
func (w *Watch) Members() *Members { return w.members.Load() }

// Run polls the list until the context is done. It returns nil.
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
