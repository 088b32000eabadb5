package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/priority"

	"github.com/cespare/xxhash/v2"
)

// VerdictKind is the kind of decision on a request that needs a model.
type VerdictKind string

// The kinds of verdicts. Daemons exchange these values.
const (
	VerdictGranted VerdictKind = "Granted"
	VerdictWaiting VerdictKind = "Waiting"
	VerdictRefused VerdictKind = "Refused"
)

// The reasons for refusing or delaying requests for a model whose replicas can't take more: all
// slots are taken, the servers reject requests from the calling daemon, no replica is usable soon,
// the servers name rate limits, or none has the right software version.
const (
	reasonServersFull      = "the servers are full"
	reasonServersRejecting = "the servers turn requests away"
	reasonNoUsableReplica  = "no replica can serve it soon"
	reasonRateLimits       = "the servers limit their request rate"
	reasonNoServer         = "no server has the software version of the stream"
)

// Verdict is the decision on a Request.
type Verdict struct {
	Kind  VerdictKind
	Grant Grant
	// Estimate is the expected wait. For a refused request it is the time after which to retry.
	Estimate time.Duration
	// Reason names the deciding condition in a few words.
	Reason string
}

// waiter is a request that waits for a replica or a free slot.
type waiter struct {
	Request
	arrivedAt time.Time
	// renewedAt is when the daemon last made or repeated the call.
	renewedAt time.Time
	// late is set once the request can no longer be answered by its Objective.
	late bool
	// credit and excess are as in priority.Standing.
	credit time.Duration
	excess time.Duration
	// estimate is the first estimate of the wait for a slot, made at estimatedAt; estimatedAt is zero if the
	// request did not wait for a slot.
	estimate    time.Duration
	estimatedAt time.Time
	// turn is the turn of the request among those of its account; see priority.Turns.
	turn float64
	// tier is the cache tier that the load on behalf of this request reads from; empty if none has
	// been ordered.
	tier azurehitch.CacheTier
}

// Submit decides on a request: it grants a ready replica, makes the daemon wait, or refuses the
// request if no load can serve it before its deadline. A daemon repeats the call while the request
// waits.
func (p *Plan) Submit(request Request, now time.Time) Verdict {
	p.markShuttingDown(request.ShuttingDown)
	w, waiting := p.waiters.byID[request.ID]
	if !waiting {
		w = &waiter{Request: request, arrivedAt: now}
		p.countRequest(w, now)
	}
	w.Request = request
	w.renewedAt = now
	verdict := p.evaluate(w, p.availability(request.Model, now), now)
	if verdict.Kind == VerdictWaiting {
		p.waiters.add(w)
	}
	return verdict
}

// FinalVerdict is a verdict that ends the wait of the request with the given ID: a grant or a
// refusal.
type FinalVerdict struct {
	ID      string
	Verdict Verdict
}

// EvaluateWaiting evaluates the waiting requests for which hasPendingCall is true, that is, whose
// daemon awaits a verdict, and returns the grants and refusals.
func (p *Plan) EvaluateWaiting(now time.Time, hasPendingCall func(id string) bool) []FinalVerdict {
	p.waiters.reorder(now, func(model string) losses { return p.updatedLosses(model, now) }, func(w *waiter) { p.countLoss(w, now) })
	var verdicts []FinalVerdict
	for _, name := range p.waiters.models() {
		avail := p.availability(name, now)
		for _, w := range slices.Clone(p.waiters.byModel[name]) {
			if !hasPendingCall(w.ID) {
				continue
			}
			if verdict := p.evaluate(w, avail, now); verdict.Kind != VerdictWaiting {
				verdicts = append(verdicts, FinalVerdict{ID: w.ID, Verdict: verdict})
			}
		}
	}
	p.updateAwaited(now)
	return verdicts
}

