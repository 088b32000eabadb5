package sharedlimit

import (
	"slices"
	"time"
)

// lot is units that were granted at once.
type lot struct {
	units   float64
	expires time.Time
	// from is the coordinator that granted them, with the stamp of its answer.
	from  string
	since Stamp
}

// key is what a lender knows of the limit of one key.
type key struct {
	name  string
	slot  Slot
	limit Limit
	// lots are the units in hand, the oldest first.
	lots    []lot
	waiting []*Ticket
	// isPending is true while the key is among the pending ones of its slot.
	isPending bool
	// refunds are units to return, by the coordinator that granted them.
	refunds map[string][]Return
	// retryAt is when a coordinator estimated that units are available.
	retryAt time.Time
	backlog backlog
	usedAt  time.Time
	// used and requests are the costs and the number of requests since forecastAt, and forecast is what the
	// requests of a ReportInterval cost, as far as they are so many that units are worth asking for ahead.
	used       float64
	requests   int
	forecast   float64
	forecastAt time.Time
}

// inHand returns the units in hand, after it removed those that have expired.
func (k *key) inHand(now time.Time) (units, expired float64) {
	for len(k.lots) > 0 && !now.Before(k.lots[0].expires) {
		expired += k.lots[0].units
		k.lots = k.lots[1:]
	}
	for _, l := range k.lots {
		units += l.units
	}
	return units, expired
}

// putBack adds units that were taken and not used, which expire as before.
func (k *key) putBack(units float64, o origin) {
	back := lot{units: units, expires: o.expires, from: o.from, since: o.since}
	i := slices.IndexFunc(k.lots, func(l lot) bool { return l.expires.After(back.expires) })
	if i < 0 {
		i = len(k.lots)
	}
	k.lots = slices.Insert(k.lots, i, back)
}

// spend removes units from the oldest lots, and returns where they came from.
func (k *key) spend(units float64) origin {
	o := origin{}
	for units > 0 && len(k.lots) > 0 {
		l := &k.lots[0]
		part := min(units, l.units)
		o.add(*l)
		l.units -= part
		if units -= part; l.units <= 0 {
			k.lots = k.lots[1:]
		}
	}
	return o
}

// origin is where the units of a request came from.
type origin struct {
	isHome bool
	// from and since are as in lot; from is empty if the units are of several coordinators.
	from  string
	since Stamp
	// expires is when the first of the units expires.
	expires time.Time
	// at is when units were taken from the home share.
	at time.Time
}

func (o *origin) add(l lot) {
	if o.expires.IsZero() || l.expires.Before(o.expires) {
		o.expires = l.expires
	}
	switch {
	case o.since.IsZero():
		o.from, o.since = l.from, l.since
	case o.from != l.from || o.since.Process != l.since.Process:
		o.from = ""
	default:
		o.since.Nanos = min(o.since.Nanos, l.since.Nanos)
	}
}

// observe counts a request for the forecast.
func (k *key) observe(now time.Time, cost float64) {
	k.usedAt = now
	k.used += cost
	k.requests++
}

// updateForecast computes the forecast from the requests since the last time.
func (k *key) updateForecast(now time.Time) {
	elapsed := now.Sub(k.forecastAt)
	if elapsed < ReportInterval/2 {
		return
	}
	// Fewer requests than this are served with a message each.
	const minRequests = 3
	expected := 0.0
	if k.requests >= minRequests {
		expected = k.used * float64(ReportInterval) / float64(elapsed)
	}
	k.forecast = (k.forecast + expected) / 2
	k.used, k.requests, k.forecastAt = 0, 0, now
}

// need returns what the waiting requests lack beyond the units in hand: the first one, and all.
func (k *key) need(inHand float64) (first, all float64) {
	for i, t := range k.waiting {
		all += t.cost
		if i == 0 {
			first = t.cost - inHand
		}
	}
	return max(first, 0), max(all-inHand, 0)
}

// isIdle reports whether nothing is lost if the key is forgotten.
func (k *key) isIdle(now time.Time) bool {
	return now.Sub(k.usedAt) >= idleTime && len(k.waiting) == 0 && len(k.lots) == 0 && len(k.refunds) == 0
}

// maxRefunds limits the refunds of a key in one report. The rest is merged, with the stamp of the oldest.
const maxRefunds = 16

// refund notes units to return to the coordinator that granted them.
func (k *key) refund(units float64, o origin) {
	if k.refunds == nil {
		k.refunds = map[string][]Return{}
	}
	list := k.refunds[o.from]
	if n := len(list); n > 0 {
		last := &list[n-1]
		isClose := o.since.Nanos-last.Since.Nanos < int64(MaxWait) && o.since.Nanos >= last.Since.Nanos
		if last.Since.Process == o.since.Process && (isClose || n >= maxRefunds) {
			last.Units += units
			last.Since.Nanos = min(last.Since.Nanos, o.since.Nanos)
			return
		}
	}
	if len(list) < maxRefunds {
		k.refunds[o.from] = append(list, Return{Key: k.name, Units: units, Since: o.since})
	}
}

// returnExcess notes the oldest units in hand for return to a coordinator, as far as they exceed what the
// requests until the next report may need, and returns how much that is.
func (k *key) returnExcess(inHand float64, from string) float64 {
	// Requests vary around the forecast.
	const margin = 1.5
	excess, returned := inHand-k.forecast*margin, 0.0
	for excess > 0 && len(k.lots) > 0 && k.lots[0].from == from {
		part := min(excess, k.lots[0].units)
		o := k.spend(part)
		k.refund(part, o)
		excess, returned = excess-part, returned+part
	}
	return returned
}
