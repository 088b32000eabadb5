// Package swappeer requests replicas of models from the daemon that holds the lease of a
// service, and serves such requests as that daemon, over the connections between daemons.
//
// # Usage
//
//	client := swappeer.NewClient(dependencies)
//	group.Go(func() error { return client.Run(ctx) })
//	grant, err := client.Find(ctx, "llm", request)
//
// The holder of a service is the daemon that holds its lease. Each daemon reports its requests to
// the holder, and receives the pinned replicas in the answer. It sends requests to pinned replicas
// without asking the holder. For other requests, the holder returns a verdict, which may grant a
// server.
package swappeer

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/oplog/compacted"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swapholder"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// verdictTimeout limits a request to the holder, which answers within its own, shorter limit.
	verdictTimeout = 1200 * time.Millisecond
	// holderRetryDelay is the delay before the holder is looked up again after a failed request.
	holderRetryDelay = 60 * time.Millisecond
	// holderTimeout is how long requests to the holder may fail before Find returns ErrNoHolder,
	// so that the caller places the request without the holder.
	holderTimeout = 250 * time.Millisecond
	// reportInterval is the interval between reports of changed demand, and idleReportInterval
	// between reports of unchanged demand. If the last answer of the holder confirmed how far it
	// has read the streams that all daemons follow, unchanged demand is reported each
	// confirmedReportInterval.
	reportInterval          = 250 * time.Millisecond
	idleReportInterval      = time.Second
	confirmedReportInterval = 500 * time.Millisecond
	reportTimeout           = 600 * time.Millisecond
	// freedReportInterval is the least interval between reports while requests end at servers for whose slots
	// others wait at the holder. The holder can't grant a slot before it is reported, so an interval of 250 ms
	// leaves a slot idle for 125 ms in the mean, a good part of what an urgent request may wait.
	freedReportInterval = 40 * time.Millisecond
	// maxAnswerAge is how long a holder counts as answering after its last answer to a report.
	maxAnswerAge = 1300 * time.Millisecond
	// pinnedTTL is how long the pinned replicas in the answer to a report are used.
	pinnedTTL = 4 * time.Second
)

// ErrNoHolder reports that no daemon answers as the holder of a service.
var ErrNoHolder = errors.New("no daemon answers as the holder of the service")

// Dependencies are the settings and services that the client uses.
type Dependencies struct {
	// Self is the name of this daemon.
	Self string
	// Holder returns the last known holder of a service.
	Holder func(service string) leaselog.Holder
	// LeaseChanged returns a channel that is closed when a lease changes.
	LeaseChanged func() <-chan struct{}
	// Address returns the peer address of a daemon, and false if it is not known.
	Address func(daemon string) (string, bool)
	// Services returns the services with model engines.
	Services func() []string
	// Held contains the services that this daemon holds.
	Held *swapholder.Set
	// UnlistedShutdowns returns the servers that have announced their shutdown while the server
	// list doesn't show it yet. RecordShutdowns records such servers when the holder names them.
	UnlistedShutdowns func() []azurehitch.ServerIdentity
	RecordShutdowns   func(servers []azurehitch.ServerIdentity)
	// Limits contains the rate limits of servers, which this daemon and the holder exchange.
	Limits *serverlimit.Tracker
	// ConfirmPositions records how far the holder has read the streams that all daemons follow. The
	// report to the holder was sent at askedAt, from which the ages of the positions count back.
	ConfirmPositions func(positions []compacted.Position, askedAt time.Time)
	Peers            *mux.Client
	Clock            azurehitch.Clock
	Logs             *logging.Logs
	Metrics          *metrics.Metrics
}

// Client sends requests and reports to the holders of services.
type Client struct {
	Dependencies
	// freed triggers the reports of the services in which a slot has become free for which requests wait.
	freed    chan struct{}
	mu       sync.Mutex
	services map[string]*usage
}

// NewClient returns a client.
func NewClient(dependencies Dependencies) *Client {
	return &Client{Dependencies: dependencies, services: map[string]*usage{}, freed: make(chan struct{}, 1)}
}