// evaluate decides on a request. A request that is granted or refused is removed from the queue.
func (p *Plan) evaluate(w *waiter, avail availability, now time.Time) Verdict {
	if !p.hasServerOf(w.SoftwareVersion) {
		return p.refuse(w, noServerRetryAfter, reasonNoServer, now)
	}
	if backoff, ok := w.minBackoff(avail.ready); ok {
		return p.refuse(w, backoff, reasonServersRejecting, now)
	}
	avail.ready = w.withoutBackoff(avail.ready)
	if len(avail.ready) > 0 && p.waiters.ahead(w) < p.freeSlots(avail.ready, now) {
		if s := p.chooseServer(w.Request, avail.ready, now); s != nil {
			p.waiters.remove(w.ID)
			p.estimates.ended(w, true, now)
			p.model(w.Model).turns.Served(w.turn)
			return Verdict{Kind: VerdictGranted, Grant: p.grant(w.Request, s, w.tier, now), Reason: "replica is ready"}
		}
	}
	estimate, reason := p.estimateWait(w, avail, now)
	if reason == reasonServersFull && w.estimatedAt.IsZero() {
		w.estimate, w.estimatedAt = estimate, now
	}
	margin := time.Duration(p.settings.AnswerTimeShare * float64(w.Deadline.Sub(w.arrivedAt)))
	if estimate > p.settings.MaxWait || now.Add(estimate+margin).After(w.Deadline) {
		return p.refuse(w, estimate, reason, now)
	}
	return Verdict{Kind: VerdictWaiting, Estimate: estimate, Reason: reason}
}

// noServerRetryAfter is the retry delay of a request that is bound to a software version of which no
// server runs.
const noServerRetryAfter = time.Second

// hasServerOf reports whether any server of a software version accepts requests. While the list may
// lack servers, it returns true.
func (p *Plan) hasServerOf(version azurehitch.VersionBound) bool {
	return !version.IsSet || !p.listComplete || slices.ContainsFunc(p.sortedServers, func(s *server) bool {
		return version.Allows(s.softwareVersion) && s.acceptsRequests()
	})
}

// refuse removes a request from the queue. Requests refused for lack of capacity count as demand
// for further replicas.
func (p *Plan) refuse(w *waiter, estimate time.Duration, reason string, now time.Time) Verdict {
	p.waiters.remove(w.ID)
	p.estimates.ended(w, false, now)
	if !w.late {
		p.countLoss(w, now)
	}
	switch reason {
	case reasonServersFull, reasonServersRejecting, reasonRateLimits:
		p.model(w.Model).refusalRate.add(1, now)
	}
	if reason == reasonServersFull {
		estimate += p.returnSpread(w, now)
	}
	return Verdict{Kind: VerdictRefused, Estimate: estimate, Reason: reason}
}

// markShuttingDown records servers that a daemon reports as shutting down or removed. A server
// doesn't return from this state under the same incarnation.
func (p *Plan) markShuttingDown(servers []azurehitch.ServerIdentity) {
	for _, departed := range servers {
		if s, ok := p.servers[departed.ID]; ok && s.Incarnation <= departed.Incarnation {
			s.shutdownReported = true
			s.shuttingDown = true
			p.index.invalidate()
		}
	}
}

// Withdraw removes a request from the queue, for example after its caller has disconnected.
func (p *Plan) Withdraw(id string) { p.waiters.remove(id) }

// countRequest counts a new request, and sets what its place in the order depends on.
func (p *Plan) countRequest(w *waiter, now time.Time) {
	m := p.model(w.Model)
	m.requests++
	m.requestRate.add(1, now)
	p.takeTurn(w, now)
	p.countKind(w, now)
	if len(p.readyServers(w.Model)) == 0 {
		m.misses++
	}
}

