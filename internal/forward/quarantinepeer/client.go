// Package quarantinepeer reports to other daemons which requests crash servers, over the connections
// between daemons. It needs neither the platform nor the holder of a service.
//
// # Usage
//
//	client := quarantinepeer.NewClient(dependencies)
//	group.Go(func() error { return client.Run(ctx) })
//	response := client.Handle(request)
//
// In a small deployment, each daemon reports to all others what it has seen itself. In a large one it reports to
// a few, which pass it on: those whose distance in the ring of the sorted names is a power of two. A
// daemon that has started asks the same daemons for all that they know.
package quarantinepeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// maxDirectPeers is the number of other daemons up to which each daemon reports to all of them.
	maxDirectPeers = 16
	// batchTime is the time after a change in which further changes are collected.
	batchTime = 25 * time.Millisecond
	// callTimeout limits a call of another daemon.
	callTimeout = 400 * time.Millisecond
	// A call that failed is repeated after minRetryDelay, and after each further failure after twice
	// the time before, up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// startTime is how long after its start a daemon asks others for all that they know.
	startTime = 10 * time.Second
	// idleInterval is the longest time between two looks at the list of daemons.
	idleInterval = time.Second
)

// errNoAddress reports that the peer address of a daemon is not known.
var errNoAddress = errors.New("no address is known")

// Caller sends requests to other daemons. A *mux.Client implements it.
type Caller interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
}

// Dependencies holds what a Client uses.
type Dependencies struct {
	// Self is the name of this daemon, and Daemons returns the sorted names of all known daemons.
	Self    string
	Daemons func() []string
	// Address returns the peer address of a daemon, and false if it is not known.
	Address func(daemon string) (string, bool)
	Tracker *quarantine.Tracker
	Peers   Caller
	Clock   azurehitch.Clock
	Metrics *metrics.Metrics
}

// Client exchanges evidence with other daemons.
type Client struct {
	Dependencies
	startedAt time.Time

	mu    sync.Mutex
	peers map[string]*peer
	// answered wakes Run after a call.
	answered chan struct{}
}

// peer is what this daemon knows of another one.
type peer struct {
	// version is that of the evidence which the peer has received.
	version int64
	// hasReported is true once the peer has reported all that it knows.
	hasReported bool
	// isCalled is true during a call.
	isCalled   bool
	retryAt    time.Time
	retryDelay time.Duration
}

// NewClient returns a client.
func NewClient(dependencies Dependencies) *Client {
	return &Client{
		Dependencies: dependencies, startedAt: dependencies.Clock.Now(), peers: map[string]*peer{}, answered: make(chan struct{}, 1),
	}
}

// Handle records the evidence in the request of another daemon, and responds with all that this
// daemon knows if it is asked for.
func (c *Client) Handle(request *peerpb.CrashEvidence) *peerpb.Response {
	c.Tracker.Merge(evidenceFromProto(request), quarantine.SourcePeer)
	known := quarantine.Evidence{}
	if request.GetWantsAll() {
		known, _ = c.Tracker.Changes(0, false)
	}
	return &peerpb.Response{Kind: &peerpb.Response_CrashEvidence{CrashEvidence: evidenceToProto(known)}}
}

// Run reports each change to other daemons until the context ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		changed := c.Tracker.Changed()
		timer := time.NewTimer(c.reportToAll(ctx, group))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.answered:
		case <-timer.C:
		}
		timer.Stop()
		if err := c.Clock.Sleep(ctx, batchTime); err != nil {
			break
		}
	}
	return group.Wait()
}

// reportToAll calls each peer that lacks evidence, and returns the time until the next attempt.
func (c *Client) reportToAll(ctx context.Context, group *errgroup.Group) time.Duration {
	names := c.Daemons()
	isMesh := len(names)-1 <= maxDirectPeers
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := idleInterval
	for _, name := range Peers(c.Self, names, func(name string) bool { return now.Before(c.peer(name).retryAt) }) {
		p := c.peer(name)
		if wait := p.retryAt.Sub(now); wait > 0 {
			pause = min(pause, wait)
			continue
		}
		evidence, version := c.Tracker.Changes(p.version, isMesh)
		wantsAll := !p.hasReported && now.Sub(c.startedAt) < startTime
		if p.isCalled || evidence.IsEmpty() && !wantsAll {
			continue
		}
		p.isCalled = true
		message := evidenceToProto(evidence)
		message.WantsAll = wantsAll
		group.Go(func() error {
			c.report(ctx, name, message, version)
			return nil
		})
	}
	return pause
}

// peer returns the state of a peer. The caller holds c.mu.
func (c *Client) peer(name string) *peer {
	p, ok := c.peers[name]
	if !ok {
		p = &peer{retryDelay: minRetryDelay}
		c.peers[name] = p
	}
	return p
}

// report calls a peer, and records whether it has received the evidence.
func (c *Client) report(ctx context.Context, name string, message *peerpb.CrashEvidence, version int64) {
	response, err := c.call(ctx, name, message)
	if err == nil {
		c.Tracker.Merge(evidenceFromProto(response.GetCrashEvidence()), quarantine.SourcePeer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(name)
	p.isCalled = false
	if err != nil {
		c.Metrics.Add(metrics.PeerErrors, 1)
		p.retryAt = c.Clock.Now().Add(p.retryDelay)
		p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	} else {
		p.version, p.hasReported, p.retryDelay = version, p.hasReported || message.GetWantsAll(), minRetryDelay
	}
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

func (c *Client) call(ctx context.Context, name string, message *peerpb.CrashEvidence) (*peerpb.Response, error) {
	address, ok := c.Address(name)
	if !ok {
		return nil, &mux.ErrUnreachable{Address: name, Cause: errNoAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Metrics.Add(metrics.PeerCalls, 1)
	return c.Peers.Call(ctx, address, &peerpb.Request{Kind: &peerpb.Request_CrashEvidence{CrashEvidence: message}})
}

// Peers returns the daemons to which a daemon reports its evidence. Among many daemons, each place in the
// ring goes to the next daemon that doesn't fail.
func Peers(self string, names []string, fails func(name string) bool) []string {
	others := len(names) - 1
	position, ok := slices.BinarySearch(names, self)
	if !ok {
		return nil
	}
	ring := append(slices.Clone(names[position+1:]), names[:position]...)
	if others <= maxDirectPeers {
		return ring
	}
	var peers []string
	for distance := 1; distance <= others; distance *= 2 {
		end := min(2*distance, others+1)
		candidates := ring[distance-1 : end-1]
		if i := slices.IndexFunc(candidates, func(name string) bool { return !fails(name) }); i >= 0 {
			peers = append(peers, candidates[i])
		}
	}
	return peers
}
