// Package directory keeps, at each daemon, where the artifacts that its callers
// use are ready.
//
// # Usage
//
//	d := directory.New(asker, clock, "daemon-1")
//	view, err := d.Find(ctx, directory.Key{Pool: "llm", Artifact: artifact, Tier: tables.TierPaid})
//	defer d.Begin(key)()
//
// The daemon asks the holder of a pool once for all requests of one tier that wait for
// the same artifact. A view that has expired is used on while it is refreshed, and
// while the holder can't be asked: an engine refuses requests for what it no
// longer has, so an old view costs an attempt and nothing else.
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
	// refreshTimeout bounds a refresh that no request waits for.
	refreshTimeout = 2 * time.Second
	// avoidance is how long a server that said it leaves gets no new work from
	// this daemon, whatever the holder says.
	avoidance = 10 * time.Second
	// staleLimit is how long an expired view is used on.
	staleLimit = 15 * time.Minute
)

// Asker asks the holder of a pool.
type Asker interface {
	Ask(ctx context.Context, request enginepool.Request) (enginepool.Grant, error)
}

// View is where an artifact is ready.
type View struct {
	Servers []tables.BackendServer
	// ColdStart is how long the wait for the first replica took; zero if it was
	// ready.
	ColdStart time.Duration
}

// Key names what requests of one tier use.
type Key struct {
	Pool     string
	Artifact azurehitch.Artifact
	Tier     tables.Tier
}

type entry struct {
	servers    []tables.BackendServer
	validUntil time.Time
	asking     bool
	// answered is closed when the ask under way has ended.
	answered chan struct{}
	answer   error
	// askedUntil is the deadline of the ask.
	askedUntil time.Time
	waiting    int
	inProgress int
	coldStart  time.Duration
}

// Directory is the views of one daemon.
type Directory struct {
	asker  Asker
	clock  azurehitch.Clock
	daemon string
	group  *errgroup.Group

	mu      sync.Mutex
	entries map[Key]*entry
	avoided map[string]time.Time
}

// New returns an empty directory of a daemon.
func New(asker Asker, clock azurehitch.Clock, daemon string) *Directory {
	return &Directory{
		asker:   asker,
		clock:   clock,
		daemon:  daemon,
		group:   &errgroup.Group{},
		entries: map[Key]*entry{},
		avoided: map[string]time.Time{},
	}
}

// Find returns where an artifact is ready, and waits for that if need be.
func (d *Directory) Find(ctx context.Context, k Key) (View, error) {
	if sabotage.Active(sabotage.SkipWaitLimit) {
		ctx = context.WithoutCancel(ctx)
	}
	d.changeWaiting(k, 1)
	defer d.changeWaiting(k, -1)
	for {
		view, answered := d.look(ctx, k)
		if answered == nil {
			return view, nil
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return View{}, errors.Wrap(ctx.Err(), "wait for a replica")
		}
		if err := d.outcome(ctx, k, answered); err != nil {
			return View{}, err
		}
	}
}

// look returns the view, or the channel of the ask to wait for.
func (d *Directory) look(ctx context.Context, k Key) (View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	e := d.entry(k)
	usable := d.usable(e, now)
	switch {
	case len(usable) > 0 && now.Before(e.validUntil):
		return View{Servers: usable, ColdStart: e.takeColdStart()}, nil
	case len(usable) > 0:
		d.startAsk(context.WithoutCancel(ctx), k, e, now.Add(refreshTimeout))
		return View{Servers: usable}, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(refreshTimeout)
	}
	d.startAsk(context.WithoutCancel(ctx), k, e, deadline)
	return View{}, e.answered
}

func (e *entry) takeColdStart() time.Duration {
	took := e.coldStart
	e.coldStart = 0
	return took
}

func (d *Directory) usable(e *entry, now time.Time) []tables.BackendServer {
	if now.Sub(e.validUntil) > staleLimit {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.servers), func(s tables.BackendServer) bool {
		return now.Before(d.avoided[s.Name])
	})
}

func (d *Directory) entry(k Key) *entry {
	e, ok := d.entries[k]
	if !ok {
		e = &entry{}
		d.entries[k] = e
	}
	return e
}

func (d *Directory) startAsk(ctx context.Context, k Key, e *entry, deadline time.Time) {
	if e.asking {
		return
	}
	e.asking = true
	e.askedUntil = deadline
	e.answered = make(chan struct{})
	request := enginepool.Request{
		Pool: k.Pool, Daemon: d.daemon, Artifact: k.Artifact,
		Demand: planner.Demand{Tier: k.Tier, Waiting: e.waiting, InProgress: e.inProgress},
	}
	d.group.Go(func() error {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		grant, err := d.asker.Ask(ctx, request)
		d.answered(k, grant, err)
		return nil
	})
}

func (d *Directory) answered(k Key, grant enginepool.Grant, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(k)
	e.asking = false
	e.answer = err
	if err == nil {
		e.servers = grant.Servers
		e.validUntil = d.clock.Now().Add(grant.ValidFor)
		e.coldStart = grant.Waited
	}
	close(e.answered)
}

// outcome returns the refusal that an ask brought. One that had an earlier
// deadline than this request is no refusal of this one.
func (d *Directory) outcome(ctx context.Context, k Key, answered <-chan struct{}) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(k)
	if e.answered != answered || e.answer == nil {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.After(e.askedUntil) {
		return nil
	}
	return e.answer
}

func (d *Directory) changeWaiting(k Key, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(k).waiting += n
}

// Begin counts a request in progress on an artifact. The returned function ends it.
func (d *Directory) Begin(k Key) (end func()) {
	d.changeInProgress(k, 1)
	return func() { d.changeInProgress(k, -1) }
}

func (d *Directory) changeInProgress(k Key, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(k).inProgress += n
}

// Avoid keeps new work from a server that said it leaves.
func (d *Directory) Avoid(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[server] = d.clock.Now().Add(avoidance)
}

// Drop forgets that an artifact is ready on a server.
func (d *Directory) Drop(k Key, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(k)
	e.servers = slices.DeleteFunc(slices.Clone(e.servers), func(s tables.BackendServer) bool { return s.Name == server })
	if now := d.clock.Now(); now.Before(e.validUntil) {
		e.validUntil = now
	}
}

// IsAvoided reports whether a server said that it leaves.
func (d *Directory) IsAvoided(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.Now().Before(d.avoided[server])
}
