// Package quarantine keeps requests that crash servers away from them. A request can crash any server
// that begins to answer it because of one part of its prompt, which other requests have too, or because of
// anything else in it. The daemons together find that part or that request and refuse the requests that have
// the part, or the one request, and no others.
//
// # Usage
//
//	tracker := quarantine.New(dependencies)
//	group.Go(func() error { return tracker.Run(ctx) })
//	err := tracker.Begin(request)
//	tracker.BrokenOff(request, server)
//	tracker.Answered(request)
//	tracker.Merge(evidence, quarantine.SourcePeer)
//
// A server that breaks off a request is asked for its report. If it has ended, the requests that it broke off
// and the parts of their prompts are suspects. Requests that it had begun to answer a while before are
// none, and neither is what some daemon sees answered later. A request that is left as the suspect of several
// crashes is held: no daemon sends it. A part is held if several requests with it are. From time to time
// one daemon sends a single held request as a trial; an answer to it releases it or the part everywhere.
//
// Daemons report to each other what they see; see Tracker.Changes.
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
	// minRetryAfter is the shortest retry delay of a held request.
	minRetryAfter = time.Second
)

// Source is where the knowledge of a hold or a release comes from. Its values appear in logs.
type Source string

const (
	// SourceOwn means that this daemon has concluded it from crashes and answers.
	SourceOwn Source = "Own"
	// SourcePeer means that another daemon has reported it.
	SourcePeer Source = "Peer"
	// SourceLog means that it was read from the platform's log.
	SourceLog Source = "Log"
)

// Observer receives the decisions of a tracker. It must not call the tracker.
type Observer interface {
	// ServerCrashed is called for each crash of a server that this daemon finds.
	ServerCrashed(crash Crash)
	// SubjectHeld is called when the requests of a subject are refused from now on.
	SubjectHeld(subject Subject, source Source)
	// SubjectReleased is called when the requests of a subject are sent again.
	SubjectReleased(subject Subject, source Source)
	// SubjectTried is called when a request of a held subject is sent as a trial.
	SubjectTried(subject Subject, trials int)
}

// Dependencies holds what a Tracker uses.
type Dependencies struct {
	// Self is the name of this daemon, and Daemons returns those of all known daemons.
	Self    string
	Daemons func() []string
	// HasEnded reports whether an incarnation of a server has ended, by asking it. If that is not
	// known, it returns false.
	HasEnded func(ctx context.Context, server azurehitch.ServerIdentity) bool
	Clock    azurehitch.Clock
	Observer Observer
}

// Tracker holds the evidence of a daemon. It is safe for concurrent use.
type Tracker struct {
	Dependencies
	checks chan azurehitch.ServerIdentity
	// heldCount is the number of held subjects, and hasEvidence whether any crash or hold is known. They are read
	// for each request.
	heldCount   atomic.Int64
	hasEvidence atomic.Bool

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
	request Request
	server  azurehitch.ServerIdentity
	at      time.Time
}

// New returns a tracker without evidence.
func New(dependencies Dependencies) *Tracker {
	return &Tracker{
		Dependencies: dependencies, checks: make(chan azurehitch.ServerIdentity, maxChecks), ledger: newLedger(),
		unchecked: map[azurehitch.ServerIdentity]*brokenOff{}, changed: make(chan struct{}), due: make(chan struct{}, 1),
	}
}

// Run checks servers that broke off requests and decides which subjects are held, until the context
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

