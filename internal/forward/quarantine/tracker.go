// Package quarantine keeps requests that crash servers away from them. A request can crash any server
// that begins to answer it because of one part of its prompt. The daemons together find that part and
// refuse the requests that have it, and no others.
//
// # Usage
//
//	tracker := quarantine.New(dependencies)
//	group.Go(func() error { return tracker.Run(ctx) })
//	err := tracker.Begin(service, parts)
//	tracker.BrokenOff(service, server, parts)
//	tracker.Answered(service, parts)
//	tracker.Merge(evidence, quarantine.SourcePeer)
//
// A server that breaks off a request is asked for its report. If it has ended, the parts of the
// requests that it broke off are suspects. Requests that it had begun to answer a while before are
// none, and neither are parts with which some daemon sees a request answered later. A part that is
// left as the suspect of several crashes is held: no daemon sends requests with it. From time to time
// one daemon sends a single request as a trial; an answer to it releases the part everywhere.
//
// Daemons tell each other what they see; see Tracker.Changes.
package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"azurehitch"

	"golang.org/x/sync/errgroup"
)

const (
	// checkDelay is the time from a broken exchange until the server is asked for its report, so that
	// a server that is just ending does not answer any more.
	checkDelay = 30 * time.Millisecond
	// maxChecks limits the servers that are checked at the same time.
	maxChecks = 128
	// probableDelay is how long after the end of an answer other connections would show that the server
	// has crashed. maxProbable limits the answers that wait for it.
	probableDelay = 250 * time.Millisecond
	maxProbable   = 256
	// maxEvaluationPause is the longest time between two evaluations.
	maxEvaluationPause = time.Minute
	// minRetryAfter is the shortest retry delay of a request with a held part.
	minRetryAfter = time.Second
)

// Source is where the knowledge of a hold or a release comes from. Its values appear in logs.
type Source string

const (
	// SourceOwn means that this daemon has concluded it from crashes and answers.
	SourceOwn Source = "Own"
	// SourcePeer means that another daemon has told it.
	SourcePeer Source = "Peer"
	// SourceLog means that it was read from the platform's log.
	SourceLog Source = "Log"
)

// Observer receives the decisions of a tracker. It must not call the tracker.
type Observer interface {
	// ServerCrashed is called for each crash of a server that this daemon finds.
	ServerCrashed(crash Crash)
	// PartHeld is called when requests with a part are refused from now on.
	PartHeld(part Part, source Source)
	// PartReleased is called when requests with a part are sent again.
	PartReleased(part Part, source Source)
	// PartTried is called when a request with a held part is sent as a trial.
	PartTried(part Part, trials int)
}

// Dependencies holds what a Tracker uses.
type Dependencies struct {
	// Self is the name of this daemon, and Daemons returns those of all known daemons.
	Self    string
	Daemons func() []string
	// HasEnded reports whether an incarnation of a server has ended, by asking it. If that can't be
	// told, it returns false.
	HasEnded func(ctx context.Context, server azurehitch.ServerIdentity) bool
	Clock    azurehitch.Clock
	Observer Observer
}

// Tracker holds the evidence of a daemon. It is safe for concurrent use.
type Tracker struct {
	Dependencies
	checks chan azurehitch.ServerIdentity
	// heldCount is the number of held parts, which is read for each request.
	heldCount atomic.Int64

	mu     sync.Mutex
	ledger *ledger
	// unchecked are the broken exchanges of servers whose check is pending.
	unchecked map[azurehitch.ServerIdentity]*brokenOff
	// probable are answers that count once their servers are likely to have survived them.
	probable []probableAnswer
	// changed is closed and replaced at each change of the ledger.
	changed chan struct{}
	// due wakes Run for the next evaluation.
	due chan struct{}
}

// brokenOff are the requests that a server has broken off since the first of them.
type brokenOff struct {
	service  string
	suspects []Suspect
	at       time.Time
}

// probableAnswer is an answer that ended with its connection.
type probableAnswer struct {
	service string
	server  azurehitch.ServerIdentity
	parts   []string
	at      time.Time
}

