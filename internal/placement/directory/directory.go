// Package directory caches at each daemon which servers have ready replicas of the
// artifacts that its API callers use. The source is the holder of the pool, the daemon that
// holds the lease of the pool and decides which engines load what.
//
// # Usage
//
//	d := directory.New(holder, clock, "daemon-1")
//	view, err := d.Find(ctx, directory.Key{Pool: "llm", Artifact: artifact, Tier: tables.TierPaid})
//	defer d.Begin(key)()
//
// The daemon sends the holder of a pool a single request for all requests of one tier that
// wait for the same artifact. An expired view stays in use while it is refreshed, and up to
// staleLimit while no holder can be reached: an engine rejects requests for an artifact that
// it no longer has, so an outdated view only costs a failed attempt.
package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/proof/sabotage"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// refreshTimeout limits a request to the holder if no API caller waits for its answer, or if
	// the API caller has no deadline.
	refreshTimeout = 2 * time.Second
	// avoidDuration is how long this daemon sends no new requests to a server that announced
	// its shutdown, even if the holder lists it as ready.
	avoidDuration = 10 * time.Second
	// staleLimit is how long after its expiry a view may still be used.
	staleLimit = 15 * time.Minute
)

// HolderClient requests the servers with a ready replica of an artifact from the holder of its pool. An
// error means that the holder refused or that none could be reached in time.
type HolderClient interface {
	Acquire(ctx context.Context, request enginepool.Request) (enginepool.Grant, error)
}

// View lists the servers on which an artifact is ready, as far as this daemon knows.
type View struct {
	Servers []tables.BackendServer
	// ColdStart is how long the first replica took to become ready. Only the first view after the
	// wait has it; in others it is zero.
	ColdStart time.Duration
}

// Key identifies an artifact of a pool and the tier of the callers that use it. Each tier has its own
// view, since the daemon reports the demand of each tier to the holder separately.
type Key struct {
	Pool     string
	Artifact azurehitch.Artifact
	Tier     tables.Tier
}

// entry is the cached view of one key and the state of its refresh.
type entry struct {
	servers    []tables.BackendServer
	validUntil time.Time
	// requestPending is true while a request to the holder is in progress. There is at most one.
	requestPending bool
	// done is closed when the pending request to the holder ends. err is then the error of that
	// request, or nil.
	done chan struct{}
	err  error
	// requestDeadline is the deadline of the pending or last request to the holder.
	requestDeadline time.Time
	// waiting and inProgress are the numbers of API requests that wait for a replica, and that run
	// on one.
	waiting    int
	inProgress int
	// coldStart is the wait for the first replica; zero once a view has reported it.
	coldStart time.Duration
}

// Directory holds the views of one daemon.
type Directory struct {
	holder HolderClient
	clock  azurehitch.Clock
	daemon string
	group  *errgroup.Group

	mu           sync.Mutex
	entries      map[Key]*entry
	avoidedUntil map[string]time.Time
}

// New returns an empty directory for a daemon. It requests replicas through holder.
func New(holder HolderClient, clock azurehitch.Clock, daemon string) *Directory {
	return &Directory{
		holder:       holder,
		clock:        clock,
		daemon:       daemon,
		group:        &errgroup.Group{},
		entries:      map[Key]*entry{},
		avoidedUntil: map[string]time.Time{},
	}
}

// Find returns the servers on which an artifact is ready. If there are none, it waits until
// one is ready, the holder refuses, or the context ends.
func (d *Directory) Find(ctx context.Context, key Key) (View, error) {
	if sabotage.Active(sabotage.SkipWaitLimit) {
		ctx = context.WithoutCancel(ctx)
	}
	d.changeWaiting(key, 1)
	defer d.changeWaiting(key, -1)
	for {
		view, done := d.lookup(ctx, key)
		if done == nil {
			return view, nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return View{}, errors.Wrap(ctx.Err(), "wait for a replica")
		}
		if err := d.requestError(ctx, key, done); err != nil {
			return View{}, err
		}
	}
}

