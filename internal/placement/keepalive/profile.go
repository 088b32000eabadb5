package keepalive

import (
	"math"
	"time"
)

const (
	// slotLength is the resolution of a profile.
	slotLength  = 5 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// dayDecay is the weight that the past keeps with each day.
	dayDecay = 0.85
	// doubt is the weight of a day without a use that each profile begins with, so that
	// few days are not trusted.
	doubt = 1
	// wakeLead is how long before the first expected use a model is woken.
	wakeLead = 2 * time.Minute
)

// wakeWindows are the times for which a woken model may wait for its use.
var wakeWindows = []time.Duration{2 * slotLength, 3 * slotLength, 4 * slotLength}

// Profile is the times of day at which the uses of a model began after a long pause.
// It is a value and is never changed.
type Profile struct {
	starts [slotsPerDay]float32
	// days is the weight of the days seen.
	days float64
	// lastDay is the number of the last day that counts, and lastSlot its last start.
	lastDay  int64
	lastSlot int
}

// Starts is the content of a profile, to be kept elsewhere. Slots without a start are
// left out.
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

// RestoreProfile returns the profile with a content.
func RestoreProfile(starts Starts) Profile {
	p := Profile{days: starts.Days, lastDay: starts.LastDay, lastSlot: -1}
	for i, slot := range starts.Slots[:min(len(starts.Slots), len(starts.Weights))] {
		if slot >= 0 && int(slot) < slotsPerDay {
			p.starts[slot] = starts.Weights[i]
		}
	}
	return p
}

func dayOf(at time.Time) int64 { return at.Unix() / int64(24*time.Hour/time.Second) }

func slotOf(at time.Time) int {
	return int(at.Unix()%int64(24*time.Hour/time.Second)) / int(slotLength/time.Second)
}

// WithStart returns the profile after a use that began at a time.
func (p Profile) WithStart(at time.Time) Profile {
	p = p.asOf(at)
	if slot := slotOf(at); slot != p.lastSlot {
		p.starts[slot]++
		p.lastSlot = slot
	}
	return p
}

// asOf returns the profile on the day of a time. Days without a use count as well.
func (p Profile) asOf(at time.Time) Profile {
	passed := dayOf(at) - p.lastDay
	if p.days == 0 {
		return Profile{days: 1, lastDay: dayOf(at), lastSlot: -1}
	}
	if passed <= 0 {
		return p
	}
	kept := math.Pow(dayDecay, float64(passed))
	for i := range p.starts {
		p.starts[i] *= float32(kept)
	}
	p.days = p.days*kept + (1-kept)/(1-dayDecay)
	p.lastDay, p.lastSlot = dayOf(at), -1
	return p
}

// chance returns the part of the days on which a use began in a window. The day that is
// under way does not count before the window.
func (p Profile) chance(from time.Time, window time.Duration) float64 {
	var starts float64
	for at := from; at.Before(from.Add(window)); at = at.Add(slotLength) {
		starts += float64(p.starts[slotOf(at)])
	}
	return min(starts/(p.days-1+doubt), 1)
}

// WakeUntil returns how long a model that is woken now should wait for its use, if it
// pays to wake it: the chance that it spares a cold start, at the price of that, must
// exceed the idle time that is to be expected.
func (p Profile) WakeUntil(now time.Time, price time.Duration) (until time.Time, pays bool) {
	p = p.asOf(now)
	from := now.Add(wakeLead)
	for _, window := range wakeWindows {
		chance := p.chance(from, window)
		idle := chance*window.Seconds()/2 + (1-chance)*window.Seconds()
		if chance*price.Seconds() > idle {
			return from.Add(window), true
		}
	}
	return time.Time{}, false
}
