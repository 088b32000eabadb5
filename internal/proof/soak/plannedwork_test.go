package soak_test

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

// stopForm is how a process receives the signal of its planned stop, and how it runs until its end.
type stopForm string

const (
	stopPlain stopForm = "plain"
	// stopTwice sends the signal twice.
	stopTwice stopForm = "twice"
	// stopLate lets the process notice the signal up to maxNoticeDelay late.
	stopLate stopForm = "late"
	// stopSlow pauses the process again and again.
	stopSlow stopForm = "slow"
)

const (
	minNoticeDelay = 100 * time.Millisecond
	maxNoticeDelay = 1500 * time.Millisecond
	minSlowPause   = 20 * time.Millisecond
	maxSlowPause   = 300 * time.Millisecond
	// A process restarts after minRestartPause to maxRestartPause.
	minRestartPause = 150 * time.Millisecond
	maxRestartPause = 800 * time.Millisecond
	exitPoll        = 10 * time.Millisecond
	// A run starts the next planned stop after minStopGap to maxStopGap, and changes the settings and
	// the configuration every changeGap on average.
	minStopGap = 200 * time.Millisecond
	maxStopGap = 2 * time.Second
	changeGap  = 2 * time.Second
)

// processPause is the disturbance name of a pause of a process.
const processPause = "pause of the process"

// stopRecord is a planned stop of a process.
type stopRecord struct {
	daemon int
	form   stopForm
	// number is that of the process among those of the daemon.
	number int
	// signalledAt is when SIGTERM was sent, and noticeableAt when the process could notice it.
	signalledAt  time.Time
	noticeableAt time.Time
	// killedAt is when the platform had to kill the process; zero if it ended in time.
	killedAt time.Time
	endedAt  time.Time
}

// plannedOnly returns a plan of planned work only, determined by the seed.
func plannedOnly(seed uint64, duration time.Duration, daemons int) []action {
	random := newRandom(seed, 5)
	forms := []stopForm{stopPlain, stopPlain, stopPlain, stopTwice, stopLate, stopLate, stopSlow, stopSlow}
	order := random.Perm(daemons)
	var plan []action
	for at, n := firstFaultDelay, 0; at < duration; at, n = at+between(random, minStopGap, maxStopGap), n+1 {
		form := forms[random.IntN(len(forms))]
		plan = append(plan, action{
			fault:    fault{name: string(form) + " planned stop", inject: func(cl *cluster, a action) { cl.stopAs(a, form) }},
			startsAt: at, target: order[n%daemons], variant: random.IntN(variantCount), duration: stopTimeout,
		})
	}
	changes := []fault{{name: "changed settings", inject: injectSettingsChange}, {name: "configuration change", inject: injectConfigurationChange}}
	for at := firstFaultDelay; at < duration; at += between(random, 0, changeGap) {
		plan = append(plan, action{
			fault: changes[random.IntN(len(changes))], startsAt: at, target: random.IntN(daemons), variant: random.IntN(variantCount), duration: changeGap,
		})
	}
	return plan
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// stopAs makes a planned stop of a daemon as the platform does: SIGTERM, then SIGKILL after the stop
// timeout. It does nothing while the daemon or more than half of all daemons stop already.
func (cl *cluster) stopAs(a action, form stopForm) {
	i, p := cl.targetDaemon(a)
	if !p.stopping.TryLock() {
		return
	}
	defer p.stopping.Unlock()
	if !cl.stopSlots.TryAcquire(1) {
		return
	}
	defer cl.stopSlots.Release(1)
	random := newRandom(cl.seed, 1000+a.variant)
	number, runs := p.running()
	if !runs {
		return
	}
	end := cl.disturbances.beginPlannedWork(i, plannedStop)
	stop := cl.sendStop(i, number, form, random)
	for killAt := stop.signalledAt.Add(stopTimeout); p.isRunning(number); {
		if !time.Now().Before(killAt) {
			stop.killedAt = time.Now()
			p.signal(syscall.SIGKILL, 0)
			killAt = killAt.Add(stopTimeout)
		}
		if form == stopSlow && stop.killedAt.IsZero() {
			cl.pauseProcess(i, number, min(between(random, minSlowPause, maxSlowPause), time.Until(killAt)))
			time.Sleep(min(between(random, minSlowPause, maxSlowPause), time.Until(killAt)))
		}
		time.Sleep(exitPoll)
	}
	stop.endedAt = time.Now()
	cl.checker.recordStop(stop)
	cl.awaitRestart(i)
	time.Sleep(plannedSlack)
	end()
}

// sendStop sends SIGTERM to a process, and returns once the process can notice it.
func (cl *cluster) sendStop(i, number int, form stopForm, random *rand.Rand) *stopRecord {
	p := cl.daemons[i]
	if form == stopLate {
		end := cl.disturbances.beginPlannedWork(i, processPause)
		defer end()
		p.signal(syscall.SIGSTOP, 0)
		defer p.signal(syscall.SIGCONT, 0)
	}
	stop := &stopRecord{daemon: i, number: number, form: form, signalledAt: time.Now()}
	p.signal(syscall.SIGTERM, between(random, minRestartPause, maxRestartPause))
	switch form {
	case stopLate:
		time.Sleep(between(random, minNoticeDelay, maxNoticeDelay))
	case stopTwice:
		time.Sleep(between(random, 0, stopTimeout/4))
		if p.isRunning(number) {
			p.signal(syscall.SIGTERM, 0)
		}
	}
	stop.noticeableAt = stop.signalledAt
	if form == stopLate {
		stop.noticeableAt = time.Now()
	}
	return stop
}

// pauseProcess pauses a process if it still runs.
func (cl *cluster) pauseProcess(i, number int, pause time.Duration) {
	p := cl.daemons[i]
	if !p.isRunning(number) {
		return
	}
	end := cl.disturbances.beginPlannedWork(i, processPause)
	defer end()
	p.signal(syscall.SIGSTOP, 0)
	time.Sleep(pause)
	if p.isRunning(number) {
		p.signal(syscall.SIGCONT, 0)
	}
}

// isRunning reports whether the process with a number among those of the daemon runs.
func (p *process) isRunning(number int) bool {
	now, runs := p.running()
	return runs && now == number
}

const (
	minStreamTime = 300 * time.Millisecond
	maxStreamTime = 11 * time.Second
	minEventGap   = 50 * time.Millisecond
	maxEventGap   = 200 * time.Millisecond
	minCallTime   = 15 * time.Millisecond
	maxCallTime   = 600 * time.Millisecond
	// One in pauseOneIn streams pauses at a server for minPause to maxPause.
	pauseOneIn = 4
	minPause   = 300 * time.Millisecond
	maxPause   = 3 * time.Second
)

// logBetween draws a time whose logarithm is evenly distributed.
func logBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), random.Float64()))
}

