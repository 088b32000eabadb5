package soak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/limitbound"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// fault is a kind of fault that a run can inject.
type fault struct {
	name string
	// weight is how often the fault is chosen relative to others.
	weight int
	// inject starts the fault, waits for its duration and ends it.
	inject func(cl *cluster, a action)
}

// action is one fault in the plan of a run.
type action struct {
	fault    fault
	startsAt time.Duration
	duration time.Duration
	// target modulo the number of daemons or servers selects one, and variant selects the form of the
	// fault.
	target  int
	variant int
}

func (a action) String() string {
	return fmt.Sprintf("%.2f s: %s at %d, variant %d, for %v", a.startsAt.Seconds(), a.fault.name, a.target, a.variant, a.duration)
}

const (
	firstFaultDelay = 500 * time.Millisecond
	// maxFaultGap bounds the time between the starts of two faults.
	maxFaultGap      = 1800 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// variantCount is the number of values of action.variant, and minBackoff the shortest backoff
	// that a server requests.
	variantCount = 60
	minBackoff   = 600 * time.Millisecond
)

// faults returns all kinds of faults.
func faults() []fault {
	return []fault{
		{"planned stop", 4, injectPlannedStop},
		{"rolling stop", 2, injectRollingStop},
		{"kill", 3, injectKill},
		{"kill of all daemons", 1, injectKillAll},
		{"freeze", 3, injectFreeze},
		{"changed settings", 2, injectSettingsChange},
		{"link to the store", 3, injectStoreLinkFault},
		{"link between daemons", 3, injectPeerLinkFault},
		{"link to a server", 3, injectServerLinkFault},
		{"reset of caller connections", 1, injectCallerReset},
		{"store malfunction", 4, injectStoreFault},
		{"store expires its records", 1, injectStoreExpiry},
		{"server crashes", 3, injectCrash},
		{"planned server shutdown", 3, injectShutdown},
		{"server shutdown at short notice", 2, injectShortNotice},
		{"server malfunction", 4, injectServerFault},
		{"server shutdown announced in answers", 3, injectAnnouncedShutdown},
		{"server rests", 3, injectBackoff},
		{"configuration change", 4, injectConfigurationChange},
	}
}

// newPlan returns the faults of a run, determined by the seed.
func newPlan(seed uint64, duration time.Duration) []action {
	random := rand.New(rand.NewPCG(seed, 2))
	var weighted []fault
	for _, f := range faults() {
		for range f.weight {
			weighted = append(weighted, f)
		}
	}
	var plan []action
	for at := firstFaultDelay; at < duration; at += time.Duration(random.Int64N(int64(maxFaultGap))) {
		plan = append(plan, action{
			fault: weighted[random.IntN(len(weighted))], startsAt: at, target: random.IntN(daemonCount * engineCount * deskCount), variant: random.IntN(variantCount),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	plan = append(plan, rateLimits(seed, duration)...)
	plan = append(plan, crashingParts(seed, duration)...)
	return append(plan, deadlyRequests(seed, duration)...)
}

// rateLimits returns the rate limits that servers name during a run. They come from a random
// sequence of their own, so that they don't change the other faults of a seed.
func rateLimits(seed uint64, duration time.Duration) []action {
	random := rand.New(rand.NewPCG(seed, 3))
	var limits []action
	for at := firstFaultDelay; at < duration; at += limitedTime/2 + time.Duration(random.Int64N(int64(limitedTime))) {
		limits = append(limits, action{
			fault: rateLimitFault, startsAt: at, duration: limitedTime, target: random.IntN(engineCount * deskCount), variant: random.IntN(variantCount),
		})
	}
	return limits
}

func describePlan(plan []action) string {
	var text strings.Builder
	for _, a := range plan {
		text.WriteString(a.String() + "\n")
	}
	return text.String()
}

// execute injects the faults of a plan, which may overlap, and waits until all have ended.
func (cl *cluster) execute(plan []action) {
	var group errgroup.Group
	startedAt := time.Now()
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.startsAt, b.startsAt) })
	for _, a := range plan {
		time.Sleep(a.startsAt - time.Since(startedAt))
		group.Go(func() error {
			a.fault.inject(cl, a)
			return nil
		})
	}
	// The faults return no errors.
	_ = group.Wait()
}

func (cl *cluster) targetDaemon(a action) (int, *process) {
	i := a.target % len(cl.daemons)
	return i, cl.daemons[i]
}

func (cl *cluster) targetServer(a action) *backendServer { return cl.servers[a.target%len(cl.servers)] }

func injectPlannedStop(cl *cluster, a action) {
	i, _ := cl.targetDaemon(a)
	cl.stopDaemon(i)
}

// stopDaemon makes a planned stop of a daemon and waits until its next process has started.
func (cl *cluster) stopDaemon(i int) {
	end := cl.disturbances.beginPlannedWork(i, plannedStop)
	if cl.daemons[i].signal(syscall.SIGTERM, 0) {
		cl.awaitRestart(i)
	}
	time.Sleep(plannedSlack)
	end()
}