// New returns a tracker without evidence.
func New(dependencies Dependencies) *Tracker {
	return &Tracker{
		Dependencies: dependencies, checks: make(chan azurehitch.ServerIdentity, maxChecks), ledger: newLedger(),
		unchecked: map[azurehitch.ServerIdentity]*brokenOff{}, changed: make(chan struct{}), due: make(chan struct{}, 1),
	}
}

// Run checks servers that broke off requests and decides which parts are held, until the context
// ends.
func (t *Tracker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.evaluateWhenDue(ctx) })
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case server := <-t.checks:
			group.Go(func() error {
				t.check(ctx, server)
				return nil
			})
		}
	}
}

// evaluateWhenDue evaluates the ledger after each change, and again when a part is due to be held.
func (t *Tracker) evaluateWhenDue(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := maxEvaluationPause
		if next := t.evaluate(); !next.IsZero() {
			pause = min(max(next.Sub(t.Clock.Now()), 0), maxEvaluationPause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.due:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (t *Tracker) evaluate() (next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	probableAt := t.countProbable(now)
	result := t.ledger.evaluate(now)
	for _, part := range result.held {
		t.Observer.PartHeld(part, SourceOwn)
	}
	for _, part := range result.released {
		t.Observer.PartReleased(part, SourceOwn)
	}
	if len(result.held) > 0 {
		t.changedLocked()
	}
	if result.next.IsZero() || !probableAt.IsZero() && probableAt.Before(result.next) {
		return probableAt
	}
	return result.next
}

// changedLocked wakes those that wait for changes. The caller holds t.mu.
func (t *Tracker) changedLocked() {
	t.heldCount.Store(int64(len(t.ledger.holds)))
	close(t.changed)
	t.changed = make(chan struct{})
	t.wakeLocked()
}

// wakeLocked makes Run evaluate the ledger. The caller holds t.mu.
func (t *Tracker) wakeLocked() {
	select {
	case t.due <- struct{}{}:
	default:
	}
}

// Check returns an *azurehitch.ErrRefused for a request that has a held part in its prompt, or nil if
// it may be sent or be a trial.
func (t *Tracker) Check(service string, parts []string) error {
	return t.decide(service, parts, false)
}

// Begin is like Check for a request that is sent right after it. If it is a trial, Begin counts it.
func (t *Tracker) Begin(service string, parts []string) error {
	return t.decide(service, parts, true)
}

func (t *Tracker) decide(service string, parts []string, isSent bool) error {
	if t.heldCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var tried []Part
	now := t.Clock.Now()
	for _, id := range parts {
		part := Part{Service: service, ID: id}
		h, ok := t.ledger.holds[part]
		if !ok {
			continue
		}
		if !h.mayTry(part, t.Self, t.Daemons(), now) {
			retryAfter := max(h.nextTrialAt().Sub(now), minRetryAfter)
			return azurehitch.Refuse(azurehitch.CodeQuarantined, "requests with the prompt part %s crash servers", id).WithRetryAfter(retryAfter)
		}
		tried = append(tried, part)
	}
	if isSent && len(tried) > 0 {
		t.countTrials(tried, now)
	}
	return nil
}

// countTrials counts a trial of held parts. The caller holds t.mu.
func (t *Tracker) countTrials(parts []Part, now time.Time) {
	for _, part := range parts {
		h := t.ledger.holds[part]
		h.countTrial(now, t.ledger.nextVersion())
		t.Observer.PartTried(part, h.trials)
	}
	t.changedLocked()
}

// BrokenOff records that a server broke off a request that it had not begun to answer, or only just.
// The parts are those in its prompt that other requests may have too.
func (t *Tracker) BrokenOff(service string, server azurehitch.ServerIdentity, parts []string) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := suspectsOf(parts)
	if c, ok := t.ledger.crashes[server]; ok {
		t.ledger.addCrash(service, server, suspects, c.at, true)
		t.changedLocked()
		return
	}
	if pending, ok := t.unchecked[server]; ok {
		if len(pending.suspects) < maxSuspects {
			pending.suspects = append(pending.suspects, suspects...)
		}
		return
	}
	select {
	case t.checks <- server:
		t.unchecked[server] = &brokenOff{service: service, suspects: suspects, at: t.Clock.Now()}
	default:
		// So many servers break off requests at once that their requests have no part in common.
	}
}

func suspectsOf(parts []string) []Suspect {
	var suspects []Suspect
	for i, id := range parts[:min(len(parts), maxPartsOfRequest)] {
		suspects = append(suspects, Suspect{ID: id, Position: i})
	}
	return suspects
}

// check records a crash if the server that broke off requests has ended.
func (t *Tracker) check(ctx context.Context, server azurehitch.ServerIdentity) {
	hasEnded := t.Clock.Sleep(ctx, checkDelay) == nil && t.HasEnded(ctx, server)
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := t.unchecked[server]
	delete(t.unchecked, server)
	if !hasEnded {
		return
	}
	t.ledger.addCrash(broken.service, server, broken.suspects, broken.at, true)
	t.Observer.ServerCrashed(Crash{Server: server, Service: broken.service, Age: t.Clock.Now().Sub(broken.at), Suspects: broken.suspects})
	t.changedLocked()
}

// Answered records that a request with these parts in its prompt was answered by a server.
func (t *Tracker) Answered(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countAnswer(service, parts, t.Clock.Now())
}

// countAnswer records an answer. The caller holds t.mu.
func (t *Tracker) countAnswer(service string, parts []string, at time.Time) {
	before := t.ledger.version
	for _, id := range parts[:min(len(parts), maxPartsOfRequest)] {
		if part := (Part{Service: service, ID: id}); t.ledger.addAnswer(part, at, true) {
			t.Observer.PartReleased(part, SourceOwn)
		}
	}
	if t.ledger.version != before {
		t.changedLocked()
	}
}

// ProbablyAnswered records that a server has answered a request with these parts in its prompt, or has
// crashed: the answer ended with its connection. It counts unless the server is found to have crashed.
func (t *Tracker) ProbablyAnswered(service string, server azurehitch.ServerIdentity, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(parts) == 0 || len(t.probable) >= maxProbable {
		return
	}
	t.probable = append(t.probable, probableAnswer{service: service, server: server, parts: parts, at: t.Clock.Now()})
	t.wakeLocked()
}

// countProbable counts the answers whose probableDelay has passed, and returns when the next of them
// is due; zero if there is none. The caller holds t.mu.
func (t *Tracker) countProbable(now time.Time) (next time.Time) {
	for i, answer := range t.probable {
		if due := answer.at.Add(probableDelay); now.Before(due) {
			t.probable = t.probable[i:]
			return due
		}
		_, isChecked := t.unchecked[answer.server]
		_, hasCrashed := t.ledger.crashes[answer.server]
		if !isChecked && !hasCrashed {
			t.countAnswer(answer.service, answer.parts, answer.at)
		}
	}
	t.probable = nil
	return time.Time{}
}

// Merge records evidence that another daemon has told, or that was read from the platform's log.
func (t *Tracker) Merge(evidence Evidence, source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.ledger.version
	held, released := t.ledger.merge(evidence, t.Clock.Now())
	for _, part := range held {
		t.Observer.PartHeld(part, source)
	}
	for _, part := range released {
		t.Observer.PartReleased(part, source)
	}
	if t.ledger.version != before {
		t.changedLocked()
	}
}

// Changes returns the evidence that has changed since a version, and the current version. If ownOnly is
// true, it leaves out what other daemons have told, but for the holds.
func (t *Tracker) Changes(since int64, ownOnly bool) (evidence Evidence, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.changesSince(since, ownOnly, t.Clock.Now()), t.ledger.version
}

// Changed returns a channel that is closed at the next change of the evidence.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Holds returns the holds.
func (t *Tracker) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var holds []Hold
	for part, h := range t.ledger.holds {
		holds = append(holds, h.told(part, now))
	}
	return holds
}

// HeldParts returns the number of held parts.
func (t *Tracker) HeldParts() int64 { return t.heldCount.Load() }
