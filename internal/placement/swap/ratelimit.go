package swap

import (
	"math"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/serverlimit"
)

// SetRateLimits replaces the rate limits of servers, in requests per second. Grants at a server stay
// within its limit.
func (p *Plan) SetRateLimits(limits map[azurehitch.ServerIdentity]float64, now time.Time) {
	if len(limits) == 0 && !p.hasRateLimits {
		return
	}
	p.hasRateLimits = len(limits) > 0
	for _, s := range p.sortedServers {
		perSecond, ok := limits[s.ServerIdentity]
		if !ok {
			s.rateLimit = nil
			continue
		}
		s.setRateLimit(perSecond, now)
	}
}

// setRateLimit sets a rate limit. Up to the requests of one second may be granted at once.
func (s *server) setRateLimit(perSecond float64, now time.Time) {
	burst := int(math.Ceil(perSecond))
	if s.rateLimit == nil {
		s.rateLimit = serverlimit.NewBucket(perSecond, burst, now)
	}
	s.rateLimit.SetRate(perSecond, burst, now)
}

// hasRateLimit reports whether the server names a rate limit.
func (s *server) hasRateLimit() bool { return s.rateLimit != nil }

// countGrant counts a grant in the rate limit of the server, and reports whether it names one.
func (s *server) countGrant(now time.Time) bool {
	return s.hasRateLimit() && s.rateLimit.Take(now)
}

// rateLimitWait returns the expected time until a server with a rate limit can start a further
// request, after those that wait for its models. It returns 0 for other servers.
func (p *Plan) rateLimitWait(s *server, now time.Time) time.Duration {
	if !s.hasRateLimit() {
		return 0
	}
	ahead := 0
	for name := range s.replicas {
		ahead += len(p.waiters.byModel[name])
	}
	return s.rateLimit.Wait(float64(max(ahead, 1)), now)
}

// withoutRateLimit returns the servers that name no rate limit.
func withoutRateLimit(servers []*server) []*server {
	return slices.DeleteFunc(slices.Clone(servers), (*server).hasRateLimit)
}

// freeSlotsAt returns the number of further requests that a server can start now.
func (p *Plan) freeSlotsAt(s *server, now time.Time) int {
	free := max(s.slots-p.inProgress.servers[s.ID], 0)
	if s.hasRateLimit() {
		free = min(free, max(int(s.rateLimit.Tokens(now)), 0))
	}
	return free
}

// usableSlots returns the number of requests for a model that servers can run at once, also
// considering their rate limits.
func (p *Plan) usableSlots(servers []*server, name string, now time.Time) float64 {
	runTime := p.runTime(name, now).Seconds()
	sum := 0.0
	for _, s := range servers {
		usable := float64(p.slotsPerServer())
		if s.hasRateLimit() {
			usable = min(usable, s.rateLimit.PerSecond()*runTime)
		}
		sum += usable
	}
	return sum
}
