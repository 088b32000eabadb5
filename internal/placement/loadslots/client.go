package loadslots

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"azurehitch"
)

const (
	// reportInterval is how often a daemon reports loads under way. A new scheduler
	// waits longer than that before its first grant.
	reportInterval = 250 * time.Millisecond
	exchangeLimit  = 2 * time.Second
	// exchangeRetry is the pause after a failed exchange.
	exchangeRetry = 50 * time.Millisecond
	// aloneAfter is how long no scheduler must have answered before a daemon loads
	// without one.
	aloneAfter = 2 * time.Second
	// aloneModels and aloneAdapters are the loads of a daemon without a scheduler.
	aloneModels   = 1
	aloneAdapters = 4
)

// Exchanger brings reports to the daemon that schedules.
type Exchanger interface {
	Exchange(ctx context.Context, report Report) (Answer, error)
}

// Observer is told what a client sees.
type Observer interface {
	// LoadScheduled counts the grants of a scheduler, or those without one.
	LoadScheduled(alone bool)
}

// Client reports what the pools of one daemon want and load. It is safe for
// concurrent use.
type Client struct {
	exchanger Exchanger
	clock     azurehitch.Clock
	observer  Observer
	limits    func() Limits
	// wake tells a pool that something was granted to it.
	wake func(pool string)

	mu       sync.Mutex
	sequence int64
	wants    map[Key]Want
	granted  map[Key]bool
	loading  map[Key]Class
	ahead    map[Key]int
	// told is true when the scheduler knows that nothing is wanted or under way.
	told bool
	// failingSince is when the exchanges began to fail; zero while they work.
	failingSince time.Time
	// round ends with the next change at this daemon.
	round    context.Context
	endRound context.CancelFunc
}

// NewClient returns a client without wants. It wakes pools by a function.
func NewClient(exchanger Exchanger, clock azurehitch.Clock, observer Observer, limits func() Limits, wake func(pool string)) *Client {
	c := &Client{
		exchanger: exchanger, clock: clock, observer: observer, limits: limits, wake: wake,
		wants: map[Key]Want{}, granted: map[Key]bool{}, loading: map[Key]Class{}, ahead: map[Key]int{}, told: true,
	}
	c.round, c.endRound = context.WithCancel(context.Background())
	return c
}

// Want replaces what a pool would load now.
func (c *Client) Want(pool string, wants []Want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[Key]Want{}
	for _, want := range wants {
		wanted[want.Key] = want
	}
	changes := false
	for key := range c.wants {
		if _, still := wanted[key]; key.Pool == pool && !still {
			delete(c.wants, key)
			delete(c.granted, key)
			delete(c.ahead, key)
			changes = true
		}
	}
	for key, want := range wanted {
		before, known := c.wants[key]
		changes = changes || !known || before.Class != want.Class
		c.wants[key] = want
	}
	if changes {
		c.change()
	}
}

func (c *Client) change() {
	c.told = false
	c.endRound()
	c.round, c.endRound = context.WithCancel(context.Background())
}

// Granted returns the loads of a pool that may begin now.
func (c *Client) Granted(pool string) map[azurehitch.Artifact]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	granted := map[azurehitch.Artifact]bool{}
	for key := range c.granted {
		if key.Pool == pool {
			granted[key.Artifact] = true
		}
	}
	return granted
}

// Begin notes that a granted load is under way.
func (c *Client) Begin(pool string, artifact azurehitch.Artifact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := Key{Pool: pool, Artifact: artifact}
	c.loading[key] = c.wants[key].Class
	delete(c.wants, key)
	delete(c.granted, key)
	delete(c.ahead, key)
}

// End notes that a load is no longer under way.
func (c *Client) End(pool string, artifact azurehitch.Artifact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.loading, Key{Pool: pool, Artifact: artifact})
	c.change()
}