// Find returns the replica granted to a request, and waits for a load if necessary. The error is
// an *azurehitch.ErrRefused, the error of the context, or ErrNoHolder if the same holder has not
// answered for holderTimeout.
func (c *Client) Find(ctx context.Context, service string, request swap.Request) (swap.Grant, error) {
	answeredAt := c.Clock.Now()
	for {
		holder := c.Holder(service)
		verdict, err := c.requestVerdict(ctx, service, holder, request)
		if ctx.Err() != nil {
			c.withdraw(service, request.ID)
			return swap.Grant{}, ctx.Err()
		}
		if err != nil {
			c.Metrics.Add(metrics.PeerErrors, 1)
			c.usage(service).setUnanswered(c.Clock.Now())
			if c.Holder(service) != holder {
				// The next holder has not been asked yet.
				answeredAt = c.Clock.Now()
				continue
			}
			if c.Clock.Now().Sub(answeredAt) >= holderTimeout {
				return swap.Grant{}, ErrNoHolder
			}
			if err := c.Clock.Sleep(ctx, holderRetryDelay); err != nil {
				return swap.Grant{}, errors.Wrap(err, "no holder answers")
			}
			continue
		}
		answeredAt = c.Clock.Now()
		c.usage(service).setRequestAnswered()
		switch verdict.Kind {
		case swap.VerdictGranted:
			c.recordGrant(service, verdict.Grant)
			return verdict.Grant, nil
		case swap.VerdictRefused:
			return swap.Grant{}, azurehitch.Refuse(azurehitch.CodeNoCapacity, "%s: %s, about %v",
				request.Model, verdict.Reason, verdict.Estimate.Round(time.Millisecond)).WithRetryAfter(verdict.Estimate)
		}
	}
}

// requestVerdict sends a request to the holder once, or decides it here if this daemon is the
// holder.
func (c *Client) requestVerdict(
	ctx context.Context, service string, holder leaselog.Holder, request swap.Request,
) (swap.Verdict, error) {
	if holder.Daemon == c.Self {
		return c.Held.RequestReplica(ctx, service, request)
	}
	response, err := c.callHolder(ctx, service, holder, &peerpb.Request{
		Kind: &peerpb.Request_SwapAsk{SwapAsk: modelRequestToProto(service, request, c.Clock.Now())},
	})
	if err != nil {
		return swap.Verdict{}, err
	}
	answer, ok := response.Kind.(*peerpb.Response_SwapAsk)
	if !ok {
		return swap.Verdict{}, ErrNoHolder
	}
	return verdictFromProto(answer.SwapAsk), nil
}

