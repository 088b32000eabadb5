package sharedlimit

import "time"

// Coordinator grants units of limits from the shares that daemons have lent to it.
type Coordinator struct {
	process int64
	// limit returns a limit as this daemon knows it, and false if it doesn't know the key.
	limit     func(key string) (Limit, bool)
	lastStamp int64
	pools     map[Slot]*pool
	lenders   map[string]lenderState
	counts    CoordinatorCounts
}

// CoordinatorCounts counts what a Coordinator has done.
type CoordinatorCounts struct {
	// Asked and Granted are units; Returned are those that were given back and credited.
	Asked, Granted, Returned float64
	// Answers counts reports, Stale those without effect, and Refused wants that got nothing.
	Answers, Stale, Refused int64
}

// lenderState is what a coordinator knows of a lender.
type lenderState struct {
	process, sequence int64
	slots             []Slot
}

// NewCoordinator returns a coordinator without loans, whose buckets are empty: a former process of it
// may have granted all that it had.
func NewCoordinator(process int64, limit func(key string) (Limit, bool)) *Coordinator {
	return &Coordinator{process: process, limit: limit, pools: map[Slot]*pool{}, lenders: map[string]lenderState{}}
}

// Counts returns what the coordinator has done since its start.
func (c *Coordinator) Counts() CoordinatorCounts { return c.counts }

// LentShare returns the largest share that the coordinator may use of any limit.
func (c *Coordinator) LentShare(now time.Time) float64 {
	share := 0.0
	for _, p := range c.pools {
		p.advance(now)
		share = max(share, p.share)
	}
	return share
}

// BucketCount returns the number of limits of which the coordinator keeps a bucket.
func (c *Coordinator) BucketCount() int {
	n := 0
	for _, p := range c.pools {
		n += len(p.buckets)
	}
	return n
}

// Handle records a report and answers it. A report that arrives after a later one, or twice, has no
// effect: its loan was replaced, and its units may have been returned already.
func (c *Coordinator) Handle(now time.Time, r Report) Answer {
	c.counts.Answers++
	answer := Answer{Stamp: c.stamp(now), LenderProcess: r.Process}
	known := c.lenders[r.Lender]
	if r.Process < known.process || r.Process == known.process && r.Sequence <= known.sequence {
		c.counts.Stale++
		answer.LenderProcess, answer.IsStale = known.process, true
		return answer
	}
	c.recordLoan(now, r, known.slots)
	c.lenders[r.Lender] = lenderState{process: r.Process, sequence: r.Sequence, slots: r.Slots}
	for _, returned := range r.Returned {
		c.giveBack(now, returned)
	}
	for _, want := range r.Wants {
		answer.Grants = append(answer.Grants, c.grant(now, r.Lender, want))
	}
	return answer
}

// stamp returns the current time as a stamp, which is later than all others.
func (c *Coordinator) stamp(now time.Time) Stamp {
	c.lastStamp = max(c.lastStamp+1, now.UnixNano())
	return Stamp{Process: c.process, Nanos: c.lastStamp}
}

// pool returns the pool of a slot at the current time.
func (c *Coordinator) pool(now time.Time, slot Slot) *pool {
	p, ok := c.pools[slot]
	if !ok {
		p = newPool(now)
		c.pools[slot] = p
	}
	p.advance(now)
	return p
}

// recordLoan replaces the loan of a lender. A report without a stamp of this process lends nothing.
func (c *Coordinator) recordLoan(now time.Time, r Report, before []Slot) {
	for _, slot := range before {
		c.pool(now, slot)
	}
	l := loan{}
	if r.Share > 0 && r.Share <= 1 {
		l.share = r.Share
	}
	if r.Echo.Process == c.process && r.Echo.Nanos <= c.lastStamp {
		l.until = time.Unix(0, r.Echo.Nanos).Add(LoanTime)
	}
	lent := map[Slot]bool{}
	for _, slot := range r.Slots {
		if isValidSlot(slot) {
			lent[slot] = true
			c.pool(now, slot).setLoan(r.Lender, l)
		}
	}
	for _, slot := range before {
		if !lent[slot] {
			c.pool(now, slot).setLoan(r.Lender, loan{})
		}
	}
}

// giveBack puts units back into the bucket that granted them.
func (c *Coordinator) giveBack(now time.Time, r Return) {
	if r.Since.Process != c.process || !isAmount(r.Units) {
		return
	}
	for slot, p := range c.pools {
		b, ok := p.buckets[r.Key]
		if !ok || slotOf(r.Key, slot.Count) != slot {
			continue
		}
		p.advance(now)
		b.settle(p)
		before := b.level
		b.giveBack(p, r.Units, time.Unix(0, r.Since.Nanos))
		c.counts.Returned += b.level - before
		return
	}
}

// grant grants units to the waiting requests of a lender in their order, and from what is left, part of
// what the lender expects to use.
func (c *Coordinator) grant(now time.Time, lender string, w Want) Grant {
	limit, ok := c.limit(w.Key)
	if !ok {
		limit = w.Limit
	}
	if !isValidSlot(w.Slot) || w.Slot != slotOf(w.Key, w.Slot.Count) || !limit.isValid() {
		return Grant{Key: w.Key, Retry: noShareRetry}
	}
	p := c.pool(now, w.Slot)
	p.evict()
	b := p.bucket(w.Key, limit)
	ahead := b.ahead(now, lender)
	c.counts.Asked += w.Need + w.Extra
	granted := Grant{Key: w.Key}
	if w.First > 0 {
		if !b.canPass(p, w.First, ahead) {
			return c.refuse(now, lender, w, b, p, ahead)
		}
		granted.Units = max(w.First, min(w.Need, b.level-ahead))
		b.unclaim(lender)
	}
	// A part of the rest leaves units to other lenders, which have no traffic yet.
	const extraRatio = 0.5
	if rest := b.level - ahead - granted.Units; w.Extra > 0 && rest > 0 {
		granted.Units += min(w.Extra, rest*extraRatio)
	}
	b.take(granted.Units)
	c.counts.Granted += granted.Units
	return granted
}

// refuse grants nothing. If the units will be there soon, the lender keeps its place.
func (c *Coordinator) refuse(now time.Time, lender string, w Want, b *bucket, p *pool, ahead float64) Grant {
	c.counts.Refused++
	retry := b.timeUntil(p, w.First, ahead)
	if retry <= MaxWait {
		b.claim(now, lender, w.First, retry)
	} else {
		b.unclaim(lender)
	}
	return Grant{Key: w.Key, Retry: retry}
}
