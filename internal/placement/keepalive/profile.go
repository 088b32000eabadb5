package keepalive

import (
	"math"
	"time"
)

const (
	// slotLength is the time resolution of a profile.
	slotLength  = 5 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// dayDecay is the factor applied to the weight of past days with each new day.
	dayDecay = 0.85
	// priorDays is the weight of days without a use that each profile starts with, so that a few
	// observed days are not trusted too much.
	priorDays = 1
	// preloadLead is how long before the expected use a model is preloaded.
	preloadLead = 2 * time.Minute
)

// preloadWindows are how long a preloaded model may stay loaded to wait for its use, from preloadLead
// after the preload. PreloadUntil takes the first that pays.
var preloadWindows = []time.Duration{2 * slotLength, 3 * slotLength, 4 * slotLength}

// Profile holds the times of day at which a model was used after a long pause. It is an immutable
// value.
type Profile struct {
	// starts is the weight of the days with a start in each slot of the day (UTC).
	starts [slotsPerDay]float32
	// days is the total weight of the observed days.
	days float64
	// lastDay is the last day counted, in days since the Unix epoch. lastSlot is the slot of the
	// last start on it, or -1.
	lastDay  int64
	lastSlot int
}

// Starts is the content of a profile, for storage. Slots without a start are left out.
type Starts struct {
	Slots   []int32
	Weights []float32
	Days    float64
	LastDay int64
}

// Starts returns the content of the profile.
func (p Profile) Starts() Starts {
	starts := Starts{Days: p.days, LastDay: p.lastDay}
	for slot, weight := range p.starts {
		if weight > 0 {
			starts.Slots = append(starts.Slots, int32(slot))
			starts.Weights = append(starts.Weights, weight)
		}
	}
	return starts
}

// RestoreProfile returns the profile with the given content.
func RestoreProfile(starts Starts) Profile {
	p := Profile{days: starts.Days, lastDay: starts.LastDay, lastSlot: -1}
	for i, slot := range starts.Slots[:min(len(starts.Slots), len(starts.Weights))] {
		if slot >= 0 && int(slot) < slotsPerDay {
			p.starts[slot] = starts.Weights[i]
		}
	}
	return p
}

func dayOf(t time.Time) int64 { return t.Unix() / int64(24*time.Hour/time.Second) }

func slotOf(t time.Time) int {
	return int(t.Unix()%int64(24*time.Hour/time.Second)) / int(slotLength/time.Second)
}

// WithStart returns the profile after a period of use that starts at t.
func (p Profile) WithStart(t time.Time) Profile {
	p = p.advanceTo(t)
	if slot := slotOf(t); slot != p.lastSlot {
		p.starts[slot]++
		p.lastSlot = slot
	}
	return p
}

// advanceTo returns the profile as of the day of t. Days without a use count too.
func (p Profile) advanceTo(t time.Time) Profile {
	passed := dayOf(t) - p.lastDay
	if p.days == 0 {
		return Profile{days: 1, lastDay: dayOf(t), lastSlot: -1}
	}
	if passed <= 0 {
		return p
	}
	decay := math.Pow(dayDecay, float64(passed))
	for i := range p.starts {
		p.starts[i] *= float32(decay)
	}
	p.days = p.days*decay + (1-decay)/(1-dayDecay)
	p.lastDay, p.lastSlot = dayOf(t), -1
	return p
}

// startProbability returns the share of days on which a use started within a window of the time of day.
// The current day doesn't count, since its window is still to come.
func (p Profile) startProbability(from time.Time, window time.Duration) float64 {
	var starts float64
	for t := from; t.Before(from.Add(window)); t = t.Add(slotLength) {
		starts += float64(p.starts[slotOf(t)])
	}
	return min(starts/(p.days-1+priorDays), 1)
}

// PreloadUntil decides whether to preload a model now, and returns until when it should stay loaded to
// wait for its use. pays is true if preloading is worthwhile: the probability that it avoids a cold
// start, times price, exceeds the expected idle time.
func (p Profile) PreloadUntil(now time.Time, price time.Duration) (until time.Time, pays bool) {
	p = p.advanceTo(now)
	from := now.Add(preloadLead)
	for _, window := range preloadWindows {
		chance := p.startProbability(from, window)
		idle := chance*window.Seconds()/2 + (1-chance)*window.Seconds()
		if chance*price.Seconds() > idle {
			return from.Add(window), true
		}
	}
	return time.Time{}, false
}
