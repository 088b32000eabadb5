// Package holderpeer sends requests to other daemons over the connections between daemons, and
// serves the requests of other daemons. Most requests go to a holder: the daemon that holds the
// lease of a pool, or the lease for scheduling loads from the weight store.
//
// # Usage
//
//	client := holderpeer.NewClient(dependencies)
//	grant, err := client.Acquire(ctx, request)
//	server := mux.NewServer(listener, holderpeer.NewHandler(...))
package holderpeer

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/membership/hostwatch"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/errgroup"
)

const (
	// holderRetryInterval is the pause after a holder didn't answer, before the current holder is
	// looked up and requested again.
	holderRetryInterval = 50 * time.Millisecond
	// discoveryTimeout limits the state queries to the engines when no holder answers.
	discoveryTimeout = 500 * time.Millisecond
	// discoveryValidity is how long a daemon uses the ready replicas that discovery found at the
	// engines before it requests them again.
	discoveryValidity  = time.Second
	noHolderRetryAfter = 2 * time.Second
	// answerMargin is the time reserved before a deadline to return the refusal to the
	// caller.
	answerMargin = 20 * time.Millisecond
)

// errNotHeld is returned if the address of the daemon is unknown, or if the daemon answers that it does
// not hold the lease of the pool, or does not know the outcome of the call.
var errNotHeld = errors.New("the peer is not the holder")

// Client sends requests to holders and other daemons.
type Client struct {
	Store   *control.Store
	Pools   *enginepool.Set
	Slots   *loadslots.Server
	Peers   *mux.Client
	Members func() *hostwatch.Members
	Engines azurehitch.EngineDialer
	Clock   azurehitch.Clock
	Metrics *metrics.Metrics
	Tracer  *tracing.Tracer
}

// Acquire implements directory.HolderClient. It requests a grant from the holder of the pool. If the
// holder doesn't answer, it looks for ready replicas at the engines themselves. If there are none, it
// tries the holder again until the deadline. The error is an *azurehitch.ErrRefused.
func (c *Client) Acquire(ctx context.Context, request enginepool.Request) (enginepool.Grant, error) {
	ctx, span := c.Tracer.Start(ctx, "acquire", attribute.String("pool", request.Pool), attribute.String("artifact", request.Artifact.String()))
	defer span.End()
	ctx, cancel := withAnswerMargin(ctx)
	defer cancel()
	for {
		grant, err := c.acquireFromHolder(ctx, request)
		var refused *azurehitch.ErrRefused
		if err == nil || errors.As(err, &refused) {
			return grant, err
		}
		if grant, ok := c.discoverReady(ctx, request); ok {
			c.Metrics.Add(metrics.DirectDiscoveries, 1)
			return grant, nil
		}
		if err := c.Clock.Sleep(ctx, holderRetryInterval); err != nil {
			return enginepool.Grant{}, azurehitch.Refuse(azurehitch.CodeNoCapacity,
				"no daemon answers for pool %s", request.Pool).WithRetryAfter(noHolderRetryAfter)
		}
	}
}

// withAnswerMargin returns a context that ends answerMargin before the deadline of ctx.
func withAnswerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerMargin))
}

func (c *Client) acquireFromHolder(ctx context.Context, request enginepool.Request) (enginepool.Grant, error) {
	holder := c.Store.Lease(request.Pool).Holder
	if holder == c.Store.Self() {
		return c.Pools.Acquire(ctx, request)
	}
	response, err := c.call(ctx, holder, &peerpb.Request{
		Traceparent: tracing.Traceparent(ctx),
		Kind:        &peerpb.Request_Acquire{Acquire: acquireToProto(request)},
	})
	if err != nil {
		return enginepool.Grant{}, err
	}
	switch kind := response.Kind.(type) {
	case *peerpb.Response_Acquire:
		return c.completeServers(request.Pool, grantFromProto(kind.Acquire)), nil
	case *peerpb.Response_Refusal:
		return enginepool.Grant{}, refusalFromProto(kind.Refusal)
	}
	return enginepool.Grant{}, errNotHeld
}

// completeServers replaces each granted server by its entry in the table of pools, since a holder sends
// only names and addresses. A server whose address differs from the table stays as it is.
func (c *Client) completeServers(pool string, grant enginepool.Grant) enginepool.Grant {
	table, ok := c.Store.Configuration().Pools.Pool(pool)
	if !ok {
		return grant
	}
	for i, s := range grant.Servers {
		if listed, ok := table.Server(s.Name); ok && listed.Address == s.Address {
			grant.Servers[i] = listed
		}
	}
	return grant
}