// awaitRestart waits until the next process of a daemon has started.
func (cl *cluster) awaitRestart(i int) {
	before, _ := cl.daemons[i].running()
	for end := time.Now().Add(stopTimeout + plannedSlack); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if now, runs := cl.daemons[i].running(); runs && now != before {
			return
		}
	}
}

func injectRollingStop(cl *cluster, a action) {
	var group errgroup.Group
	for k := range len(cl.daemons) / 2 {
		i := (a.target + k) % len(cl.daemons)
		group.Go(func() error {
			cl.stopDaemon(i)
			return nil
		})
		time.Sleep(a.duration / 4)
	}
	// The stops return no errors.
	_ = group.Wait()
}

func injectKill(cl *cluster, a action) {
	i, daemon := cl.targetDaemon(a)
	end := cl.disturbances.beginDaemonFault(i, "kill")
	if daemon.signal(syscall.SIGKILL, a.duration/3) {
		cl.awaitRestart(i)
	}
	end()
}

func injectKillAll(cl *cluster, a action) {
	end := cl.disturbances.beginDaemonFault(allDaemons, "kill of all daemons")
	var group errgroup.Group
	for i, daemon := range cl.daemons {
		if daemon.signal(syscall.SIGKILL, a.duration/5) {
			group.Go(func() error {
				cl.awaitRestart(i)
				return nil
			})
		}
	}
	// The waits return no errors.
	_ = group.Wait()
	end()
}

func injectFreeze(cl *cluster, a action) {
	i, daemon := cl.targetDaemon(a)
	end := cl.disturbances.beginDaemonFault(i, freezeName)
	daemon.signal(syscall.SIGSTOP, 0)
	time.Sleep(a.duration)
	cl.disturbances.recordResumed(i)
	daemon.signal(syscall.SIGCONT, 0)
	end()
}

func injectSettingsChange(cl *cluster, a action) {
	i, daemon := cl.targetDaemon(a)
	name := "changed settings"
	if a.variant%2 == 0 {
		name = settingsSignal
	}
	end := cl.disturbances.beginPlannedWork(i, name)
	changed := daemon.settings
	changed.RetrySlack = max(0, daemon.settings.RetrySlack-a.variant%5)
	cl.Check(daemon.writeSettings(changed), qt.IsNil)
	if a.variant%2 == 0 {
		daemon.signal(syscall.SIGHUP, 0)
	}
	time.Sleep(applyTime)
	end()
}

// injectLinkFault injects one of the forms of fault on a link, and calls restoring before it restores the link.
func injectLinkFault(l *link, a action, restoring func()) {
	states := []linkState{linkSilent, linkOneWay, linkRefuses, linkDelays}
	switch form := a.variant % (len(states) + 2); form {
	case len(states):
		l.reset()
	case len(states) + 1:
		l.stallOpen()
		// Stalled connections affect requests for as long as they are in use.
		time.Sleep(a.duration)
	default:
		l.set(states[form])
		time.Sleep(a.duration)
		restoring()
		l.set(linkPasses)
	}
}

func injectStoreLinkFault(cl *cluster, a action) {
	i, _ := cl.targetDaemon(a)
	end := cl.disturbances.beginDaemonFault(i, "link to the store")
	injectLinkFault(cl.storeLinks[i], a, func() { cl.disturbances.recordResumed(i) })
	end()
}

// injectPeerLinkFault disturbs what the other daemons send to one. It affects all daemons.
func injectPeerLinkFault(cl *cluster, a action) {
	i, _ := cl.targetDaemon(a)
	end := cl.disturbances.beginDaemonFault(allDaemons, "link between daemons")
	injectLinkFault(cl.peerLinks[i], a, func() { cl.disturbances.recordResumed(i) })
	end()
}

func injectServerLinkFault(cl *cluster, a action) {
	endServers := cl.disturbances.beginServerFault("link to a server")
	endDaemons := cl.disturbances.beginDaemonFault(allDaemons, "link to a server")
	l := cl.targetServer(a).link
	injectLinkFault(l, a, func() { cl.disturbances.recordRestored(l.address()) })
	endDaemons()
	endServers()
}

func injectCallerReset(cl *cluster, a action) {
	i, _ := cl.targetDaemon(a)
	end := cl.disturbances.beginDaemonFault(i, "reset of caller connections")
	cl.callerLinks[i].reset()
	end()
}

func injectStoreFault(cl *cluster, a action) {
	kinds := []platformtest.StoreFault{platformtest.StoreRefuses, platformtest.StoreLosesAnswers, platformtest.StoreSlow}
	end := cl.disturbances.beginStoreFault("store malfunction")
	cl.store.SetFault(kinds[a.variant%len(kinds)])
	time.Sleep(a.duration)
	cl.store.SetFault(platformtest.StoreHealthy)
	end()
}

func injectStoreExpiry(cl *cluster, _ action) {
	end := cl.disturbances.beginStoreFault("store expires its records")
	cl.store.ExpireRecords()
	end()
}

// injectCrash kills a server without an announcement.
func injectCrash(cl *cluster, a action) {
	cl.replaceServer(a, "crash", func(crashed *platformtest.Backend) {
		crashed.Kill()
		time.Sleep(a.duration / 2)
	})
}

