package allowancepeer

import (
	"context"
	"slices"
	"strings"
	"time"

	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// callTimeout limits a call of another daemon. It must not be less than the time after which package mux
// replaces a silent connection. The units of an answer that takes longer than sharedlimit.GrantTime are lost.
const callTimeout = 300 * time.Millisecond

// errNoAddress reports that the peer address of a daemon is not known, and errOtherRelease that a daemon
// doesn't know reports of allowances.
var (
	errNoAddress    = errors.New("no address is known")
	errOtherRelease = errors.New("the daemon knows no allowances")
)

// Run reports to coordinators until the context ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	describedAt := time.Time{}
	for ctx.Err() == nil {
		if now := c.Clock.Now(); now.Sub(describedAt) >= sharedlimit.ReportInterval || c.isStarting() && now.Sub(describedAt) >= startPollInterval {
			c.describe(now)
			describedAt = now
		}
		pause := c.sendDue(ctx, group)
		if c.isStarting() {
			pause = min(pause, startPollInterval)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return group.Wait()
}

// describe passes what this daemon knows of the others on to the lender.
func (c *Client) describe(now time.Time) {
	hasLimits := c.HasLimits()
	fleet := sharedlimit.Fleet{}
	if hasLimits {
		fleet = c.Fleet()
	}
	c.mu.Lock()
	if hasLimits && !c.isActive {
		// The first limit, or the first after a time without: loans and buckets begin as after a start.
		c.startedAt = now
	}
	c.isActive = hasLimits
	c.lender.SetActive(hasLimits)
	if hasLimits {
		c.lender.SetFleet(now, fleet)
	}
	coordinators := c.lender.Coordinators()
	c.mu.Unlock()
	if hasLimits && !slices.Equal(coordinators, c.coordinators) {
		c.coordinators = coordinators
		c.Logs.Layer(logging.LayerForward).Info().Int("Daemons", fleet.Daemons).
			Str("Coordinators", strings.Join(coordinators, ",")).Msg("coordinators of allowances")
	}
}

// sendDue sends the messages that are due, and returns the time until the next.
func (c *Client) sendDue(ctx context.Context, group *errgroup.Group) time.Duration {
	c.mu.Lock()
	messages := c.lender.Due(c.Clock.Now())
	c.mu.Unlock()
	for _, m := range messages {
		if m.To == c.Self {
			c.answered(m, c.handle(m.Report), nil)
			continue
		}
		group.Go(func() error {
			answer, err := c.call(ctx, m)
			c.answered(m, answer, err)
			c.wakeUp()
			return nil
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	pause := max(c.lender.NextDue(now).Sub(now), time.Millisecond)
	if c.lender.HasWaiting() {
		// A coordinator that has no units yet names a time which may come before the next report.
		pause = min(pause, sharedlimit.MinRequestInterval)
	}
	return pause
}

// answered passes the answer to a message, or the error of the call, on to the lender.
func (c *Client) answered(m sharedlimit.Message, answer sharedlimit.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if err == nil {
		c.lender.Answered(now, m.To, m.Report.Sequence, answer)
		return
	}
	unreachable := &mux.ErrUnreachable{}
	isUnsent := errors.As(err, &unreachable) && !unreachable.Sent && !errors.Is(err, context.DeadlineExceeded)
	c.lender.Failed(now, m.To, m.Report.Sequence, isUnsent || errors.Is(err, errOtherRelease))
}

func (c *Client) call(ctx context.Context, m sharedlimit.Message) (sharedlimit.Answer, error) {
	address, ok := c.Address(m.To)
	if !ok {
		return sharedlimit.Answer{}, &mux.ErrUnreachable{Address: m.To, Cause: errNoAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Metrics.Add(metrics.PeerCalls, 1)
	response, err := c.Peers.Call(ctx, address, &peerpb.Request{Kind: &peerpb.Request_Allowance{Allowance: reportToProto(m.Report)}})
	if err != nil {
		c.Metrics.Add(metrics.PeerErrors, 1)
		return sharedlimit.Answer{}, err
	}
	if response.GetAllowance() == nil {
		return sharedlimit.Answer{}, errors.WithStack(errOtherRelease)
	}
	return answerFromProto(response.GetAllowance()), nil
}
