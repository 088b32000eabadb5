package hedge

import (
	"time"

	"azurehitch"
)

// Denial is why a call is not hedged; empty if it may be. Its values are labels of a metric.
type Denial string

// The causes of denials.
const (
	// DenialNotLearnt means that no time has been learnt for the route.
	DenialNotLearnt Denial = "NotLearnt"
	// DenialBudget means that the rest of the retry budget is kept for retries.
	DenialBudget Denial = "Budget"
	// DenialShareLimit means that the share of the operators is used.
	DenialShareLimit Denial = "ShareLimit"
	// DenialServiceFull means that most other servers reject calls, are in backoff or late, or that most calls
	// take much longer than before.
	DenialServiceFull Denial = "ServiceFull"
	DenialBrittle     Denial = "Brittle"
	DenialRateLimited Denial = "RateLimited"
	DenialFailing     Denial = "Failing"
	// DenialQuarantined means that the request is held because it crashes servers.
	DenialQuarantined   Denial = "Quarantined"
	DenialNoOtherServer Denial = "NoOtherServer"
	DenialAttemptsUsed  Denial = "AttemptsUsed"
	// DenialDraining means that the daemon stops, or that the request has no time for another server.
	DenialDraining Denial = "Draining"
)

// Server is a listed server of a service.
type Server struct {
	azurehitch.ServerIdentity
	FailureDomain string
	// Denial is why the server gets no hedges: ServiceFull if it takes no further requests now, Brittle,
	// RateLimited or Failing; empty if it may.
	Denial Denial
}

// Request is a late call.
type Request struct {
	Service azurehitch.BackendService
	Route   string
	// First is the server that is late, and Avoid holds the ids of all servers that had the call.
	First azurehitch.ServerIdentity
	Avoid []string
	// Servers are the listed servers of the service.
	Servers []Server
}

// Decide allows a hedge, or returns why there is none.
func (t *Tracker) Decide(r Request) (*Permit, Denial) {
	avoid, denial := t.serversToAvoid(r)
	if denial != "" {
		return nil, denial
	}
	if t.isSlowed(r.Service.Name, r.Route) {
		return nil, DenialServiceFull
	}
	counts, ok := t.reserve(r.Service)
	if !ok {
		return nil, DenialShareLimit
	}
	permit := &Permit{Avoid: avoid, tracker: t, counts: counts}
	charge, ok := t.budget.SpendSpare(r.Service.Name)
	if !ok {
		permit.release()
		return nil, DenialBudget
	}
	permit.charge = charge
	return permit, ""
}

// serversToAvoid returns the ids of the servers that must not get the hedge, or why no server may: there is
// no other one, one is brittle, or fewer than half of the others may.
func (t *Tracker) serversToAvoid(r Request) ([]string, Denial) {
	now := t.clock.Now()
	avoid := map[string]bool{r.First.ID: true}
	for _, id := range r.Avoid {
		avoid[id] = true
	}
	others := 0
	var usable []Server
	denied := map[Denial]int{}
	for _, s := range r.Servers {
		if s.ID == r.First.ID {
			continue
		}
		others++
		switch denial := t.denialOf(s, now); {
		case denial != "":
			denied[denial]++
			avoid[s.ID] = true
		case !avoid[s.ID]:
			usable = append(usable, s)
		}
	}
	healthy := others
	for _, n := range denied {
		healthy -= n
	}
	switch {
	case denied[DenialBrittle] > 0:
		return nil, DenialBrittle
	case 2*healthy < others:
		return nil, mostFrequent(denied)
	case len(usable) == 0:
		return nil, DenialNoOtherServer
	}
	for _, id := range sameDomain(usable, r) {
		avoid[id] = true
	}
	return ids(avoid), ""
}

// denialOf returns why a server gets no hedges, by its state or by what was observed there.
func (t *Tracker) denialOf(s Server, now time.Time) Denial {
	if s.Denial != "" {
		return s.Denial
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.marks[s.ServerIdentity].denial(now)
}

// mostFrequent returns the cause that applies to most servers. The more lasting one goes first.
func mostFrequent(denied map[Denial]int) Denial {
	most := DenialServiceFull
	for _, d := range []Denial{DenialRateLimited, DenialFailing} {
		if denied[d] > denied[most] {
			most = d
		}
	}
	return most
}

// sameDomain returns the ids of the usable servers in the failure domain of the first server, if at least half
// of the usable ones are in others. With fewer, the hedges of all calls would meet at these few.
func sameDomain(usable []Server, r Request) []string {
	domain := ""
	for _, s := range r.Servers {
		if s.ID == r.First.ID {
			domain = s.FailureDomain
		}
	}
	var same []string
	for _, s := range usable {
		if s.FailureDomain == domain {
			same = append(same, s.ID)
		}
	}
	if 2*len(same) > len(usable) {
		return nil
	}
	return same
}

func ids(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	return list
}
