package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

// The bounds of the promises.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	applyTime    = 2 * time.Second
	stopTimeout  = 8 * time.Second
	leaseSpan    = 3 * time.Second
	thawTime     = 300 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	goneSlack    = 500 * time.Millisecond
	lossSlack    = 200 * time.Millisecond
	// plannedSlack is how long after a planned stop its effects count as such.
	plannedSlack = time.Second
	retryWindow  = 10 * time.Second
	retryRatio   = 0.2
	retrySlack   = 58
	loadWindow   = 5 * time.Second
	loadBurst    = 1.1
	loadSlack    = 3
	// restSlack is how long after a server has asked for a rest requests may be on their way, and
	// restTolerated how many may come later.
	restSlack     = 500 * time.Millisecond
	restTolerated = 2
	// tolerated is how many of the cases that may have other causes are no violation.
	tolerated = 3
)

// rule is a promise.
type rule string

const (
	ruleOnce     rule = "what may run once runs once"
	ruleRefusal  rule = "what was refused has not run"
	ruleAnswer   rule = "an answer is the server's, whole, or shows that it is cut"
	ruleRequest  rule = "a server gets what the caller sent"
	ruleGone     rule = "no work for callers that have gone"
	ruleTimeout  rule = "an answer by the timeout of the route"
	ruleLost     rule = "no request is lost by planned work, or by the daemon alone"
	ruleDrain    rule = "no requests to servers that have left"
	ruleRest     rule = "no requests to servers that have asked for a rest"
	ruleApplied  rule = "the configuration in force"
	ruleOne      rule = "one holder of a service at a time"
	ruleMemory   rule = "no server is overfilled"
	ruleLoads    rule = "loads from the weight store within the rate"
	ruleRetries  rule = "repeats within the budget"
	ruleExit     rule = "processes end when told, in time"
	ruleRecovery rule = "service after the last fault"
)

// violation is a broken promise.
type violation struct {
	rule rule
	at   time.Duration
	text string
}

func (v violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s", v.at.Seconds(), v.rule, v.text)
}

// exchange is one request as its caller saw it.
type exchange struct {
	platformtest.CallerRequest
	route   azurehitch.PathRoute
	daemon  int
	sentAt  time.Time
	endedAt time.Time
	// goneAt is when the caller gave up; zero if it didn't.
	goneAt time.Time
	answer platformtest.Answer
	// err is set without any answer.
	err error
}

// record is what is known of one request.
type record struct {
	exchange exchange
	ended    bool
	arrivals int
	runs     []platformtest.Run
	runsAt   []time.Time
	// leaving is the server that said with its answer that it leaves.
	leaving string
}

// pair is a daemon and a server.
type pair struct {
	daemon int
	server string
}

// rest is the last time that a server asked a daemon for, and the requests that came in it.
type rest struct {
	askedAt time.Time
	until   time.Time
	came    int
}

// judge checks the promises while a run goes on. It implements platformtest.Recorder.
type judge struct {
	calendar *calendar
	began    time.Time
	services map[string]azurehitch.BackendService

	mu         sync.Mutex
	violations []violation
	// finished is set when the run is over: what its end breaks off is no violation.
	finished bool
	records  map[string]*record
	// leftAt is when the store took in that a server leaves.
	leftAt map[string]time.Time
	// saidAt is when a daemon has passed on the word of a server that it leaves.
	saidAt map[pair]time.Time
	rests  map[pair]*rest
	orders map[string][]orderSeen
	owners map[int64]string
	loads  []time.Time
	// arrivals and repeats are by service.
	requests map[string][]time.Time
	repeats  map[string][]time.Time
	tables   []tableSeen
	counts   map[rule]int
	overdue  int
	late     int
	answered int
}

// orderSeen is an order that a server accepted.
type orderSeen struct {
	holder string
	token  int64
	at     time.Time
}

// tableSeen is a routing table that may be in force since it was sent to the store, and must
// be some time after the store has acknowledged it.
type tableSeen struct {
	table   azurehitch.RoutingTable
	sentAt  time.Time
	ackedAt time.Time
}

func newJudge(calendar *calendar, services map[string]azurehitch.BackendService) *judge {
	return &judge{
		calendar: calendar, began: time.Now(), services: services, records: map[string]*record{}, leftAt: map[string]time.Time{},
		saidAt: map[pair]time.Time{}, rests: map[pair]*rest{},
		orders: map[string][]orderSeen{}, owners: map[int64]string{}, requests: map[string][]time.Time{},
		repeats: map[string][]time.Time{}, counts: map[rule]int{},
	}
}

// broken notes a violation. The caller holds the mutex.
func (j *judge) broken(r rule, format string, args ...any) {
	if j.finished {
		return
	}
	j.violations = append(j.violations, violation{rule: r, at: time.Since(j.began), text: fmt.Sprintf(format, args...)})
}

