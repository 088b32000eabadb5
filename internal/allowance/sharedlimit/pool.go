package sharedlimit

import (
	"math"
	"time"
)

// loan is the share that a lender has lent.
type loan struct {
	share float64
	until time.Time
}

// pool is the shares of one slot that one daemon may use, and the buckets of the slot's keys. The
// integral of the shares over time refills all buckets, so that a report that leaves the sum of the shares as it is
// needs no work for each of them.
type pool struct {
	loans map[string]loan
	// share is the sum of the loans, at most 1.
	share float64
	// nextExpiry is not after the first expiry of a loan.
	nextExpiry time.Time
	// now is the time up to which integral, in share times seconds, has been computed.
	now      time.Time
	integral float64
	// A key without a bucket had at least floorShare of its capacity when the integral was
	// floorIntegral.
	floorShare, floorIntegral float64
	buckets                   map[string]*bucket
}

func newPool(now time.Time) *pool {
	return &pool{loans: map[string]loan{}, now: now, buckets: map[string]*bucket{}}
}

// advance computes the integral up to now and ends the loans that have expired.
func (p *pool) advance(now time.Time) {
	for len(p.loans) > 0 && !now.Before(p.nextExpiry) {
		p.integrate(p.nextExpiry)
		p.removeExpired()
	}
	p.integrate(now)
}

func (p *pool) integrate(now time.Time) {
	if now.After(p.now) {
		p.integral += p.share * now.Sub(p.now).Seconds()
		p.now = now
	}
}

// removeExpired removes the loans that end at p.nextExpiry, and sets it anew.
func (p *pool) removeExpired() {
	expiry, first := p.nextExpiry, time.Time{}
	for lender, l := range p.loans {
		if !l.until.After(expiry) {
			delete(p.loans, lender)
		} else if first.IsZero() || l.until.Before(first) {
			first = l.until
		}
	}
	p.nextExpiry = first
	p.sumUp()
}

// setLoan replaces the loan of a lender. One that has expired, or that has no share, ends it.
func (p *pool) setLoan(lender string, l loan) {
	before, ok := p.loans[lender]
	if !l.until.After(p.now) || l.share <= 0 {
		if ok {
			delete(p.loans, lender)
			p.sumUp()
		}
		return
	}
	if len(p.loans) == 0 || l.until.Before(p.nextExpiry) {
		p.nextExpiry = l.until
	}
	p.loans[lender] = l
	if before.share != l.share {
		p.sumUp()
	}
}

// sumUp computes the share. Buckets hold no more than the lower of the shares before and after a change allows:
// what was refilled while the share was low must not count up to the capacity of a higher one.
func (p *pool) sumUp() {
	sum := 0.0
	for _, l := range p.loans {
		sum += l.share
	}
	sum = min(sum, 1)
	// The order of the map changes the sum by rounding.
	const rounding = 1e-9
	if math.Abs(sum-p.share) <= rounding {
		return
	}
	p.settleAll()
	// A bucket that was never used has refilled since the last change, as far as the lower share allows.
	refilled := p.floorShare + (p.integral-p.floorIntegral)/fillTime.Seconds()
	p.floorShare = min(refilled, p.share, sum)
	p.floorIntegral = p.integral
	p.share = sum
	p.settleAll()
}

func (p *pool) settleAll() {
	for _, b := range p.buckets {
		b.settle(p)
	}
}

// fillTime is the time of refill after which a bucket that was never used counts as full, unless its
// limit needs more. Buckets that fill sooner have refilled a larger part of their capacity by then.
const fillTime = 5 * time.Second

// bucket returns the bucket of a key with its current level.
func (p *pool) bucket(key string, limit Limit) *bucket {
	b, ok := p.buckets[key]
	if !ok {
		level := limit.PerSecond * (p.integral - p.floorIntegral)
		if limit.capacity() <= limit.PerSecond*fillTime.Seconds() {
			level += limit.capacity() * p.floorShare
		}
		b = &bucket{limit: limit, level: level, integral: p.integral, usedAt: p.now}
		b.settle(p)
		b.peaks.start(p.now, b.level)
		p.buckets[key] = b
	}
	b.settle(p)
	b.setLimit(limit, p)
	b.usedAt = p.now
	return b
}

// evict removes some of the buckets that are full and were not used for idleTime: they need not be kept,
// because a new bucket starts with no more.
func (p *pool) evict() {
	const looks = 16
	n := 0
	for key, b := range p.buckets {
		if n++; n > looks {
			return
		}
		if p.now.Sub(b.usedAt) >= idleTime {
			if b.settle(p); b.level >= b.capacity(p) {
				delete(p.buckets, key)
			}
		}
	}
}

// idleTime is how long a limit that is not used is kept.
const idleTime = 2 * time.Second
