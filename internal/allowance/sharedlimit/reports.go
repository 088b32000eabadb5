package sharedlimit

import (
	"slices"
	"time"
)

// Message is a report to send to a coordinator.
type Message struct {
	To     string
	Report Report
}

// maxEntries limits the entries of a report.
const maxEntries = 4096

// requireMessage notes that the waiting requests of a key need units.
func (l *Lender) requireMessage(s *slotState, k *key) {
	if !k.isPending {
		k.isPending = true
		s.pending = append(s.pending, k)
	}
}

// NextDue returns when Due may return messages, unless Take, Answered or Failed are called before.
func (l *Lender) NextDue(now time.Time) time.Time {
	next := now.Add(ReportInterval)
	if !l.isActive {
		return next
	}
	for _, p := range l.targets(now) {
		if p.inFlight {
			continue
		}
		due := p.reportAt
		if earliest := p.sentAt.Add(MinRequestInterval); l.hasUrgent(now, p) || due.Before(earliest) {
			due = earliest
		}
		if due.Before(next) {
			next = due
		}
	}
	return next
}

// HasWaiting reports whether requests may wait for units. Their coordinator may have them before the next report.
func (l *Lender) HasWaiting() bool {
	return slices.ContainsFunc(l.slots, func(s *slotState) bool { return len(s.pending) > 0 })
}

// hasUrgent reports whether a peer needs a message before the next report is due.
func (l *Lender) hasUrgent(now time.Time, p *peer) bool {
	return slices.ContainsFunc(l.slots, func(s *slotState) bool {
		active, ok := l.coordinator(s)
		if !ok || active != p {
			return ok && s.lentTo == p.name && now.Before(s.promise)
		}
		return l.isLoanDue(now, s, p) || slices.ContainsFunc(s.pending, func(k *key) bool { return !now.Before(k.retryAt) })
	})
}

// Due returns the messages to send now. The result of each must be passed to Answered or Failed.
func (l *Lender) Due(now time.Time) []Message {
	if !l.isActive {
		return nil
	}
	for _, s := range l.slots {
		// The home share is refilled from when it may be used.
		l.home(now, s)
	}
	var messages []Message
	for _, p := range l.targets(now) {
		if p.inFlight || now.Before(p.sentAt.Add(MinRequestInterval)) {
			continue
		}
		isReport := !now.Before(p.reportAt)
		if isReport || l.hasUrgent(now, p) {
			messages = append(messages, l.message(now, p, isReport))
		}
	}
	return messages
}

// message returns a message to a peer, and records that it is sent.
func (l *Lender) message(now time.Time, p *peer, isReport bool) Message {
	l.sequence++
	r := Report{Lender: l.name, Process: l.process, Sequence: l.sequence, Echo: p.stamp, Share: l.share}
	p.inFlight, p.sequence, p.sentAt, p.asked = true, l.sequence, now, nil
	for _, s := range l.slots {
		if active, ok := l.coordinator(s); !ok || active != p {
			continue
		}
		if l.canLend(now, s, p) {
			l.lend(now, s, p)
			r.Slots = append(r.Slots, s.Slot)
		}
		l.addPending(now, s, p, &r)
		if isReport {
			l.addAll(now, s, p, &r)
		}
	}
	if isReport {
		p.reportAt = now.Add(ReportInterval)
	}
	p.lent = r.Slots
	l.counts.Reports++
	return Message{To: p.name, Report: r}
}

