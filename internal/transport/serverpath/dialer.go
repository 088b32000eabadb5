// Package serverpath opens connections to backend servers, directly or, while this daemon does not reach a
// server, through another daemon.
//
// # Usage
//
//	dialer := serverpath.New(serverpath.Dependencies{Direct: connpool.DirectDialer{}, Indirect: tunnels, ...})
//	pool.WithDialer(dialer)
//	group.Go(func() error { return dialer.Run(ctx) })
//	...
//	if dialer.IsCutOff() { ... }
//
// A server that another daemon reaches, and this one does not, is sound: its path is blocked. Only that
// is taken as proof, so a server that has crashed or does not answer blocks no path. Connections to a server
// whose path is blocked are opened through another daemon at once. Once several paths are blocked and none has
// been found open since, the daemon is cut off, and takes all paths for blocked. Run dials the servers of blocked
// paths until they answer, so that no request pays for the question.
package serverpath

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// dialTimeout bounds the time to open a connection, whichever way.
	dialTimeout = 700 * time.Millisecond
	// indirectDelay is how long a direct dial may take before another daemon is asked as well.
	indirectDelay = 150 * time.Millisecond
	// probeInterval is how often servers of blocked paths are dialed, and probeCount how many of them.
	probeInterval = 200 * time.Millisecond
	probeCount    = 2
	// checkCount is how many other servers are dialed when a path is found blocked, at most once per
	// checkInterval.
	checkCount    = 3
	checkInterval = 300 * time.Millisecond
	// maxProbes bounds the dials of probes and checks in progress.
	maxProbes = 8
)

// ConnDialer opens connections to servers. An error implies that no byte has reached the server.
type ConnDialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Observer observes the paths to servers.
type Observer interface {
	// PathBlocked is called when a path is found blocked: the direct dial has failed with cause, or has
	// not ended, while another daemon has reached the server.
	PathBlocked(address string, cause error)
	// PathOpen is called when a blocked path is found open again.
	PathOpen(address string, blockedFor time.Duration)
	// CutOffChanged is called when this daemon is cut off from all servers, and when no longer.
	CutOffChanged(isCutOff bool)
}

// Dependencies holds what a Dialer needs.
type Dependencies struct {
	// Direct dials from this host, and Indirect through another daemon.
	Direct   ConnDialer
	Indirect ConnDialer
	// Servers returns the addresses of the listed servers.
	Servers func() []string
	// OnSilent is called with the address of a server whose connections are silent, because its path is
	// blocked; with "" for all servers.
	OnSilent func(address string)
	Observer Observer
	Clock    azurehitch.Clock
}

// Dialer opens connections to servers. It is safe for concurrent use.
type Dialer struct {
	Dependencies
	paths *paths
	// wake wakes Run when a path is blocked or is to be checked.
	wake chan struct{}
}

// errSlow is the cause of a blocked path whose direct dial had not ended.
var errSlow = errors.New("the direct dial takes long")

// ErrNoPath is returned if the path to a server is blocked, and no other daemon opens a connection to it. The server
// may be sound.
type ErrNoPath struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ErrNoPath) Error() string { return fmt.Sprintf("no path to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ErrNoPath) Unwrap() error { return e.Cause }

// New returns a Dialer that takes all paths for open.
func New(dependencies Dependencies) *Dialer {
	return &Dialer{Dependencies: dependencies, paths: newPaths(), wake: make(chan struct{}, 1)}
}

// IsCutOff reports whether this daemon reaches no server, while other daemons reach some.
func (d *Dialer) IsCutOff() bool { return d.paths.isCutOff() }

// IsBlocked reports whether the path to a server is blocked.
func (d *Dialer) IsBlocked(address string) bool { return d.paths.isBlocked(address) }

// Dial opens a connection to a server, through another daemon if the path to the server is blocked.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if d.paths.isBlocked(address) {
		return d.dialIndirect(ctx, address)
	}
	return d.race(ctx, address)
}

// dialIndirect dials through another daemon.
func (d *Dialer) dialIndirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.Indirect.Dial(ctx, address)
	var reported interface{ IsServerFault() bool }
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &reported) && reported.IsServerFault() {
		return conn, err
	}
	return nil, &ErrNoPath{Address: address, Cause: err}
}

// Suspect records that a server has sent nothing for a while on an open connection. Unless some server was
// reached lately, its path is checked.
func (d *Dialer) Suspect(address string) {
	if d.paths.suspect(address, d.Clock.Now()) {
		d.wakeRun()
	}
}

// Doubt records that a server was not reached. Unless some server was reached lately, the paths to some others are
// checked: the others that were asked may be cut off themselves, and not know it yet.
func (d *Dialer) Doubt() {
	if d.paths.doubt(d.Clock.Now()) {
		d.wakeRun()
	}
}

// reached records that a server was reached directly.
func (d *Dialer) reached(address string) {
	change := d.paths.reached(address, d.Clock.Now())
	if change.wasBlocked {
		d.Observer.PathOpen(address, change.blockedFor)
	}
	if change.cutOffChanged {
		d.Observer.CutOffChanged(false)
	}
}

// blocked records that another daemon has reached a server that this one did not reach because of cause.
func (d *Dialer) blocked(address string, cause error) {
	change := d.paths.blocked(address, d.Clock.Now(), len(d.Servers()))
	if !change.isNew {
		return
	}
	d.Observer.PathBlocked(address, cause)
	if change.cutOffChanged {
		d.Observer.CutOffChanged(true)
	}
	if isSilent(cause) {
		d.onSilent(address, change.cutOffChanged)
	}
	d.wakeRun()
}

func (d *Dialer) onSilent(address string, isCutOff bool) {
	if isCutOff {
		address = ""
	}
	d.OnSilent(address)
}

// isSilent reports whether a direct dial that failed, or has not ended, got no answer at all. Open
// connections over the same path are silent then, whereas they may live on if new ones are refused.
func isSilent(cause error) bool {
	var timeout net.Error
	return errors.Is(cause, errSlow) || errors.As(cause, &timeout) && timeout.Timeout()
}

func (d *Dialer) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run dials the servers of blocked paths until they answer, until the context ends. It always returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxProbes)
	for ctx.Err() == nil {
		now := d.Clock.Now()
		for _, address := range d.paths.toCheck(d.Servers(), now) {
			group.TryGo(func() error { return d.check(ctx, address) })
		}
		for _, address := range d.paths.toProbe(d.Servers()) {
			group.TryGo(func() error { return d.probe(ctx, address) })
		}
		d.await(ctx)
	}
	return group.Wait()
}

// await waits for the time of the next probes, or until a path is blocked.
func (d *Dialer) await(ctx context.Context) {
	if d.paths.needProbes() {
		// An error means that the context has ended, which ends the loop.
		_ = d.Clock.Sleep(ctx, probeInterval)
		return
	}
	select {
	case <-ctx.Done():
	case <-d.wake:
	}
}

// check finds out whether the path to a server is blocked. It always returns nil.
func (d *Dialer) check(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if conn, err := d.race(ctx, address); err == nil {
		conn.Close()
	}
	return nil
}

// probe finds out whether a blocked path is open again. It always returns nil.
func (d *Dialer) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if conn, err := d.dialDirect(ctx, address); err == nil {
		conn.Close()
	}
	return nil
}

// dialDirect dials from this host.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.Direct.Dial(ctx, address)
	if err == nil {
		d.reached(address)
	}
	return conn, err
}