// suspect notes a case that is a violation when there are more than a few.
func (j *judge) suspect(r rule, format string, args ...any) {
	if j.counts[r]++; j.counts[r] > tolerated {
		j.broken(r, format, args...)
	}
}

// found returns the violations so far.
func (j *judge) found() []violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}

// finish ends the judgement.
func (j *judge) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.finished = true
}

// sending notes a request that is about to be sent.
func (j *judge) sending(x exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[x.ID] = &record{exchange: x}
	service := x.route.Targets[0].Service
	j.requests[service] = append(j.requests[service], x.sentAt)
}

// gone notes that the caller of a request has closed its connection.
func (j *judge) gone(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[id].exchange.goneAt = time.Now()
}

// Arrived implements platformtest.Recorder.
func (j *judge) Arrived(id string, server azurehitch.ServerIdentity, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.records[id]
	if !ok {
		j.broken(ruleRequest, "a server of %s got %q, which no caller sent", service, id)
		return
	}
	j.checkRest(pair{daemon: r.exchange.daemon, server: server.ID})
	if r.arrivals++; r.arrivals > 1 {
		j.repeats[service] = append(j.repeats[service], time.Now())
		j.checkBudget(service)
	}
}

// Noticed implements platformtest.Recorder.
func (j *judge) Noticed(id string, server azurehitch.ServerIdentity, notice azurehitch.ServerNotice) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.records[id]
	if !ok {
		return
	}
	if notice.Leaving {
		r.leaving = server.ID
	}
	if notice.Rest > 0 {
		now := time.Now()
		j.rests[pair{daemon: r.exchange.daemon, server: server.ID}] = &rest{askedAt: now, until: now.Add(notice.Rest)}
	}
}

// checkRest judges a request that has come to a server.
func (j *judge) checkRest(p pair) {
	now := time.Now()
	asked, ok := j.rests[p]
	if !ok || now.Sub(asked.askedAt) < restSlack || now.After(asked.until) || !j.remembers(p.daemon, asked.askedAt, now) {
		return
	}
	if asked.came++; asked.came > restTolerated {
		j.broken(ruleRest, "%s got request %d from daemon-%d, %v after it had asked for a rest", p.server, asked.came, p.daemon, now.Sub(asked.askedAt))
	}
}

// remembers reports whether a daemon has run in calm for a time.
func (j *judge) remembers(daemon int, from, to time.Time) bool {
	stop := j.calendar.overlaps(&j.calendar.daemons, from, to, func(d *disturbance) bool {
		return d.name == plannedStop && d.daemon == daemon
	})
	return stop == nil && j.calendar.isCalm(daemon, from, to)
}

// checkBudget checks the repeats in the window that ends now against the requests in it, or
// in the one before.
func (j *judge) checkBudget(service string) {
	now := time.Now()
	count := func(times []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range times {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		return n
	}
	repeats := count(j.repeats[service], now.Add(-retryWindow), now)
	requests := 0
	for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, count(j.requests[service], now.Add(-retryWindow-shift), now.Add(-shift)))
	}
	if float64(repeats) > retryRatio*float64(requests)+retrySlack {
		j.broken(ruleRetries, "%d repeats of %d requests to %s in %v", repeats, requests, service, retryWindow)
	}
}

// Ran implements platformtest.Recorder.
func (j *judge) Ran(run platformtest.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	r, ok := j.records[run.RequestID]
	if !ok {
		j.broken(ruleRequest, "%s ran %q, which no caller sent", run.Server.ID, run.RequestID)
		return
	}
	r.runs = append(r.runs, run)
	r.runsAt = append(r.runsAt, now)
	x := r.exchange
	if run.Method != x.Method || run.URI != x.URI || run.Body != x.Body || run.Model != x.Model || len(run.Smuggled) > 0 || !run.NamesServer {
		j.broken(ruleRequest, "%s ran %+v for %+v", run.Server.ID, run, x.CallerRequest)
	}
	if len(r.runs) > 1 && !x.route.MayRepeat() {
		j.broken(ruleOnce, "%s ran %s again, after %s", run.Server.ID, x.ID, r.runs[0].Server.ID)
	}
	if r.ended && isRefusal(x.answer.Status) && !x.route.MayRepeat() {
		j.broken(ruleRefusal, "%s ran %s after it had been refused with %d", run.Server.ID, x.ID, x.answer.Status)
	}
	calm := j.calendar.isCalm(x.daemon, x.sentAt, now)
	if !x.goneAt.IsZero() && now.Sub(x.goneAt) > goneSlack && calm {
		j.suspect(ruleGone, "%s ran %s %v after its caller had gone", run.Server.ID, x.ID, now.Sub(x.goneAt))
	}
	said, saysLeave := j.saidAt[pair{daemon: x.daemon, server: run.Server.ID}]
	if saysLeave && x.sentAt.Sub(said) > drainTime && j.remembers(x.daemon, said, now) {
		j.broken(ruleDrain, "%s ran %s from daemon-%d, which had passed on %v before that it leaves", run.Server.ID, x.ID, x.daemon, now.Sub(said))
	}
	left, leaves := j.leftAt[run.Server.ID]
	if leaves && now.Sub(left) > drainTime && calm && j.calendar.isCalm(x.daemon, left, now) && j.calendar.isStoreCalm(left, now) {
		j.broken(ruleDrain, "%s ran %s from daemon-%d %v after it was known to leave", run.Server.ID, x.ID, x.daemon, now.Sub(left))
	}
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// left notes that the store has taken in that a server leaves or is gone.
func (j *judge) left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.leftAt[id]; !known {
		j.leftAt[id] = time.Now()
	}
}

