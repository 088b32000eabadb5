package sharedlimit

import (
	"math"
	"time"
)

// bucket is a token bucket that fills with the shares of its pool.
type bucket struct {
	limit Limit
	// level is negative after a request that is larger than the bucket.
	level float64
	// integral is that of the pool at the time of level.
	integral float64
	peaks    peaks
	waiting  []claim
	usedAt   time.Time
}

// capacity returns what the bucket holds.
func (b *bucket) capacity(p *pool) float64 { return b.limit.capacity() * p.share }

// settle adds what has been refilled.
func (b *bucket) settle(p *pool) {
	b.level = min(b.level+b.limit.refill()*(p.integral-b.integral), b.capacity(p))
	b.integral = p.integral
	b.peaks.record(p.now, b.level)
}

// setLimit changes the limit. A lower one holds at once for what is in the bucket.
func (b *bucket) setLimit(limit Limit, p *pool) {
	if b.limit != limit {
		b.limit = limit
		b.level = min(b.level, b.capacity(p))
	}
}

// take removes units.
func (b *bucket) take(units float64) { b.level -= units }

// giveBack adds units that were taken at a time and not used, as far as the bucket could have held them
// ever since: it would have been full otherwise, and have refilled less. Without that limit, units that
// daemons take and return in turn would add up beyond the capacity.
func (b *bucket) giveBack(p *pool, units float64, since time.Time) {
	peak, ok := b.peaks.max(since)
	if !ok {
		return
	}
	credit := min(units, b.capacity(p)-peak)
	if credit > 0 {
		b.level += credit
		b.peaks.raise(credit)
	}
}

// canPass reports whether a request gets its units while others wait for some. One that is larger than the
// bucket passes when the bucket is full, and only where most shares are, because it leaves a debt.
func (b *bucket) canPass(p *pool, cost, ahead float64) bool {
	available := b.level - ahead
	if available >= cost {
		return true
	}
	const (
		majority = 0.5
		full     = 0.999
	)
	capacity := b.capacity(p)
	return cost > capacity && capacity > 0 && p.share > majority && available >= capacity*full
}

// timeUntil returns the time until the bucket has the units for a request and for those ahead of it.
func (b *bucket) timeUntil(p *pool, cost, ahead float64) time.Duration {
	missing := min(cost, b.capacity(p)) + ahead - b.level
	if rate := b.limit.refill() * p.share; rate > 0 {
		return max(seconds(missing/rate), time.Millisecond)
	}
	return noShareRetry
}

// noShareRetry is the retry time where a coordinator has no loans. Daemons that have just started lend their
// shares within a few messages, so that requests are worth waiting.
const noShareRetry = MaxWait / 2

// claim is the units that the waiting requests of a lender are about to get.
type claim struct {
	lender string
	units  float64
	until  time.Time
}

// maxClaims limits the claims of a bucket. Lenders without a claim get units when none are claimed.
const maxClaims = 128

// ahead returns the units that lenders claim which came before the given one, and removes expired claims.
func (b *bucket) ahead(now time.Time, lender string) float64 {
	kept, sum, isPast := b.waiting[:0], 0.0, false
	for _, c := range b.waiting {
		if now.After(c.until) {
			continue
		}
		kept = append(kept, c)
		isPast = isPast || c.lender == lender
		if !isPast {
			sum += c.units
		}
	}
	b.waiting = kept
	return sum
}

// claim keeps the place of a lender that asks again within wait.
func (b *bucket) claim(now time.Time, lender string, units float64, wait time.Duration) {
	// grace is the time that the next request of the lender takes to arrive.
	const grace = 30 * time.Millisecond
	c := claim{lender: lender, units: units, until: now.Add(wait + grace)}
	for i := range b.waiting {
		if b.waiting[i].lender == lender {
			b.waiting[i] = c
			return
		}
	}
	if len(b.waiting) < maxClaims {
		b.waiting = append(b.waiting, c)
	}
}

// unclaim ends the claim of a lender.
func (b *bucket) unclaim(lender string) {
	for i := range b.waiting {
		if b.waiting[i].lender == lender {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// peakTime is the time that one entry of peaks covers.
const peakTime = time.Second

// peaks holds the highest levels of a bucket in the last periods of peakTime.
type peaks struct {
	levels [16]float64
	// began is the start of the period of levels[current], and first that of the oldest one.
	began, first time.Time
	current      int
}

// start begins the record at a level.
func (p *peaks) start(now time.Time, level float64) {
	p.began, p.first = now, now
	p.levels[p.current] = level
}

// record notes a level up to which the bucket has risen since the last record.
func (p *peaks) record(now time.Time, level float64) {
	for now.Sub(p.began) >= peakTime {
		if now.Sub(p.began) >= time.Duration(len(p.levels))*peakTime {
			p.start(now, level)
			return
		}
		p.began = p.began.Add(peakTime)
		p.current = (p.current + 1) % len(p.levels)
		p.levels[p.current] = level
		if oldest := p.began.Add(-time.Duration(len(p.levels)-1) * peakTime); oldest.After(p.first) {
			p.first = oldest
		}
	}
	p.levels[p.current] = max(p.levels[p.current], level)
}

// raise adds to all levels.
func (p *peaks) raise(units float64) {
	for i := range p.levels {
		p.levels[i] += units
	}
}

// max returns the highest level since a time, and false if the record doesn't reach back to it.
func (p *peaks) max(since time.Time) (float64, bool) {
	if since.Before(p.first) {
		return 0, false
	}
	highest := math.Inf(-1)
	for age := range len(p.levels) {
		i := (p.current + len(p.levels) - age) % len(p.levels)
		highest = max(highest, p.levels[i])
		if !since.Before(p.began.Add(-time.Duration(age) * peakTime)) {
			break
		}
	}
	return highest, true
}