// Ahead returns how many loads go before a want, if that is known, and how many of its
// lane the store takes at once.
func (c *Client) Ahead(pool string, artifact azurehitch.Artifact) (ahead, concurrent int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead, known = c.ahead[Key{Pool: pool, Artifact: artifact}]
	return ahead, c.limits().Concurrent[LaneOf(artifact)], known
}

// Run reports to the scheduler until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		report, round, due := c.report()
		if !due {
			awaitEnd(ctx, round)
			continue
		}
		c.exchange(ctx, round, report)
		if !c.isWaiting() {
			pause(ctx, round, reportInterval)
		}
	}
	return nil
}

// report returns the next report, and whether one is due.
func (c *Client) report() (Report, context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told {
		return Report{}, c.round, false
	}
	c.sequence++
	report := Report{Sequence: c.sequence}
	for _, want := range c.wants {
		report.Wants = append(report.Wants, want)
	}
	slices.SortFunc(report.Wants, Compare)
	report.Granted = slices.Collect(maps.Keys(c.granted))
	for key, class := range c.loading {
		report.Loading = append(report.Loading, Loading{Key: key, Class: class})
	}
	return report, c.round, true
}

// exchange sends a report. A change at this daemon ends it: the next report tells all.
func (c *Client) exchange(ctx, round context.Context, report Report) {
	limited, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	stop := context.AfterFunc(round, cancel)
	defer stop()
	answer, err := c.exchanger.Exchange(limited, report)
	if err != nil && (round.Err() != nil || ctx.Err() != nil) {
		return
	}
	woken := c.apply(report, answer, err)
	for _, pool := range woken {
		c.wake(pool)
	}
	if err != nil {
		pause(ctx, round, exchangeRetry)
	}
}

// apply takes in an answer, and returns the pools that were granted something.
func (c *Client) apply(report Report, answer Answer, err error) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if err != nil {
		if c.failingSince.IsZero() {
			c.failingSince = now
		}
		return c.grantAlone(now)
	}
	c.failingSince = time.Time{}
	c.told = len(report.Wants) == 0 && len(report.Loading) == 0
	c.ahead = answer.Ahead
	var woken []string
	for _, key := range answer.Granted {
		if _, wanted := c.wants[key]; wanted && !c.granted[key] {
			c.granted[key] = true
			c.observer.LoadScheduled(false)
			woken = append(woken, key.Pool)
		}
	}
	return woken
}

// grantAlone lets a load begin although no scheduler answers.
func (c *Client) grantAlone(now time.Time) []string {
	if now.Sub(c.failingSince) < aloneAfter {
		return nil
	}
	wants := slices.SortedFunc(maps.Values(c.wants), Compare)
	var woken []string
	for _, want := range wants {
		if c.granted[want.Key] || c.underWay(LaneOf(want.Artifact)) >= aloneLimit(LaneOf(want.Artifact)) {
			continue
		}
		c.granted[want.Key] = true
		c.observer.LoadScheduled(true)
		woken = append(woken, want.Pool)
	}
	return woken
}

func aloneLimit(lane Lane) int {
	if lane == LaneAdapter {
		return aloneAdapters
	}
	return aloneModels
}

func (c *Client) underWay(lane Lane) int {
	count := 0
	for key := range c.granted {
		if LaneOf(key.Artifact) == lane {
			count++
		}
	}
	for key := range c.loading {
		if LaneOf(key.Artifact) == lane {
			count++
		}
	}
	return count
}

// isWaiting reports whether wants wait for a grant: the next report goes out at once,
// and its answer waits at the scheduler.
func (c *Client) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.wants) > len(c.granted)
}

// pause waits for a time, or until the round ends.
func pause(ctx, round context.Context, limit time.Duration) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	awaitEnd(limited, round)
}

// awaitEnd waits until either context ends.
func awaitEnd(ctx, round context.Context) {
	select {
	case <-round.Done():
	case <-ctx.Done():
	}
}