// evaluateWhenDue evaluates the ledger after each change, and again when a subject is due to be held.
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
	for _, subject := range result.held {
		t.Observer.SubjectHeld(subject, SourceOwn)
	}
	for _, subject := range result.released {
		t.Observer.SubjectReleased(subject, SourceOwn)
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
	t.hasEvidence.Store(len(t.ledger.holds)+len(t.ledger.crashes) > 0)
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

// Check returns an *azurehitch.ErrRefused for a request that is held or has a held part in its prompt, or nil
// if it may be sent or be a trial.
func (t *Tracker) Check(request Request) error {
	return t.decide(request, false)
}

// Begin is like Check for a request that is sent right after it. If it is a trial, Begin counts it.
func (t *Tracker) Begin(request Request) error {
	return t.decide(request, true)
}

func (t *Tracker) decide(request Request, isSent bool) error {
	if t.heldCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var tried []Subject
	now := t.Clock.Now()
	for _, s := range request.suspects() {
		subject := s.subject(request.Service)
		h, ok := t.ledger.holds[subject]
		if !ok {
			continue
		}
		if !h.mayTry(subject, t.Self, t.Daemons(), now) {
			return refuse(subject, h.nextTrialAt().Sub(now))
		}
		tried = append(tried, subject)
	}
	if isSent && len(tried) > 0 {
		t.countTrials(tried, now)
	}
	return nil
}

// refuse returns the refusal of a request of a held subject, of which another one is tried after a delay.
func refuse(subject Subject, delay time.Duration) error {
	reason := "the request crashes servers"
	if subject.Kind == KindPart {
		reason = "requests with the prompt part " + subject.ID + " crash servers"
	}
	return azurehitch.Refuse(azurehitch.CodeQuarantined, "%s", reason).WithRetryAfter(max(delay, minRetryAfter))
}

// countTrials counts a trial of held subjects. The caller holds t.mu.
func (t *Tracker) countTrials(subjects []Subject, now time.Time) {
	for _, subject := range subjects {
		h := t.ledger.holds[subject]
		h.countTrial(now, t.ledger.nextVersion())
		t.Observer.SubjectTried(subject, h.trials)
	}
	t.changedLocked()
}

// BrokenOff records that a server broke off a request that it had not begun to answer, or only just.
func (t *Tracker) BrokenOff(request Request, server azurehitch.ServerIdentity) {
	suspects := request.suspects()
	if len(suspects) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.ledger.crashes[server]; ok {
		t.ledger.addCrash(request.Service, server, suspects, c.at, true)
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
		t.unchecked[server] = &brokenOff{service: request.Service, suspects: suspects, at: t.Clock.Now()}
	default:
		// So many servers break off requests at once that their requests have nothing in common.
	}
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

// Answered records that a request was answered by a server.
func (t *Tracker) Answered(request Request) {
	if len(request.Parts) == 0 && !t.hasEvidence.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countAnswer(request, t.Clock.Now())
}

// countAnswer records an answer. The caller holds t.mu.
func (t *Tracker) countAnswer(request Request, at time.Time) {
	before := t.ledger.version
	for _, s := range request.suspects() {
		if subject := s.subject(request.Service); t.ledger.addAnswer(subject, at, true) {
			t.Observer.SubjectReleased(subject, SourceOwn)
		}
	}
	if t.ledger.version != before {
		t.changedLocked()
	}
}

// ProbablyAnswered records that a server has answered a request, or has crashed: the answer ended with its
// connection. It counts unless the server is found to have crashed.
func (t *Tracker) ProbablyAnswered(request Request, server azurehitch.ServerIdentity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.probable) >= maxProbable {
		return
	}
	t.probable = append(t.probable, probableAnswer{request: request, server: server, at: t.Clock.Now()})
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
			t.countAnswer(answer.request, answer.at)
		}
	}
	t.probable = nil
	return time.Time{}
}

// Merge records evidence that another daemon has reported, or that was read from the platform's log.
func (t *Tracker) Merge(evidence Evidence, source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.ledger.version
	held, released := t.ledger.merge(evidence, t.Clock.Now())
	for _, subject := range held {
		t.Observer.SubjectHeld(subject, source)
	}
	for _, subject := range released {
		t.Observer.SubjectReleased(subject, source)
	}
	if t.ledger.version != before {
		t.changedLocked()
	}
}

// Changes returns the evidence that has changed since a version, and the current version. If ownOnly is
// true, it leaves out what other daemons have reported, but for the holds.
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
	for subject, h := range t.ledger.holds {
		holds = append(holds, h.exported(subject, now))
	}
	return holds
}

// HeldCount returns the number of held subjects of a kind.
func (t *Tracker) HeldCount(kind Kind) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := int64(0)
	for subject := range t.ledger.holds {
		if subject.Kind == kind {
			count++
		}
	}
	return count
}
