package claimlog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/standin/platformlog"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	stream = "calls"
	window = time.Minute
)

type quiet struct{}

func (quiet) LogRead(error)     {}
func (quiet) LogAppended(error) {}

// claimant is the claims of one daemon.
type claimant struct {
	fold    *claimlog.Fold
	claimer *claimlog.Claimer
	log     azurehitch.Log
}

func newClaimant(log azurehitch.Log, name string) *claimant {
	fold := claimlog.NewFold(leaselog.Holder{Daemon: name, Incarnation: "1"}, azurehitch.SystemClock{}, window)
	return &claimant{fold: fold, claimer: claimlog.NewClaimer(log, stream, fold, quiet{}), log: log}
}

// withFollower runs a function while a claimant reads the log.
func withFollower(c *qt.C, d *claimant, run func(ctx context.Context)) {
	c.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	follower := follow.NewFollower(d.log, stream, d.fold, azurehitch.SystemClock{}, quiet{})
	group.Go(func() error { return follower.Run(ctx) })
	run(ctx)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
}

// assertClaims checks who has a key after a claim.
func assertClaims(ctx context.Context, c *qt.C, d *claimant, key string, wantWon bool) {
	c.Helper()
	_, won, err := d.claimer.Claim(ctx, claimlog.NewKey("salon", key), 7)
	c.Assert(err, qt.IsNil)
	c.Assert(won, qt.Equals, wantWon)
}

func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformlog.New(platformlog.Options{})
		first, second := newClaimant(log, "a"), newClaimant(log, "b")
		withFollower(c, first, func(_ context.Context) {
			withFollower(c, second, func(ctx context.Context) {
				assertClaims(ctx, c, first, "k", true)
				assertClaims(ctx, c, second, "k", false)
				assertClaims(ctx, c, second, "other", true)
				c.Assert(first.claimer.Withdraw(ctx, claimlog.NewKey("salon", "k")), qt.IsNil)
				assertClaims(ctx, c, second, "k", true)
				time.Sleep(2 * window)
				assertClaims(ctx, c, first, "k", true)
			})
		})
	})
}

// TestMissingClaims lets the log drop claims that a daemon had not read: no key can
// be claimed there until the window of the missing ones has passed.
func TestMissingClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformlog.New(platformlog.Options{Retention: 3})
		lagging, other := newClaimant(log, "a"), newClaimant(log, "b")
		withFollower(c, lagging, func(ctx context.Context) { assertClaims(ctx, c, lagging, "first", true) })
		withFollower(c, other, func(ctx context.Context) {
			for _, key := range []string{"k", "l", "m", "n", "o", "p"} {
				assertClaims(ctx, c, other, key, true)
			}
		})
		withFollower(c, lagging, func(ctx context.Context) {
			_, _, err := lagging.claimer.Claim(ctx, claimlog.NewKey("salon", "k"), 7)
			var missing *claimlog.ErrClaimsMissing
			c.Assert(errors.As(err, &missing), qt.IsTrue)
			c.Assert(lagging.fold.Gaps(), qt.Equals, 1)
			time.Sleep(time.Until(missing.Until))
			assertClaims(ctx, c, lagging, "new", true)
		})
	})
}