// publishing notes a routing table that is sent to the store. The returned function notes
// the acknowledgement.
func (j *judge) publishing(table azurehitch.RoutingTable) (acked func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tables = append(j.tables, tableSeen{table: table, sentAt: time.Now()})
	i := len(j.tables) - 1
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.tables[i].ackedAt = time.Now()
	}
}

// ended judges a request that has come to its end.
func (j *judge) ended(x exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.records[x.ID]
	x.goneAt = r.exchange.goneAt
	r.exchange, r.ended = x, true
	calm := j.calendar.isCalm(x.daemon, x.sentAt, x.endedAt)
	if p := (pair{daemon: x.daemon, server: r.leaving}); r.leaving != "" && x.err == nil && x.answer.HasSignature && j.saidAt[p].IsZero() {
		j.saidAt[p] = x.endedAt
	}
	if x.goneAt.IsZero() && calm {
		j.checkTimeout(x)
	}
	if x.err != nil {
		if x.goneAt.IsZero() && calm {
			j.checkLost(r)
		}
		return
	}
	j.checkAnswer(r)
	if calm {
		j.checkApplied(x)
	}
	if x.goneAt.IsZero() && !x.answer.Whole && calm {
		j.checkLost(r)
	}
}

func (j *judge) checkTimeout(x exchange) {
	took := x.endedAt.Sub(x.sentAt)
	if took < x.route.Timeout {
		return
	}
	j.overdue++
	if took > x.route.Timeout+answerSlack {
		j.late++
	}
	if j.late > tolerated && 2*j.late > j.overdue {
		j.broken(ruleTimeout, "%s on %s had no answer after %v: %d of %d overdue requests are late", x.ID, x.route.Name, took, j.late, j.overdue)
	}
}

// checkLost judges a request without an answer, or with one that broke off, though its
// daemon had no unplanned trouble.
func (j *judge) checkLost(r *record) {
	x := r.exchange
	wasRun := len(r.runs) > 0
	took := x.endedAt.Sub(x.sentAt)
	if took >= x.route.Timeout || !wasRun && took <= lossSlack || !j.calendar.areServersCalm(x.sentAt, x.endedAt) {
		return
	}
	if work := j.calendar.plannedWork(x.daemon, x.sentAt, x.endedAt); work != nil {
		j.broken(ruleLost, "%s on %s at daemon-%d was lost by %s after %v (run: %t, whole: %t, error: %v)",
			x.ID, x.route.Name, x.daemon, work.name, took, wasRun, x.answer.Whole, x.err)
		return
	}
	j.suspect(ruleLost, "%s on %s at daemon-%d was lost after %v (run: %t, error: %v)", x.ID, x.route.Name, x.daemon, took, wasRun, x.err)
}

func (j *judge) checkAnswer(r *record) {
	x := r.exchange
	a := x.answer
	isSuccess := a.Status < http.StatusMultipleChoices
	switch {
	case isRefusal(a.Status) && !a.HasSignature && len(r.runs) > 0 && !x.route.MayRepeat():
		j.broken(ruleRefusal, "%s was refused with %d and had run at %s", x.ID, a.Status, r.runs[0].Server.ID)
	case !a.Echoes:
		j.broken(ruleAnswer, "%s got an answer to another request: %+v", x.ID, a)
	case isSuccess && a.IsStream:
		j.checkStream(x)
	case a.Whole && isSuccess && !a.Signed, a.Whole && a.HasSignature && !a.Signed:
		j.broken(ruleAnswer, "%s got an answer that no server signed: %+v", x.ID, a)
	}
	if isSuccess && a.Whole {
		j.answered++
	}
}