func (c *Client) call(ctx context.Context, holder leaselog.Holder, request *peerpb.Request) (*peerpb.Response, error) {
	address, ok := c.Members().PeerAddress(holder.Daemon)
	if !ok {
		return nil, errNotHeld
	}
	c.Metrics.Add(metrics.PeerCalls, 1)
	response, err := c.Peers.Call(ctx, address, request)
	if err != nil {
		c.Metrics.Add(metrics.PeerErrors, 1)
	}
	return response, err
}

// discoverReady reads the state of all engines of a pool, and returns a grant for the servers on which
// the artifact is ready. It returns false if there are none. It sends no orders to the engines.
func (c *Client) discoverReady(ctx context.Context, request enginepool.Request) (enginepool.Grant, bool) {
	table, ok := c.Store.Configuration().Pools.Pool(request.Pool)
	if !ok {
		return enginepool.Grant{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	grant := enginepool.Grant{ValidFor: discoveryValidity}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range table.BackendServers {
		group.Go(func() error {
			if c.isReady(ctx, server, request.Artifact) {
				mu.Lock()
				defer mu.Unlock()
				grant.Servers = append(grant.Servers, server)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return enginepool.Grant{}, false
	}
	return grant, len(grant.Servers) > 0
}

// isReady reports whether an artifact is ready on a server that is not leaving. It is false if the engine
// can't be reached.
func (c *Client) isReady(ctx context.Context, server tables.BackendServer, artifact azurehitch.Artifact) bool {
	session, err := c.Engines.Dial(ctx, server.Address)
	if err != nil {
		return false
	}
	defer session.Close()
	state, err := session.State(ctx)
	if err != nil || state.Leaving || c.Members().Backends()[server.Name] == azurehitch.HostStateLeaving {
		return false
	}
	for _, p := range state.Placements {
		if p.Artifact == artifact && p.State == azurehitch.PlacementReady {
			return true
		}
	}
	return false
}

// Outcome requests the outcome of a call from the daemon that claimed it. The error is a
// *mux.ErrUnreachable, or errNotHeld if the daemon doesn't know the outcome.
func (c *Client) Outcome(ctx context.Context, owner leaselog.Holder, key claimlog.Key) (outcomes.Outcome, error) {
	response, err := c.call(ctx, owner, &peerpb.Request{
		Traceparent: tracing.Traceparent(ctx),
		Kind:        &peerpb.Request_Outcome{Outcome: keyToProto(key)},
	})
	if err != nil {
		return outcomes.Outcome{}, err
	}
	switch kind := response.Kind.(type) {
	case *peerpb.Response_Outcome:
		return outcomeFromProto(kind.Outcome), nil
	case *peerpb.Response_Refusal:
		return outcomes.Outcome{Refusal: refusalFromProto(kind.Refusal)}, nil
	}
	return outcomes.Outcome{}, errNotHeld
}

// Exchange implements loadslots.Exchanger. It sends the report to the daemon that schedules
// the loads from the weight store.
func (c *Client) Exchange(ctx context.Context, report loadslots.Report) (loadslots.Answer, error) {
	holder := c.Store.Lease(loadslots.Lease).Holder
	if holder == c.Store.Self() {
		return c.Slots.Exchange(ctx, holder.Daemon, report)
	}
	response, err := c.call(ctx, holder, &peerpb.Request{
		Kind: &peerpb.Request_Slots{Slots: slotsToProto(report, c.Clock.Now())},
	})
	if err != nil {
		return loadslots.Answer{}, err
	}
	if kind, ok := response.Kind.(*peerpb.Response_Slots); ok {
		return slotsAnswerFromProto(kind.Slots), nil
	}
	return loadslots.Answer{}, loadslots.ErrNotScheduler
}

// FetchState restores the control state from other daemons, for a daemon that starts while the log is
// unavailable. The control state is built by applying the records of the log in order. FetchState
// requests a snapshot of it from each daemon, and keeps the one that includes the most records. It
// reports whether any daemon had newer state.
func (c *Client) FetchState(ctx context.Context) bool {
	restored := false
	for _, daemon := range c.Members().Daemons {
		if daemon == c.Store.Self().Daemon {
			continue
		}
		response, err := c.call(ctx, leaselog.Holder{Daemon: daemon}, &peerpb.Request{
			Kind: &peerpb.Request_State{State: &peerpb.StateRequest{}},
		})
		if err != nil {
			continue
		}
		record, err := control.Decode(response.GetState().GetSnapshot())
		if err == nil && record.Snapshot != nil && c.Store.Restore(*record.Snapshot) {
			restored = true
		}
	}
	return restored
}

// Status requests the status of a daemon, such as its configuration version and the pools that
// it holds.
func (c *Client) Status(ctx context.Context, daemon string) (*peerpb.StatusResponse, error) {
	response, err := c.call(ctx, leaselog.Holder{Daemon: daemon}, &peerpb.Request{
		Kind: &peerpb.Request_Status{Status: &peerpb.StatusRequest{}},
	})
	return response.GetStatus(), err
}