func (p *Plan) grant(request Request, s *server, tier azurehitch.CacheTier, now time.Time) Grant {
	p.lastGrant++
	d := p.daemon(request.Daemon)
	replica := Replica{Server: s.ID, Model: request.Model}
	d.grants = append(d.grants, issuedGrant{number: p.lastGrant, replica: replica, issuedAt: now})
	p.inProgress.add(replica, 1)
	p.model(request.Model).startRate.add(1, now)
	s.startPrefill(request, now)
	r := s.replicas[request.Model]
	r.lastUsed = now
	if a, ok := r.adapters[request.Adapter]; ok {
		a.lastUsed = now
	}
	return Grant{Server: s.ServerIdentity, SoftwareVersion: s.softwareVersion, Number: p.lastGrant, Tier: tier, RateLimited: s.countGrant(now)}
}

// chooseServer returns the server with the lowest cost among those of the ready servers that have a
// free slot and, if the request names an adapter, that adapter loaded. Servers with a rate limit are
// chosen last: their limit may be all that other models have. It returns nil if there is none.
func (p *Plan) chooseServer(request Request, ready []*server, now time.Time) *server {
	var candidates []*server
	for _, s := range ready {
		isFull := p.freeSlotsAt(s, now) == 0
		hasAdapter := request.Adapter == "" || s.replicas[request.Model].hasAdapter(request.Adapter)
		if !isFull && hasAdapter && request.accepts(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			priority.CompareBool(a.hasRateLimit(), b.hasRateLimit()),
			cmp.Compare(p.cost(a, request.FailureDomain, now), p.cost(b, request.FailureDomain, now)),
		)
	})
}

// freeSlots returns the number of further requests that the servers can start now.
func (p *Plan) freeSlots(ready []*server, now time.Time) int {
	free := 0
	for _, s := range ready {
		free += p.freeSlotsAt(s, now)
	}
	return free
}

func (r *replica) hasAdapter(name string) bool {
	a, ok := r.adapters[name]
	return ok && a.state == stateReady
}

// availability describes when requests for a model can be served.
type availability struct {
	// ready are the servers with a ready replica that accepts requests.
	ready []*server
	// wait is the estimated time until a replica is ready, and reason the cause of the wait. Both
	// are unset if there is a ready replica.
	wait   time.Duration
	reason string
}

// availability computes the availability of a model once for all of its requests.
func (p *Plan) availability(name string, now time.Time) availability {
	limits, configured := p.limits.Models[name]
	if !configured {
		return availability{wait: p.settings.MaxWait * 2, reason: "the model is not configured"}
	}
	if ready := p.readyServers(name); len(ready) > 0 {
		return availability{ready: ready}
	}
	if loading := p.loadingServers(name); len(loading) > 0 {
		return availability{wait: loading[0].remainingLoadTime(now), reason: "the model is being loaded"}
	}
	best, found := time.Duration(0), false
	for _, s := range p.cachedServers(name) {
		// The server is assumed to be known again after as much time as it has been unknown.
		wait := max(s.freeAt.Sub(now), s.unknownFor(now)) + limits.LoadTime(s.tier(name)) + p.settings.SwapOverhead
		if !found || wait < best {
			best, found = wait, true
		}
	}
	switch {
	case found:
		return availability{wait: best, reason: "a server has a copy"}
	case !p.listComplete || p.hasUnreportedServers(now):
		return availability{wait: limits.DiskLoad + p.settings.SwapOverhead, reason: "not all servers are known yet"}
	}
	return availability{wait: p.estimateRemoteWait(name, limits, now), reason: "the model comes from the weight store"}
}

// hasUnreportedServers reports whether any server has been unknown for less than firstReportGrace,
// so that its cached checkpoints may not be listed yet.
func (p *Plan) hasUnreportedServers(now time.Time) bool {
	return slices.ContainsFunc(p.sortedServers, func(s *server) bool {
		return !s.known && !s.shuttingDown && s.unknownFor(now) < firstReportGrace
	})
}