func (j *judge) checkStream(x exchange) {
	numbers, total, err := x.answer.Events(x.ID)
	if err != nil && (x.answer.Whole || len(numbers) == 0) {
		j.broken(ruleAnswer, "%s got a stream that looks whole: %v", x.ID, err)
		return
	}
	for i, n := range numbers {
		if n != i+1 {
			j.broken(ruleAnswer, "%s got the events %v", x.ID, numbers)
			return
		}
	}
	if x.answer.Whole && len(numbers) != total {
		j.broken(ruleAnswer, "%s got %d of %d events, and the end of the stream", x.ID, len(numbers), total)
	}
}

// checkApplied checks whether a request was handled as a table says that may be in force.
func (j *judge) checkApplied(x exchange) {
	if x.answer.Status != http.StatusNotFound && x.answer.Status >= http.StatusMultipleChoices {
		return
	}
	has, lacks := false, false
	for i, seen := range j.tables {
		isOld := i+1 < len(j.tables) && !j.tables[i+1].ackedAt.IsZero() && x.sentAt.Sub(j.tables[i+1].ackedAt) > applyTime
		if isOld || seen.sentAt.After(x.endedAt) {
			continue
		}
		if slices.ContainsFunc(seen.table.Routes, func(r azurehitch.PathRoute) bool { return r.PathPrefix == x.route.PathPrefix }) {
			has = true
		} else {
			lacks = true
		}
	}
	isStoreCalm := j.calendar.isStoreCalm(x.sentAt, x.endedAt)
	switch found := x.answer.Status != http.StatusNotFound; {
	case !isStoreCalm:
	case found && !has:
		j.broken(ruleApplied, "%s was answered at daemon-%d on route %s, which is no more", x.ID, x.daemon, x.route.Name)
	case !found && !lacks:
		j.broken(ruleApplied, "%s got 404 at daemon-%d on route %s", x.ID, x.daemon, x.route.Name)
	}
}

// Ordered implements platformtest.Recorder.
func (j *judge) Ordered(order platformtest.OrderArrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if owner, known := j.owners[order.Token]; known && owner != order.Holder {
		j.broken(ruleOne, "%s and %s gave orders under token %d", owner, order.Holder, order.Token)
	}
	j.owners[order.Token] = order.Holder
	if order.Answer != azurehitch.OrderAccepted {
		return
	}
	seen := j.orders[order.Server.ID]
	if last := len(seen) - 1; last >= 0 && seen[last].token > order.Token {
		j.broken(ruleOne, "%s took token %d after %d", order.Server.ID, order.Token, seen[last].token)
	}
	// Holders must not take turns within the span of a lease.
	for i := len(seen) - 1; i >= 0 && now.Sub(seen[i].at) < leaseSpan; i-- {
		isTurn := seen[i].holder == order.Holder && slices.ContainsFunc(seen[i:], func(o orderSeen) bool { return o.holder != order.Holder })
		if isTurn && j.calendar.overlaps(&j.calendar.daemons, now.Add(-thawTime), now, func(d *disturbance) bool { return !d.planned }) == nil {
			j.broken(ruleOne, "%s takes turns at %s", order.Holder, order.Server.ID)
			break
		}
	}
	j.orders[order.Server.ID] = append(seen, orderSeen{holder: order.Holder, token: order.Token, at: now})
	if order.Kind == azurehitch.OrderLoad && order.Tier == azurehitch.CacheTierRemote && j.calendar.isStoreCalm(now, now) {
		j.loads = append(j.loads, now)
		j.checkLoads(now)
	}
}

func (j *judge) checkLoads(now time.Time) {
	j.loads = slices.DeleteFunc(j.loads, func(at time.Time) bool { return now.Sub(at) > loadWindow })
	for name, service := range j.services {
		if service.Engine == nil {
			continue
		}
		if most := service.Engine.RemoteLoadsPerSecond*loadWindow.Seconds()*loadBurst + loadSlack; float64(len(j.loads)) > most {
			j.broken(ruleLoads, "%d loads for %s within %v", len(j.loads), name, loadWindow)
		}
	}
}

// Overfilled implements platformtest.Recorder.
func (j *judge) Overfilled(server azurehitch.ServerIdentity, order azurehitch.SwapOrder) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(ruleMemory, "%s was ordered to load %s by %s", server.ID, order.Model, order.Holder)
}

// exited judges the end of a process.
func (j *judge) exited(e exit) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case e.asked == 0:
		j.broken(ruleExit, "daemon-%d ended by itself: %v", e.daemon, e.err)
	case e.asked.String() == "terminated" && e.err != nil:
		j.broken(ruleExit, "daemon-%d ended its planned stop with %v", e.daemon, e.err)
	case e.asked.String() == "terminated" && e.took > stopTimeout && j.calendar.isCalm(e.daemon, time.Now().Add(-e.took), time.Now()):
		j.broken(ruleExit, "daemon-%d took %v for its planned stop", e.daemon, e.took)
	}
}
