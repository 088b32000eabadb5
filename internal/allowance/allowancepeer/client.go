// Package allowancepeer charges requests to the allowances of client accounts, which all daemons keep
// together over the connections between them. Package sharedlimit makes the decisions.
//
// # Usage
//
//	client := allowancepeer.NewClient(dependencies)
//	group.Go(func() error { return client.Run(ctx) })
//	refund, err := client.Take(ctx, account, cost)
//	response := client.Handle(request)
//
// While no account has a limit, no message is sent.
package allowancepeer

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// Caller sends requests to other daemons. A *mux.Client implements it.
type Caller interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
}

// Dependencies holds what a Client uses.
type Dependencies struct {
	// Self is the name of this daemon, and Fleet returns what it knows of the others.
	Self  string
	Fleet func() sharedlimit.Fleet
	// Address returns the peer address of a daemon, and false if it is not known.
	Address func(daemon string) (string, bool)
	// Limit returns the limit of an account in the routing table in force, and false if it has none.
	// HasLimits reports whether any account has one.
	Limit     func(account string) (sharedlimit.Limit, bool)
	HasLimits func() bool
	Peers     Caller
	// Clock must advance while the machine is suspended.
	Clock   azurehitch.Clock
	Logs    *logging.Logs
	Metrics *metrics.Metrics
}

// Client takes units for this daemon's requests, and is the coordinator of some limits. It is safe for
// concurrent use.
type Client struct {
	Dependencies

	// mu protects lender, the others protect what follows them.
	mu     sync.Mutex
	lender *sharedlimit.Lender

	coordinatorMu sync.Mutex
	coordinator   *sharedlimit.Coordinator

	countsMu sync.Mutex
	counted  counts

	// startedAt is when the process started, or later when limits came into force. mu guards it and isActive.
	startedAt time.Time
	isActive  bool

	// wake makes Run look for messages to send.
	wake chan struct{}
	// coordinators are those of the last log line. Only Run uses them.
	coordinators []string
}

const (
	// startTime is how long after the start of a daemon requests wait for units, as far as their time allows: the
	// list of daemons, the first stamp of a coordinator and a loan take several messages. A request that waits
	// tries again every startPollInterval.
	startTime         = 1500 * time.Millisecond
	startPollInterval = 20 * time.Millisecond
)

// NewClient returns a client of a process that has just started.
func NewClient(dependencies Dependencies) *Client {
	now := dependencies.Clock.Now()
	process := now.UnixNano()
	return &Client{
		Dependencies: dependencies,
		lender:       sharedlimit.NewLender(dependencies.Self, process, now),
		coordinator:  sharedlimit.NewCoordinator(process, dependencies.Limit),
		wake:         make(chan struct{}, 1),
		startedAt:    now,
	}
}

// LimitOf returns an allowance as a limit, and false if requests are not charged to it.
func LimitOf(a azurehitch.Allowance) (sharedlimit.Limit, bool) {
	// An allowance without a burst still needs a bucket from which units are granted.
	const minBurstSeconds = 0.2
	return sharedlimit.Limit{PerSecond: a.PerSecond, Burst: max(a.Burst, a.PerSecond*minBurstSeconds)}, a.IsLimited()
}

// Take charges a request to the allowance of its account. It waits for units for up to
// sharedlimit.MaxWait, and while the daemon starts for up to startTime. The error is an *azurehitch.ErrRefused. The function refund gives the units back
// if the request was not run.
func (c *Client) Take(ctx context.Context, account azurehitch.ClientAccount, cost float64) (refund func(), err error) {
	limit, ok := LimitOf(account.Allowance)
	if !ok {
		return func() {}, nil
	}
	ticket, state := c.take(ctx, account.Name, limit, cost)
	for state != sharedlimit.TicketGranted && c.isStarting() && ctx.Err() == nil {
		if err := c.Clock.Sleep(ctx, startPollInterval); err != nil {
			break
		}
		ticket, state = c.take(ctx, account.Name, limit, cost)
	}
	if state != sharedlimit.TicketGranted {
		return nil, refusal(account, cost, ticket)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lender.Refund(c.Clock.Now(), ticket)
	}, nil
}

// take takes a ticket, and waits while it does.
func (c *Client) take(ctx context.Context, account string, limit sharedlimit.Limit, cost float64) (*sharedlimit.Ticket, sharedlimit.TicketState) {
	c.mu.Lock()
	ticket := c.lender.Take(c.Clock.Now(), account, limit, cost)
	state := ticket.State()
	c.mu.Unlock()
	if state == sharedlimit.TicketWaiting {
		c.wakeUp()
		state = c.await(ctx, ticket)
	}
	return ticket, state
}

// isStarting reports whether this daemon and others that started with it may not have lent their shares yet.
// Refusals would then lose requests within the limit.
func (c *Client) isStarting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.startedAt) < startTime
}

// await waits until a ticket is granted or refused.
func (c *Client) await(ctx context.Context, ticket *sharedlimit.Ticket) sharedlimit.TicketState {
	timer := time.NewTimer(sharedlimit.MaxWait)
	defer timer.Stop()
	select {
	case <-ticket.Done():
	case <-ctx.Done():
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lender.GiveUp(c.Clock.Now(), ticket)
	return ticket.State()
}

// refusal returns the answer to a request beyond the allowance, with what the daemon knew.
func refusal(account azurehitch.ClientAccount, cost float64, ticket *sharedlimit.Ticket) error {
	const format = "account %s is beyond its allowance of %g per second (burst %g) for a cost of %g: "
	a, knew := account.Allowance, ticket.Knew()
	if knew.Coordinator == "" {
		return azurehitch.Refuse(azurehitch.CodeAllowanceExceeded, format+"no coordinator answers this daemon",
			account.Name, a.PerSecond, a.Burst, cost).WithRetryAfter(ticket.RetryAfter())
	}
	return azurehitch.Refuse(azurehitch.CodeAllowanceExceeded, format+"%s answered %d ms ago, %.0f in hand",
		account.Name, a.PerSecond, a.Burst, cost, knew.Coordinator, knew.Age.Milliseconds(), knew.InHand).WithRetryAfter(ticket.RetryAfter())
}

// Handle answers the report of another daemon.
func (c *Client) Handle(daemon string, report *peerpb.AllowanceReport) *peerpb.Response {
	answer := c.handle(reportFromProto(daemon, report))
	return &peerpb.Response{Kind: &peerpb.Response_Allowance{Allowance: answerToProto(answer)}}
}

func (c *Client) handle(report sharedlimit.Report) sharedlimit.Answer {
	c.coordinatorMu.Lock()
	defer c.coordinatorMu.Unlock()
	return c.coordinator.Handle(c.Clock.Now(), report)
}

func (c *Client) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