// randomOf returns a random sequence determined by a text.
func randomOf(text string) *rand.Rand {
	hash := fnv.New64a()
	// A hash never returns an error.
	_, _ = hash.Write([]byte(text))
	return newRandom(hash.Sum64(), 6)
}

// plannedOnlyWork returns the work of a request: calls and streams of all lengths. The length depends on
// the origin only, and whether the server pauses also on the server.
func plannedOnlyWork(origin, server string) platformtest.Work {
	random := randomOf(origin)
	work := platformtest.Work{
		Call: logBetween(random, minCallTime, maxCallTime), FirstEvent: between(random, minEventGap, maxEventGap), Event: between(random, minEventGap, maxEventGap),
	}
	work.Events = 1 + int(logBetween(random, minStreamTime, maxStreamTime)/work.Event)
	if random = randomOf(origin + " at " + server); random.IntN(pauseOneIn) == 0 {
		work.PauseAfter, work.Pause = 1+random.IntN(work.Events), between(random, minPause, maxPause)
	}
	return work
}

// plannedOnlySetup returns the setup of runs with planned work only. In every second seed, the part of
// a daemon in the retry budget is as small as it is among a hundred daemons.
func plannedOnlySetup(seed uint64, daemons int) setup {
	s := defaultSetup()
	s.plannedOnly, s.daemonCount, s.callerCount, s.maxRequests = true, daemons, callersPerDaemon*daemons, math.MaxInt
	s.modelCount, s.slots, s.readyPollInterval, s.work = engineCount, s.callerCount*4/5/engineCount, time.Second, plannedOnlyWork
	if seed%2 == 1 {
		s.retrySlack = (daemons + 1) / 2
	}
	for i := range s.routes {
		if s.routes[i].Kind == azurehitch.RequestKindStream {
			s.routes[i].Timeout = 12 * time.Second
		}
	}
	return s
}

// callersPerDaemon is the number of callers for each daemon in runs with planned work only.
const callersPerDaemon = 8

// maxFollowUps is how often a caller follows up a request that is refused or cut.
const maxFollowUps = 3

// followUp sends a refused request once more, and takes up a cut stream again, each at another daemon.
func (c *caller) followUp(x exchange) {
	defer func() { c.avoid = nil }()
	for range maxFollowUps {
		isRefused := x.isRefused() && !x.isReturn
		if !isRefused && !x.isCutStream() || c.cluster.checker.isDisconnected(x.ID) || c.cluster.isDone() {
			return
		}
		if isRefused && !c.cluster.sleep(x.answer.RetryAfter) {
			return
		}
		c.disconnect()
		if c.avoid = []int{x.daemon}; !c.connect() {
			return
		}
		x = c.performNext(x)
	}
}

// isRefused reports whether a daemon refused a request, with a promise that it was not run.
func (x exchange) isRefused() bool {
	return x.err == nil && isRefusal(x.answer.Status) && !x.answer.HasSignature
}