// lookup returns the view if it has usable servers, and starts to refresh it if it has expired.
// Otherwise it returns a channel that is closed when the pending request to the holder ends.
func (d *Directory) lookup(ctx context.Context, key Key) (View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	e := d.entry(key)
	usable := d.usableServers(e, now)
	switch {
	case len(usable) > 0 && now.Before(e.validUntil):
		return View{Servers: usable, ColdStart: e.takeColdStart()}, nil
	case len(usable) > 0:
		d.startRequest(context.WithoutCancel(ctx), key, e, now.Add(refreshTimeout))
		return View{Servers: usable}, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(refreshTimeout)
	}
	d.startRequest(context.WithoutCancel(ctx), key, e, deadline)
	return View{}, e.done
}

// takeColdStart returns the wait for the first replica, once.
func (e *entry) takeColdStart() time.Duration {
	took := e.coldStart
	e.coldStart = 0
	return took
}

// usableServers returns the servers of an entry that are not avoided. It returns none if the entry
// expired more than staleLimit ago.
func (d *Directory) usableServers(e *entry, now time.Time) []tables.BackendServer {
	if now.Sub(e.validUntil) > staleLimit {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.servers), func(s tables.BackendServer) bool {
		return now.Before(d.avoidedUntil[s.Name])
	})
}

func (d *Directory) entry(key Key) *entry {
	e, ok := d.entries[key]
	if !ok {
		e = &entry{}
		d.entries[key] = e
	}
	return e
}

// startRequest requests the servers of an entry from the holder in the background, unless such a request
// is in progress.
func (d *Directory) startRequest(ctx context.Context, key Key, e *entry, deadline time.Time) {
	if e.requestPending {
		return
	}
	e.requestPending = true
	e.requestDeadline = deadline
	e.done = make(chan struct{})
	request := enginepool.Request{
		Pool: key.Pool, Daemon: d.daemon, Artifact: key.Artifact,
		Demand: planner.Demand{Tier: key.Tier, Waiting: e.waiting, InProgress: e.inProgress},
	}
	d.group.Go(func() error {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		grant, err := d.holder.Acquire(ctx, request)
		d.finishRequest(key, grant, err)
		return nil
	})
}

func (d *Directory) finishRequest(key Key, grant enginepool.Grant, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(key)
	e.requestPending = false
	e.err = err
	if err == nil {
		e.servers = grant.Servers
		e.validUntil = d.clock.Now().Add(grant.ValidFor)
		e.coldStart = grant.Waited
	}
	close(e.done)
}

// requestError returns the error of the request to the holder that closed done, or nil if it succeeded.
// It also returns nil if that request had an earlier deadline than ctx: a new request to the holder
// may still succeed in time.
func (d *Directory) requestError(ctx context.Context, key Key, done <-chan struct{}) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(key)
	if e.done != done || e.err == nil {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.After(e.requestDeadline) {
		return nil
	}
	return e.err
}

func (d *Directory) changeWaiting(key Key, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(key).waiting += n
}

// Begin counts an API request as in progress on an artifact until end is called. The holder gets the
// count with the next request, and uses it to decide on additional replicas.
func (d *Directory) Begin(key Key) (end func()) {
	d.changeInProgress(key, 1)
	return func() { d.changeInProgress(key, -1) }
}

func (d *Directory) changeInProgress(key Key, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(key).inProgress += n
}

// Avoid excludes a server that announced its shutdown from new requests for avoidDuration.
func (d *Directory) Avoid(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidedUntil[server] = d.clock.Now().Add(avoidDuration)
}

// RemoveServer removes a server from the view of an artifact and expires the view, so that the next
// use refreshes it.
func (d *Directory) RemoveServer(key Key, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(key)
	e.servers = slices.DeleteFunc(slices.Clone(e.servers), func(s tables.BackendServer) bool { return s.Name == server })
	if now := d.clock.Now(); now.Before(e.validUntil) {
		e.validUntil = now
	}
}

// IsAvoided reports whether a server announced its shutdown within avoidDuration.
func (d *Directory) IsAvoided(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.Now().Before(d.avoidedUntil[server])
}
