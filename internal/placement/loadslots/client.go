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
	// reportInterval is how often a daemon reports while it has loads in progress and no load
	// request waits for a grant. It is shorter than takeoverPause, the time that a new scheduler
	// waits before its first grant, so that the scheduler knows these loads by then.
	reportInterval  = 250 * time.Millisecond
	exchangeTimeout = 2 * time.Second
	// exchangeRetryDelay is the pause after a failed exchange.
	exchangeRetryDelay = 50 * time.Millisecond
	// uncoordinatedAfter is how long exchanges must have failed before a daemon loads
	// without the scheduler.
	uncoordinatedAfter = 2 * time.Second
	// uncoordinatedModels and uncoordinatedAdapters limit the concurrent loads of a daemon while
	// no scheduler answers.
	uncoordinatedModels   = 1
	uncoordinatedAdapters = 4
)

// Exchanger sends reports to the daemon that schedules the loads.
type Exchanger interface {
	Exchange(ctx context.Context, report Report) (Answer, error)
}

// Observer receives the events of a client.
type Observer interface {
	// LoadScheduled counts a grant, made by the scheduler or, if uncoordinated, by the client
	// itself.
	LoadScheduled(uncoordinated bool)
}

// Client reports the requested and running loads of the pools of one daemon to the scheduler, and
// keeps the grants that it receives. It is safe for concurrent use.
type Client struct {
	exchanger Exchanger
	clock     azurehitch.Clock
	observer  Observer
	limits    func() Limits
	// wake notifies a pool that a load was granted to it.
	wake func(pool string)

	mu sync.Mutex
	// sequence is the sequence number of the last report.
	sequence int64
	// requests holds the requested loads that have not started. granted holds the requested loads
	// that may start. loading holds the running loads. ahead is the number of loads before each
	// requested load without a grant, as the scheduler last reported.
	requests map[Key]LoadRequest
	granted  map[Key]bool
	loading  map[Key]Class
	ahead    map[Key]int
	// reportedIdle is true once the scheduler has answered a report without requested or running
	// loads. No further report is sent until that changes.
	reportedIdle bool
	// failingSince is when exchanges began to fail; zero while they succeed.
	failingSince time.Time
	// changeCtx is cancelled by signalChange at the next change to the requested or running
	// loads of this daemon.
	changeCtx    context.Context
	signalChange context.CancelFunc
}

// NewClient returns a client without load requests. It calls wake when a load is granted to
// a pool.
func NewClient(exchanger Exchanger, clock azurehitch.Clock, observer Observer, limits func() Limits, wake func(pool string)) *Client {
	c := &Client{
		exchanger: exchanger, clock: clock, observer: observer, limits: limits, wake: wake,
		requests: map[Key]LoadRequest{}, granted: map[Key]bool{}, loading: map[Key]Class{}, ahead: map[Key]int{}, reportedIdle: true,
	}
	c.changeCtx, c.signalChange = context.WithCancel(context.Background())
	return c
}

// SetRequests replaces the load requests of a pool. It drops the grants of loads that are no longer
// requested.
func (c *Client) SetRequests(pool string, requests []LoadRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requested := map[Key]LoadRequest{}
	for _, request := range requests {
		requested[request.Key] = request
	}
	changes := false
	for key := range c.requests {
		if _, still := requested[key]; key.Pool == pool && !still {
			delete(c.requests, key)
			delete(c.granted, key)
			delete(c.ahead, key)
			changes = true
		}
	}
	for key, request := range requested {
		before, known := c.requests[key]
		changes = changes || !known || before.Class != request.Class
		c.requests[key] = request
	}
	if changes {
		c.markChanged()
	}
}

func (c *Client) markChanged() {
	c.reportedIdle = false
	c.signalChange()
	c.changeCtx, c.signalChange = context.WithCancel(context.Background())
}

// Granted returns the loads that a pool may start now.
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

// Begin records that a granted load has started.
func (c *Client) Begin(pool string, artifact azurehitch.Artifact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := Key{Pool: pool, Artifact: artifact}
	c.loading[key] = c.requests[key].Class
	delete(c.requests, key)
	delete(c.granted, key)
	delete(c.ahead, key)
}

// End records that a load has ended.
func (c *Client) End(pool string, artifact azurehitch.Artifact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.loading, Key{Pool: pool, Artifact: artifact})
	c.markChanged()
}

