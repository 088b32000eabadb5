// Package swappeer asks the daemon that holds the lease of a service where a model is
// ready, and answers as that daemon, over the connections between daemons.
//
// # Usage
//
//	client := swappeer.NewClient(dependencies)
//	group.Go(func() error { return client.Run(ctx) })
//	grant, err := client.Find(ctx, "llm", need)
//
// Each daemon reports its requests to the holder, and gets the replicas that stay. Those
// it uses without asking.
package swappeer

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
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
	// askTimeout bounds a question: the holder answers within its own, shorter time.
	askTimeout = 1200 * time.Millisecond
	// askAgain is the pause before a holder is looked up again.
	askAgain = 60 * time.Millisecond
	// holderPatience is how long a question goes without an answer before the request is
	// placed without the holder.
	holderPatience = 250 * time.Millisecond
	// reportInterval is how often changed demand is reported, and idleReportInterval how
	// often any is. To a holder that vouches for what others read, it is vouchedReportInterval.
	reportInterval        = 250 * time.Millisecond
	idleReportInterval    = time.Second
	vouchedReportInterval = 500 * time.Millisecond
	reportTimeout         = 600 * time.Millisecond
	// answerAge is how old the last answer of a holder that answers may be.
	answerAge = 1300 * time.Millisecond
	// tableTTL is how long the replicas of a report are used.
	tableTTL = 4 * time.Second
)

// ErrNoHolder says that no daemon answers as the holder of a service.
var ErrNoHolder = errors.New("no daemon answers as the holder of the service")

// Dependencies are what the client needs.
type Dependencies struct {
	Self string
	// Holder returns who holds a service as far as is known.
	Holder func(service string) leaselog.Holder
	// LeaseChanged returns a channel that is closed when a lease changes.
	LeaseChanged func() <-chan struct{}
	// Address returns where other daemons reach a daemon.
	Address func(daemon string) (string, bool)
	// Services returns the services with model engines.
	Services func() []string
	Held     *swapholder.Set
	// Leaving returns the servers that have said that they leave and are not listed so, and
	// LearnLeaving takes in such servers from another daemon.
	Leaving      func() []azurehitch.ServerIdentity
	LearnLeaving func(servers []azurehitch.ServerIdentity)
	// Vouched takes in how far the holder has read the streams that all follow, as of when it
	// was asked.
	Vouched func(positions []compacted.Position, askedAt time.Time)
	Peers   *mux.Client
	Clock   azurehitch.Clock
	Logs    *logging.Logs
	Metrics *metrics.Metrics
}

// Client asks holders.
type Client struct {
	Dependencies
	mu       sync.Mutex
	services map[string]*usage
}

// NewClient returns a client.
func NewClient(dependencies Dependencies) *Client {
	return &Client{Dependencies: dependencies, services: map[string]*usage{}}
}

// Find returns where a request may go, and waits for that if need be. The error is an
// *azurehitch.ErrRefused, that of the context, or ErrNoHolder when no holder has answered for
// some time.
func (c *Client) Find(ctx context.Context, service string, need swap.Need) (swap.Grant, error) {
	answeredAt := c.Clock.Now()
	for {
		verdict, err := c.ask(ctx, service, need)
		if ctx.Err() != nil {
			c.withdraw(service, need.ID)
			return swap.Grant{}, ctx.Err()
		}
		if err != nil {
			c.Metrics.Add(metrics.PeerErrors, 1)
			c.usage(service).setUnanswered(c.Clock.Now())
			if c.Clock.Now().Sub(answeredAt) >= holderPatience {
				return swap.Grant{}, ErrNoHolder
			}
			if err := c.Clock.Sleep(ctx, askAgain); err != nil {
				return swap.Grant{}, errors.Wrap(err, "no holder answers")
			}
			continue
		}
		answeredAt = c.Clock.Now()
		c.usage(service).setHeard()
		switch verdict.Kind {
		case swap.VerdictGranted:
			c.granted(service, verdict.Grant)
			return verdict.Grant, nil
		case swap.VerdictRefused:
			return swap.Grant{}, azurehitch.Refuse(azurehitch.CodeNoCapacity, "%s: %s, about %v",
				need.Model, verdict.Reason, verdict.Estimate.Round(time.Millisecond)).WithRetryAfter(verdict.Estimate)
		}
	}
}