// addPending adds what the waiting requests of a slot need.
func (l *Lender) addPending(now time.Time, s *slotState, p *peer, r *Report) {
	kept := s.pending[:0]
	for _, k := range s.pending {
		if len(k.waiting) == 0 {
			k.isPending = false
			continue
		}
		if now.Before(k.retryAt) || len(r.Wants) >= maxEntries {
			kept = append(kept, k)
			continue
		}
		k.isPending = false
		l.addWant(now, k, p, r)
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// addWant adds what a key needs, if it needs any.
func (l *Lender) addWant(now time.Time, k *key, p *peer, r *Report) {
	units := l.inHand(now, k)
	w := Want{Key: k.name, Slot: k.slot, Limit: k.limit}
	w.First, w.Need = k.need(units)
	w.Extra = max(k.forecast-max(units-w.Need, 0), 0)
	if w.Need+w.Extra <= 0 {
		return
	}
	l.counts.Asked += w.Need + w.Extra
	r.Wants = append(r.Wants, w)
	p.asked = append(p.asked, k)
}

// addAll adds what the keys of a slot return and are expected to need, and forgets idle ones.
func (l *Lender) addAll(now time.Time, s *slotState, p *peer, r *Report) {
	for name, k := range s.keys {
		if k.isIdle(now) {
			delete(s.keys, name)
			continue
		}
		k.updateForecast(now)
		if len(r.Wants) >= maxEntries || len(r.Returned) >= maxEntries {
			continue
		}
		l.addReturns(now, k, p, r)
		if k.forecast > 0 && !slices.Contains(p.asked, k) && !now.Before(k.retryAt) {
			l.addWant(now, k, p, r)
		}
	}
}

// addReturns adds the units that a key gives back to a peer. Those of former coordinators are lost.
func (l *Lender) addReturns(now time.Time, k *key, p *peer, r *Report) {
	if len(k.waiting) == 0 {
		l.counts.Returned += k.returnExcess(l.inHand(now, k), p.name)
	}
	r.Returned = append(r.Returned, k.refunds[p.name]...)
	k.refunds = nil
}

// Answered records the answer to the report with a number.
func (l *Lender) Answered(now time.Time, from string, sequence int64, a Answer) {
	p := l.peer(from)
	if !p.inFlight || p.sequence != sequence {
		for _, g := range a.Grants {
			l.counts.Lost += g.Units
		}
		return
	}
	l.counts.Answers++
	p.answer(now, a.Stamp)
	if a.IsStale {
		l.askAgain(p)
		// The clock was set back since the former process started.
		l.process = max(l.process, a.LenderProcess+1)
		p.reportAt = now
		return
	}
	for _, s := range l.slots {
		if s.lentTo == from && !slices.Contains(p.lent, s.Slot) {
			s.lentTo, s.promise = "", time.Time{}
		}
	}
	l.recordGrants(now, p, a)
}

// recordGrants adds the units of an answer to those in hand, and grants them to waiting requests.
func (l *Lender) recordGrants(now time.Time, p *peer, a Answer) {
	asked := map[string]*key{}
	for _, k := range p.asked {
		asked[k.name] = k
	}
	p.asked = nil
	for _, g := range a.Grants {
		k, ok := asked[g.Key]
		if !ok {
			continue
		}
		l.counts.Granted += g.Units
		if expires := p.sentAt.Add(GrantTime); g.Units > 0 && now.Before(expires) {
			k.lots = append(k.lots, lot{units: g.Units, expires: expires, from: p.name, since: a.Stamp})
		} else {
			l.counts.Lost += g.Units
		}
		k.retryAt = time.Time{}
		if g.Retry > 0 {
			k.retryAt = now.Add(min(g.Retry, maxRetry))
		}
		l.serveWaiting(now, k)
		l.keepWaiting(now, k, g.Retry)
	}
}

// keepWaiting refuses the waiting requests of a key that can't get units in time, and asks again for
// the others.
func (l *Lender) keepWaiting(now time.Time, k *key, retry time.Duration) {
	if retry > MaxWait {
		for _, t := range k.waiting {
			l.refuse(now, t)
			close(t.done)
		}
		k.waiting = nil
	}
	if len(k.waiting) > 0 {
		l.requireMessage(l.slot(k), k)
	}
}

// Failed records that the report with a number got no answer in time. isUnsent is true if it can't have
// reached the coordinator.
func (l *Lender) Failed(now time.Time, to string, sequence int64, isUnsent bool) {
	p := l.peer(to)
	if !p.inFlight || p.sequence != sequence {
		return
	}
	l.counts.Failures++
	p.fail(now, isUnsent)
	l.askAgain(p)
}

// askAgain asks again for what a message without an effect has asked for.
func (l *Lender) askAgain(p *peer) {
	for _, k := range p.asked {
		if len(k.waiting) > 0 {
			l.requireMessage(l.slot(k), k)
		}
	}
	p.asked = nil
}