// LoadsAhead returns how many loads precede a requested one, if known, and how many loads of its
// kind the store serves concurrently.
func (c *Client) LoadsAhead(pool string, artifact azurehitch.Artifact) (ahead, concurrent int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead, known = c.ahead[Key{Pool: pool, Artifact: artifact}]
	return ahead, c.limits().Concurrent[LoadKindOf(artifact)], known
}

// Run reports to the scheduler until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		report, changeCtx, due := c.report()
		if !due {
			awaitEnd(ctx, changeCtx)
			continue
		}
		c.exchange(ctx, changeCtx, report)
		if !c.isWaiting() {
			pause(ctx, changeCtx, reportInterval)
		}
	}
	return nil
}

// report returns the next report, and whether one is due.
func (c *Client) report() (Report, context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reportedIdle {
		return Report{}, c.changeCtx, false
	}
	c.sequence++
	report := Report{Sequence: c.sequence}
	for _, request := range c.requests {
		report.Requests = append(report.Requests, request)
	}
	slices.SortFunc(report.Requests, Compare)
	report.Granted = slices.Collect(maps.Keys(c.granted))
	for key, class := range c.loading {
		report.Loading = append(report.Loading, Loading{Key: key, Class: class})
	}
	return report, c.changeCtx, true
}

// exchange sends a report and applies the answer. A change at this daemon cancels it, since
// the next report replaces this one.
func (c *Client) exchange(ctx, changeCtx context.Context, report Report) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stop := context.AfterFunc(changeCtx, cancel)
	defer stop()
	answer, err := c.exchanger.Exchange(limited, report)
	if err != nil && (changeCtx.Err() != nil || ctx.Err() != nil) {
		return
	}
	grantedPools := c.apply(report, answer, err)
	for _, pool := range grantedPools {
		c.wake(pool)
	}
	if err != nil {
		pause(ctx, changeCtx, exchangeRetryDelay)
	}
}

// apply applies the answer to a report, or the error if the exchange failed. It returns the pools that
// were granted a load.
func (c *Client) apply(report Report, answer Answer, err error) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if err != nil {
		if c.failingSince.IsZero() {
			c.failingSince = now
		}
		return c.grantUncoordinated(now)
	}
	c.failingSince = time.Time{}
	c.reportedIdle = len(report.Requests) == 0 && len(report.Loading) == 0
	c.ahead = answer.Ahead
	var grantedPools []string
	for _, key := range answer.Granted {
		if _, requested := c.requests[key]; requested && !c.granted[key] {
			c.granted[key] = true
			c.observer.LoadScheduled(false)
			grantedPools = append(grantedPools, key.Pool)
		}
	}
	return grantedPools
}

// grantUncoordinated grants loads within the limits of this daemon while no scheduler
// answers, and returns the pools that were granted a load.
func (c *Client) grantUncoordinated(now time.Time) []string {
	if now.Sub(c.failingSince) < uncoordinatedAfter {
		return nil
	}
	requests := slices.SortedFunc(maps.Values(c.requests), Compare)
	var grantedPools []string
	for _, request := range requests {
		if c.granted[request.Key] || c.countUnderWay(LoadKindOf(request.Artifact)) >= uncoordinatedLimit(LoadKindOf(request.Artifact)) {
			continue
		}
		c.granted[request.Key] = true
		c.observer.LoadScheduled(true)
		grantedPools = append(grantedPools, request.Pool)
	}
	return grantedPools
}

func uncoordinatedLimit(kind LoadKind) int {
	if kind == LoadKindAdapter {
		return uncoordinatedAdapters
	}
	return uncoordinatedModels
}

// countUnderWay counts the loads of a kind that are granted or running at this daemon.
func (c *Client) countUnderWay(kind LoadKind) int {
	count := 0
	for key := range c.granted {
		if LoadKindOf(key.Artifact) == kind {
			count++
		}
	}
	for key := range c.loading {
		if LoadKindOf(key.Artifact) == kind {
			count++
		}
	}
	return count
}

// isWaiting reports whether any requested load waits for a grant. If so, the next report is
// sent at once, and the scheduler delays its answer until a grant, up to maxAnswerWait.
func (c *Client) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests) > len(c.granted)
}

// pause waits until the limit has passed or either context ends.
func pause(ctx, changeCtx context.Context, limit time.Duration) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	awaitEnd(limited, changeCtx)
}

// awaitEnd waits until either context ends.
func awaitEnd(ctx, changeCtx context.Context) {
	select {
	case <-changeCtx.Done():
	case <-ctx.Done():
	}
}
