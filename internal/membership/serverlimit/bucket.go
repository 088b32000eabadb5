package serverlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// Bucket is a token bucket for the requests to a server with a rate limit. It begins empty: whoever
// sent the server requests before may have used a full one just then.
type Bucket struct{ limiter *rate.Limiter }

// NewBucket returns a bucket that is empty at the time from. It fills by perSecond tokens per second,
// up to burst tokens.
func NewBucket(perSecond float64, burst int, from time.Time) *Bucket {
	b := &Bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
	b.limiter.AllowN(from, burst)
	return b
}

// SetRate changes the rate and the size of the bucket, and keeps its tokens.
func (b *Bucket) SetRate(perSecond float64, burst int, now time.Time) {
	if b.PerSecond() == perSecond {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst)
}

// PerSecond returns the rate in tokens per second.
func (b *Bucket) PerSecond() float64 { return float64(b.limiter.Limit()) }

// Tokens returns the number of tokens, which may have a fraction.
func (b *Bucket) Tokens(now time.Time) float64 { return b.limiter.TokensAt(now) }

// Take takes a token, and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool { return b.limiter.AllowN(now, 1) }

// Wait returns the time until the bucket has received as many tokens as are missing to the given
// number, which may exceed its size.
func (b *Bucket) Wait(tokens float64, now time.Time) time.Duration {
	missing := max(tokens-b.Tokens(now), 0)
	return time.Duration(missing / b.PerSecond() * float64(time.Second))
}