// injectShutdown shuts a server down as planned, after the time to drain it.
func injectShutdown(cl *cluster, a action) { cl.shutDownServer(a, 0, drainTime+a.duration/2) }

// injectShortNotice shuts a server down after an announcement that gives the remaining time.
func injectShortNotice(cl *cluster, a action) { cl.shutDownServer(a, a.duration, a.duration) }

// injectAnnouncedShutdown shuts down a server that announces it in its answers only, never in
// its list entry.
func injectAnnouncedShutdown(cl *cluster, a action) {
	cl.replaceServer(a, "server shutdown announced in answers", func(server *platformtest.Backend) {
		server.ChangeNotice(func(n *azurehitch.ServerNotice) { n.ShuttingDown = true })
		time.Sleep(drainTime + a.duration)
	})
}

// injectBackoff makes a server reject requests and ask the daemons to back off.
func injectBackoff(cl *cluster, a action) {
	server := cl.targetServer(a).backend()
	backoff := minBackoff + a.duration*time.Duration(a.variant)/variantCount
	server.ChangeNotice(func(n *azurehitch.ServerNotice) { n.Backoff = backoff })
	time.Sleep(a.duration)
	server.ChangeNotice(func(n *azurehitch.ServerNotice) { n.Backoff = 0 })
}

// rateLimitFault makes a server name a rate limit.
var rateLimitFault = fault{name: "server limits its rate", inject: injectRateLimit}

const (
	// limitedTime is how long a server names a rate limit: longer than the rule allows the daemons to
	// take notice.
	limitedTime = rateLimitSettle + 2*limitbound.Window
	// A server names a rate limit of at least minRateLimit requests per second, and up to
	// maxExtraRateLimit more.
	minRateLimit      = 0.5
	maxExtraRateLimit = 3
)

func injectRateLimit(cl *cluster, a action) {
	server := cl.targetServer(a).backend()
	id := server.Identity().ID
	perSecond := minRateLimit + maxExtraRateLimit*float64(a.variant)/variantCount
	if !cl.checker.beginRateLimit(id, perSecond) {
		return
	}
	server.ChangeNotice(func(n *azurehitch.ServerNotice) { n.RateLimit = perSecond })
	time.Sleep(limitedTime)
	server.ChangeNotice(func(n *azurehitch.ServerNotice) { n.RateLimit = 0 })
	cl.checker.endRateLimit(id)
}

// shutDownServer makes a server announce its shutdown in its list entry, with the remaining time
// unless it is 0, and replaces the server after the given time.
func (cl *cluster) shutDownServer(a action, remaining, delay time.Duration) {
	cl.replaceServer(a, "server shutdown", func(server *platformtest.Backend) {
		entry := server.Entry()
		entry.ShuttingDown, entry.RemainingTime = true, remaining
		cl.Check(cl.store.PutServer(entry), qt.IsNil)
		cl.checker.recordDeparture(entry.ID)
		time.Sleep(delay)
	})
}

// replaceServer removes a server and starts the next at the same address under another id, with
// an empty disk or with the cached checkpoints of the old one.
func (cl *cluster) replaceServer(a action, name string, remove func(old *platformtest.Backend)) {
	cl.replace(cl.targetServer(a), name, a.variant%2 != 0, remove)
}

// replace replaces a server like replaceServer, with the cached checkpoints of the old one if
// keepsDisk is true. It does nothing while another fault replaces the server.
func (cl *cluster) replace(s *backendServer, name string, keepsDisk bool, remove func(old *platformtest.Backend)) {
	if !s.replacing.TryLock() {
		return
	}
	defer s.replacing.Unlock()
	end := cl.disturbances.beginServerFault(name)
	defer end()
	old := s.unlist()
	entry := old.Entry()
	cl.checker.recordServing(entry.Service, entry.SoftwareVersion, -1)
	remove(old)
	cl.store.RemoveServer(entry.ID)
	cl.checker.recordDeparture(entry.ID)
	old.Kill()
	cached := azurehitch.CachedModels{OnDisk: entry.Cached.OnDisk}
	if !keepsDisk {
		cached = azurehitch.CachedModels{}
	}
	cl.startServer(s, cached)
}

func injectServerFault(cl *cluster, a action) {
	kinds := []platformtest.BackendFault{
		platformtest.BackendLosesAnswers, platformtest.BackendCutsStreams, platformtest.BackendFails, platformtest.BackendSilent,
	}
	end := cl.disturbances.beginServerFault("server malfunction")
	faulty := cl.targetServer(a).backend()
	faulty.SetFault(kinds[a.variant%len(kinds)])
	time.Sleep(a.duration)
	faulty.SetFault(platformtest.BackendHealthy)
	end()
}

// injectConfigurationChange publishes one table, or several in quick succession.
func injectConfigurationChange(cl *cluster, a action) {
	for range 1 + a.variant%4 {
		end := cl.disturbances.beginPlannedWork(allDaemons, "configuration change")
		added, _ := cl.probes()
		cl.publish(added + 1)
		time.Sleep(a.duration / 8)
		end()
	}
}