// ask asks the holder once.
func (c *Client) ask(ctx context.Context, service string, need swap.Need) (swap.Verdict, error) {
	holder := c.Holder(service)
	if holder.Daemon == c.Self {
		return c.Held.Ask(ctx, service, need)
	}
	response, err := c.callWhile(ctx, service, holder, &peerpb.Request{
		Kind: &peerpb.Request_SwapAsk{SwapAsk: needToProto(service, need, c.Clock.Now())},
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

// callWhile asks the holder of a service, and gives up as soon as another daemon holds it: the one
// that is asked may be gone without a word.
func (c *Client) callWhile(
	ctx context.Context, service string, holder leaselog.Holder, request *peerpb.Request,
) (*peerpb.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	var watch errgroup.Group
	watch.Go(func() error {
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
	response, err := c.call(ctx, holder.Daemon, askTimeout, request)
	cancel()
	// The watch returns no error.
	_ = watch.Wait()
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

// Run reports the demand of this daemon until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for c.Clock.Sleep(ctx, reportInterval) == nil {
		for _, service := range c.Services() {
			c.report(ctx, service)
		}
	}
	return nil
}

func (c *Client) report(ctx context.Context, service string) {
	demand, withdrawn, due := c.usage(service).takeDemand(c.Clock.Now())
	if !due {
		return
	}
	kept, err := c.sendReport(ctx, service, demand, withdrawn)
	if err != nil {
		c.Metrics.Add(metrics.PeerErrors, 1)
		c.usage(service).setUnanswered(c.Clock.Now())
		c.usage(service).returnDemand(demand)
		return
	}
	c.usage(service).setKept(kept, c.Clock.Now())
}

func (c *Client) sendReport(ctx context.Context, service string, demand swap.Demand, withdrawn []string) ([]swap.Kept, error) {
	holder := c.Holder(service)
	if holder.Daemon == c.Self {
		return c.Held.Report(service, c.Self, demand, withdrawn)
	}
	askedAt := c.Clock.Now()
	request := demandToProto(service, demand, withdrawn)
	request.Leaving = startsToProto(c.Leaving())
	response, err := c.call(ctx, holder.Daemon, reportTimeout, &peerpb.Request{
		Kind: &peerpb.Request_SwapReport{SwapReport: request},
	})
	if err != nil {
		return nil, err
	}
	answer, ok := response.Kind.(*peerpb.Response_SwapReport)
	if !ok {
		return nil, ErrNoHolder
	}
	read := positionsFromProto(answer.SwapReport.Read)
	c.usage(service).setAnswered(c.Clock.Now(), len(read) > 0)
	c.Vouched(read, askedAt)
	c.LearnLeaving(startsFromProto(answer.SwapReport.Leaving))
	return keptFromProto(answer.SwapReport.Kept), nil
}

// SilentFor returns how long no daemon has answered this one as the holder of a service.
func (c *Client) SilentFor(service string) time.Duration {
	return c.usage(service).silentFor(c.Clock.Now())
}

// HolderAnswers reports whether other daemons have answered lately as the holders of all
// services with model engines.
func (c *Client) HolderAnswers() bool {
	services := c.Services()
	for _, service := range services {
		if c.Holder(service).Daemon == c.Self || c.Clock.Now().Sub(c.usage(service).lastAnswer()) > answerAge {
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

// Kept returns the replicas of a model that stay, as of the last report; none if that is
// too long ago. The requests at their servers include what this daemon has sent since.
func (c *Client) Kept(service, model string) []swap.Kept {
	return c.usage(service).keptOf(model, c.Clock.Now())
}

// Hurry lets the next reports go out without waiting, as when a server has said that it leaves.
func (c *Client) Hurry() {
	for _, service := range c.Services() {
		c.usage(service).hurry()
	}
}

// Arrived counts a request that this daemon places by itself.
func (c *Client) Arrived(service, model string) { c.usage(service).arrived(model) }

// Begin counts a request at a replica. The returned function ends it.
func (c *Client) Begin(service string, replica swap.Replica) (end func()) {
	u := c.usage(service)
	u.change(replica, 1)
	return func() { u.change(replica, -1) }
}

func (c *Client) granted(service string, grant swap.Grant) { c.usage(service).granted(grant.Number) }

func (c *Client) withdraw(service, id string) { c.usage(service).withdraw(id) }