// callHolder calls the holder of a service, and cancels the call as soon as another daemon holds
// the service: the former holder may have failed without closing its connections.
func (c *Client) callHolder(
	ctx context.Context, service string, holder leaselog.Holder, request *peerpb.Request,
) (*peerpb.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	var watcher errgroup.Group
	watcher.Go(func() error {
		defer cancel()
		for ctx.Err() == nil {
			changed := c.LeaseChanged()
			if c.Holder(service) != holder {
				return nil
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		return nil
	})
	response, err := c.call(ctx, holder.Daemon, verdictTimeout, request)
	cancel()
	// The watcher returns no error.
	_ = watcher.Wait()
	return response, err
}

func (c *Client) call(ctx context.Context, daemon string, timeout time.Duration, request *peerpb.Request) (*peerpb.Response, error) {
	address, ok := c.Address(daemon)
	if !ok {
		return nil, ErrNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.Metrics.Add(metrics.PeerCalls, 1)
	return c.Peers.Call(ctx, address, request)
}

// Run reports the demand of this daemon until the context ends: all services each reportInterval, and those
// in which a slot became free for which requests wait already after freedReportInterval.
func (c *Client) Run(ctx context.Context) error {
	lastRound := c.Clock.Now()
	for c.Clock.Sleep(ctx, freedReportInterval) == nil {
		c.awaitRound(ctx, lastRound.Add(reportInterval))
		isRound := c.Clock.Now().Sub(lastRound) >= reportInterval
		if isRound {
			lastRound = c.Clock.Now()
		}
		for _, service := range c.Services() {
			if isRound || c.usage(service).hasFreed() {
				c.report(ctx, service)
			}
		}
	}
	return nil
}

// awaitRound waits until the given time, or until a slot becomes free for which requests wait.
func (c *Client) awaitRound(ctx context.Context, round time.Time) {
	timer := time.NewTimer(round.Sub(c.Clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.freed:
	case <-ctx.Done():
	}
}

func (c *Client) report(ctx context.Context, service string) {
	demand, withdrawn, due := c.usage(service).takeDemand(c.Clock.Now())
	if !due {
		return
	}
	answer, err := c.sendReport(ctx, service, demand, withdrawn)
	if err != nil {
		c.Metrics.Add(metrics.PeerErrors, 1)
		c.usage(service).setUnanswered(c.Clock.Now())
		c.usage(service).returnDemand(demand)
		return
	}
	c.usage(service).setAnswer(answer, c.Clock.Now())
}

func (c *Client) sendReport(ctx context.Context, service string, demand swap.Demand, withdrawn []string) (swap.DemandAnswer, error) {
	holder := c.Holder(service)
	if holder.Daemon == c.Self {
		return c.Held.Report(service, c.Self, demand, withdrawn)
	}
	askedAt := c.Clock.Now()
	request := demandToProto(service, demand, withdrawn)
	request.Leaving = serversToProto(c.UnlistedShutdowns())
	request.Limits = rateLimitsToProto(c.Limits.Known())
	response, err := c.call(ctx, holder.Daemon, reportTimeout, &peerpb.Request{
		Kind: &peerpb.Request_SwapReport{SwapReport: request},
	})
	if err != nil {
		return swap.DemandAnswer{}, err
	}
	answer, ok := response.Kind.(*peerpb.Response_SwapReport)
	if !ok {
		return swap.DemandAnswer{}, ErrNoHolder
	}
	positions := positionsFromProto(answer.SwapReport.Read)
	c.usage(service).setReportAnswered(c.Clock.Now(), len(positions) > 0)
	c.ConfirmPositions(positions, askedAt)
	c.RecordShutdowns(serversFromProto(answer.SwapReport.Leaving))
	c.Limits.Merge(rateLimitsFromProto(answer.SwapReport.Limits), askedAt)
	return swap.DemandAnswer{Pinned: pinnedFromProto(answer.SwapReport.Kept), Awaited: answer.SwapReport.Awaited}, nil
}

// UnansweredFor returns how long no daemon has answered this one as the holder of a service; 0
// while one answers.
func (c *Client) UnansweredFor(service string) time.Duration {
	return c.usage(service).unansweredFor(c.Clock.Now())
}

// AllHoldersAnswer reports whether there are services with model engines, and other daemons have
// recently answered reports as the holders of all of them.
func (c *Client) AllHoldersAnswer() bool {
	services := c.Services()
	for _, service := range services {
		if c.Holder(service).Daemon == c.Self || c.Clock.Now().Sub(c.usage(service).lastAnswer()) > maxAnswerAge {
			return false
		}
	}
	return len(services) > 0
}

func (c *Client) usage(service string) *usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.services[service]
	if !ok {
		u = newUsage()
		c.services[service] = u
	}
	return u
}

// PinnedReplicas returns the pinned replicas of a model from the holder's answer to the last
// report, or none if the answer is older than pinnedTTL. Their request counts include the requests
// that this daemon has begun and ended since that answer.
func (c *Client) PinnedReplicas(service, model string) []swap.PinnedReplica {
	return c.usage(service).pinnedOf(model, c.Clock.Now())
}

// RequestReports makes the next reports due at once, for example when a server has announced its
// shutdown.
func (c *Client) RequestReports() {
	for _, service := range c.Services() {
		c.usage(service).requestReport()
	}
}

// CountArrival counts a request that this daemon places without the holder.
func (c *Client) CountArrival(service, model string) { c.usage(service).countArrival(model) }

// Begin counts a request as in progress at a replica, until the returned function is called.
func (c *Client) Begin(service string, replica swap.Replica) (end func()) {
	u := c.usage(service)
	u.addInProgress(replica, 1)
	return func() {
		u.addInProgress(replica, -1)
		if !u.hasFreed() {
			return
		}
		select {
		case c.freed <- struct{}{}:
		default:
		}
	}
}

// ObservePause records the mean pause between the events of a stream from a replica.
func (c *Client) ObservePause(service string, replica swap.Replica, pause time.Duration) {
	c.usage(service).addPause(replica, pause)
}

func (c *Client) recordGrant(service string, grant swap.Grant) {
	c.usage(service).recordGrant(grant.Number)
}

func (c *Client) withdraw(service, id string) { c.usage(service).withdraw(id) }
