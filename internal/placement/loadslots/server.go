package loadslots

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"

	"github.com/pkg/errors"
)

const (
	// takeoverPause is how long a new scheduler waits for the reports of all daemons, which
	// send them as soon as they see that the lease has a new holder.
	takeoverPause = 300 * time.Millisecond
	// maxAnswerWait is how long an answer is delayed to wait for a new grant.
	maxAnswerWait = 300 * time.Millisecond
	// decideInterval is how often the scheduler checks for grants that become due by time:
	// at firstGrantAt, at the rate of starts, and when reports expire.
	decideInterval = 50 * time.Millisecond
)

// ErrNotScheduler is returned by a daemon that does not hold Lease.
var ErrNotScheduler = errors.New("this daemon does not schedule loads")

// Server runs the scheduler while this daemon holds the lease. It is safe for
// concurrent use.
type Server struct {
	clock azurehitch.Clock
	// token returns the fencing token of the lease; 0 if this daemon doesn't hold it.
	token  func() int64
	limits func() Limits

	mu sync.Mutex
	// scheduler is nil while this daemon doesn't hold the lease. heldToken is the fencing token that
	// it was created under.
	scheduler *Scheduler
	heldToken int64
	// changed is closed and replaced when grants may have changed.
	changed chan struct{}
}

// NewServer returns a server that does not schedule until Run sees a held lease.
func NewServer(clock azurehitch.Clock, token func() int64, limits func() Limits) *Server {
	return &Server{clock: clock, token: token, limits: limits, changed: make(chan struct{})}
}

// Run creates and drops the scheduler as the lease is won and lost, and makes its timed
// decisions, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		s.step()
		if err := s.clock.Sleep(ctx, decideInterval); err != nil {
			return nil
		}
	}
}

// step creates or drops the scheduler if the lease was won or lost, and makes the grants that have
// become possible since the last step.
func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if token := s.token(); token != s.heldToken {
		s.heldToken = token
		s.scheduler = nil
		if token != 0 {
			s.scheduler = NewScheduler(s.limits(), now.Add(takeoverPause))
		}
		s.notify()
	}
	if s.scheduler != nil {
		s.scheduler.SetLimits(s.limits())
		s.scheduler.Decide(now)
		s.notify()
	}
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Exchange processes the report of a daemon and returns the answer. If the report requests loads, it
// waits up to maxAnswerWait for a grant that the report doesn't list. The error is ErrNotScheduler if
// this daemon doesn't hold the lease, or the error of the context.
func (s *Server) Exchange(ctx context.Context, daemon string, report Report) (Answer, error) {
	if err := s.report(daemon, report); err != nil {
		return Answer{}, err
	}
	until := s.clock.Now().Add(maxAnswerWait)
	for {
		answer, changed, err := s.answer(daemon)
		if err != nil || len(report.Requests) == 0 || report.isOutdatedBy(answer) || !s.clock.Now().Before(until) {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

func (s *Server) report(daemon string, report Report) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return ErrNotScheduler
	}
	now := s.clock.Now()
	s.scheduler.Report(daemon, report, now)
	s.scheduler.Decide(now)
	s.notify()
	return nil
}

func (s *Server) answer(daemon string) (Answer, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return Answer{}, nil, ErrNotScheduler
	}
	if sabotage.Active(sabotage.SkipLoadSlots) {
		return s.scheduler.answerAll(daemon), s.changed, nil
	}
	return s.scheduler.Answer(daemon), s.changed, nil
}

// isOutdatedBy reports whether an answer contains a grant that the report doesn't list.
func (r Report) isOutdatedBy(answer Answer) bool {
	listed := map[Key]bool{}
	for _, key := range r.Granted {
		listed[key] = true
	}
	for _, key := range answer.Granted {
		if !listed[key] {
			return true
		}
	}
	return false
}
