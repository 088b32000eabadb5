package sharedlimit

import (
	"math"
	"slices"
	"time"
)

// peer is what a lender knows of a coordinator.
type peer struct {
	name string
	// stamp is the newest one, received at receivedAt.
	stamp      Stamp
	receivedAt time.Time
	// inFlight is true while the report with the number sequence, sent at sentAt with the loans of lent,
	// is not answered.
	inFlight bool
	sequence int64
	sentAt   time.Time
	lent     []Slot
	asked    []*key
	// reportAt is when the next report is due.
	reportAt time.Time
	// failures counts messages in a row without an answer, the first of which was sent at failingSince.
	failures     int
	failingSince time.Time
	// isSilent is true while the next candidate is used instead, and a message is due at probeAt only.
	isSilent bool
	probeAt  time.Time
}

// peer returns the state of a coordinator.
func (l *Lender) peer(name string) *peer {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{name: name}
		l.peers[name] = p
	}
	return p
}

// coordinator returns the coordinator of a slot, and false if there is none.
func (l *Lender) coordinator(s *slotState) (*peer, bool) {
	for _, name := range s.order {
		if p := l.peer(name); !p.isSilent {
			return p, true
		}
	}
	return nil, false
}

// fail records that a message got no answer. A peer to which it could not be sent is silent at once.
func (p *peer) fail(now time.Time, isUnsent bool) {
	if p.failures == 0 {
		p.failingSince = p.sentAt
	}
	p.failures++
	p.inFlight = false
	// A process that was paused finds one message unanswered, however long the pause was.
	const minFailures = 2
	if isUnsent || p.isSilent || p.failures >= minFailures && now.Sub(p.failingSince) >= MaxSilence {
		p.isSilent, p.probeAt = true, now.Add(probeInterval)
		// The stamp of a process that may have ended is of no use.
		p.stamp = Stamp{}
	}
}

// answer records that a message was answered.
func (p *peer) answer(now time.Time, stamp Stamp) {
	p.inFlight, p.isSilent, p.failures = false, false, 0
	p.stamp, p.receivedAt = stamp, now
}

// loanEnd returns when a loan ends that a report would make now; the zero time without a stamp.
func (p *peer) loanEnd() time.Time {
	if p.stamp.IsZero() {
		return time.Time{}
	}
	return p.receivedAt.Add(LoanTime)
}

// canLend reports whether the share of a slot may be lent to a peer: nobody else uses it.
func (l *Lender) canLend(now time.Time, s *slotState, p *peer) bool {
	return l.share > 0 && p.loanEnd().After(now) && (s.lentTo == p.name || !now.Before(s.promise))
}

// lend records that a report lends the share of a slot to a peer.
func (l *Lender) lend(now time.Time, s *slotState, p *peer) {
	s.home.advance(now)
	s.home.setLoan(l.name, loan{})
	s.lentTo = p.name
	if end := p.loanEnd(); end.After(s.promise) {
		s.promise = end
	}
}

// farAhead is later than any time of a clock.
var farAhead = time.Unix(math.MaxInt32, 0).AddDate(100, 0, 0)

// home returns the pool of the daemon's own share of a slot; nil while it is lent or must not be used.
func (l *Lender) home(now time.Time, s *slotState) *pool {
	s.home.advance(now)
	share := l.share
	if now.Before(l.homeFrom) || now.Before(s.promise) {
		share = 0
	}
	if s.home.loans[l.name].share != share {
		s.home.setLoan(l.name, loan{share: share, until: farAhead})
	}
	if share == 0 {
		return nil
	}
	return s.home
}

// isLoanDue reports whether a report would renew a loan that is about to end or has not begun.
func (l *Lender) isLoanDue(now time.Time, s *slotState, p *peer) bool {
	end := p.loanEnd()
	return l.canLend(now, s, p) && s.promise.Before(now.Add(ReportInterval)) && end.After(s.promise.Add(ReportInterval/2))
}

// targets returns the peers to which messages may be due: the coordinators, those that have a loan of a
// slot which has another coordinator now, and silent ones that would be preferred.
func (l *Lender) targets(now time.Time) []*peer {
	var targets []*peer
	add := func(p *peer) {
		if !slices.Contains(targets, p) {
			targets = append(targets, p)
		}
	}
	for _, s := range l.slots {
		active, ok := l.coordinator(s)
		for _, name := range s.order {
			p := l.peer(name)
			if p == active {
				break
			}
			if !now.Before(p.probeAt) {
				p.reportAt = p.probeAt
				add(p)
			}
		}
		if !ok {
			continue
		}
		add(active)
		if s.lentTo != "" && s.lentTo != active.name && now.Before(s.promise) {
			if p := l.peer(s.lentTo); !p.isSilent {
				add(p)
			}
		}
	}
	return targets
}