// estimateWait returns the expected wait of a request and its cause.
func (p *Plan) estimateWait(w *waiter, avail availability, now time.Time) (time.Duration, string) {
	if len(avail.ready) == 0 {
		return avail.wait, avail.reason
	}
	if behind := p.waiters.ahead(w) - p.freeSlots(avail.ready, now); behind >= 0 {
		return p.estimateSlotWait(w, behind, avail.ready, now)
	}
	if p.hasNoUsableReplica(w.Request, p.readyServers(w.Model), now) {
		return p.estimateReplicaWait(w, avail, now), reasonNoUsableReplica
	}
	// The replicas lack the adapter. If its load has not begun, it needs a free adapter slot first.
	// The remaining wait is assumed to equal the time that the request has waited.
	return max(p.settings.SwapOverhead, now.Sub(w.arrivedAt)), "the adapter is loaded"
}

// estimateSlotWait returns the expected wait for a free slot of a request behind others, and its
// cause. If all servers name rate limits, a further replica may be ready earlier.
func (p *Plan) estimateSlotWait(w *waiter, behind int, ready []*server, now time.Time) (time.Duration, string) {
	name := w.Model
	if unlimited := withoutRateLimit(ready); len(unlimited) > 0 {
		rate := p.usableSlots(ready, name, now) / p.runTime(name, now).Seconds()
		return time.Duration(float64(behind+1) / rate * p.estimates.correction(w.Urgency, now) * float64(time.Second)), reasonServersFull
	}
	wait := time.Duration(math.MaxInt64)
	for _, s := range ready {
		wait = min(wait, p.rateLimitWait(s, now))
	}
	if next, ok := p.nextReplicaWait(name, azurehitch.VersionBound{}, now); ok {
		wait = min(wait, next)
	}
	return wait, reasonRateLimits
}

// estimateRemoteWait returns the expected wait until a model is loaded from the weight store, after
// the loads in progress and those queued before it. It assumes that queued loads run in rounds of
// maxLoads, each of which takes as long as the load of this model.
func (p *Plan) estimateRemoteWait(name string, limits azurehitch.ModelLimits, now time.Time) time.Duration {
	queue := p.remoteLoadQueue(now)
	position := slices.Index(queue, name)
	if position < 0 {
		position = len(queue)
	}
	remaining := p.remainingRemoteLoads(now)
	maxLoads := p.maxRemoteLoads(now)
	unused := max(maxLoads-len(remaining), 0)
	if position < unused {
		return limits.RemoteLoad
	}
	rounds := (position - unused) / maxLoads
	// wait is the remaining time of the load in progress that has to end first; 0 if there is none.
	wait := time.Duration(0)
	if i := (position - unused) % maxLoads; i < len(remaining) {
		wait = remaining[i]
	}
	return wait + time.Duration(rounds+1)*limits.RemoteLoad
}

// remainingRemoteLoads returns the expected remaining times of the loads from the weight store in
// progress, shortest first.
func (p *Plan) remainingRemoteLoads(now time.Time) []time.Duration {
	var remaining []time.Duration
	for _, s := range p.servers {
		if s.modelOrder != nil && s.modelOrder.isRemoteLoad() {
			remaining = append(remaining, max(s.freeAt.Sub(now), 0))
		}
	}
	slices.Sort(remaining)
	return remaining
}

// remoteLoadQueue returns the models with waiting requests and no cached checkpoint, highest
// priority first.
func (p *Plan) remoteLoadQueue(now time.Time) []string {
	var queue []string
	for _, name := range p.awaitedModels(now) {
		if !p.hasCachedServer(name) && !p.isLoading(name) {
			queue = append(queue, name)
		}
	}
	return queue
}

// rendezvous returns the weight of a server for a key in rendezvous hashing: for each key, servers
// rank by descending weight. All daemons rank servers the same way.
func rendezvous(server, key string) uint64 { return xxhash.Sum64String(server + "\x00" + key) }
