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

type nopObserver struct{}

func (nopObserver) LogRead(error)     {}
func (nopObserver) LogAppended(error) {}

// EraChanged implements follow.Observer.
func (nopObserver) EraChanged(string, int64, int64, int64) {}

// daemon is the claim fold and the claimer of one daemon.
type daemon struct {
	fold    *claimlog.Fold
	claimer *claimlog.Claimer
	log     azurehitch.Log
}

func newDaemon(log azurehitch.Log, name string) *daemon {
	fold := claimlog.NewFold(leaselog.Holder{Daemon: name, Incarnation: "1"}, azurehitch.SystemClock{}, window)
	return &daemon{fold: fold, claimer: claimlog.NewClaimer(log, stream, fold, nopObserver{}), log: log}
}

// withFollower runs a function while a daemon follows the log.
func withFollower(c *qt.C, d *daemon, run func(ctx context.Context)) {
	c.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	follower := follow.NewFollower(d.log, stream, d.fold, azurehitch.SystemClock{}, nopObserver{})
	group.Go(func() error { return follower.Run(ctx) })
	run(ctx)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
}

// assertClaims claims a key at a daemon and checks whether it wins.
func assertClaims(ctx context.Context, c *qt.C, d *daemon, key string, wantWon bool) {
	c.Helper()
	_, won, err := d.claimer.Claim(ctx, claimlog.NewKey("salon", key), 7)
	c.Assert(err, qt.IsNil)
	c.Assert(won, qt.Equals, wantWon)
}

func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformlog.New(platformlog.Options{})
		first, second := newDaemon(log, "a"), newDaemon(log, "b")
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

// TestMissingClaims has the log delete claims that a daemon has not read. The daemon must not claim
// any key until the missing claims have expired.
func TestMissingClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformlog.New(platformlog.Options{Retention: 3})
		lagging, other := newDaemon(log, "a"), newDaemon(log, "b")
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
