package swap_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// overload is a load on a model with one replica.
type overload struct {
	// runs is how long each request runs, and perSecond how many come.
	runs      time.Duration
	perSecond int
	length    time.Duration
	// kindOf returns the kind of a request by its number.
	kindOf func(i int) kind
}

// kind is a kind of requests.
type kind struct {
	name                string
	urgency             int
	objective, deadline time.Duration
}

// outcome is what callers of a kind got.
type outcome struct{ asked, onTime, late, refused int }

func (o outcome) onTimeShare() float64 { return float64(o.onTime) / float64(o.asked) }

// player plays a load against a plan.
type player struct {
	*world
	load      overload
	asked     map[string]time.Time
	kinds     map[string]kind
	waits     map[string]bool
	ends      []time.Time
	lastGrant int64
	outcomes  map[string]*outcome
}

// play returns what callers got, by the name of their kind.
func (load overload) play(t *testing.T) map[string]*outcome {
	t.Helper()
	p := newPlayer(t, load)
	for i := range int(load.length.Seconds()) * load.perSecond {
		p.pass(time.Second / time.Duration(load.perSecond))
		p.step(i)
	}
	return p.outcomes
}

func newPlayer(t *testing.T, load overload) *player {
	t.Helper()
	w := newWorld(t, 1)
	w.limits.Models["m0"] = azurehitch.ModelLimits{Memory: 200 * gigabyte, RemoteLoad: time.Minute, DiskLoad: time.Minute, MemoryLoad: time.Minute}
	w.plan.SetLimits(w.limits)
	w.add("s0", []string{"m0"}, []string{"m0"})
	return &player{
		world: w, load: load, asked: map[string]time.Time{}, kinds: map[string]kind{}, waits: map[string]bool{},
		outcomes: map[string]*outcome{},
	}
}

// step ends requests, settles those that wait and asks for one more.
func (p *player) step(i int) {
	running := p.ends[:0]
	for _, end := range p.ends {
		if p.now.Before(end) {
			running = append(running, end)
		}
	}
	p.ends = running
	p.plan.Report("daemon-1", swap.Demand{
		InProgress: map[swap.Replica]int{{Server: "s0", Model: "m0"}: len(p.ends)}, LastGrant: p.lastGrant,
	}, p.now)
	for _, settled := range p.plan.Settle(p.now, func(id string) bool { return p.waits[id] }) {
		p.take(settled.ID, settled.Verdict)
	}
	id, k := fmt.Sprintf("r%05d", i), p.load.kindOf(i)
	p.asked[id], p.kinds[id] = p.now, k
	if p.outcomes[k.name] == nil {
		p.outcomes[k.name] = &outcome{}
	}
	p.outcomes[k.name].asked++
	need := p.need(id, "m0")
	need.Objective, need.Deadline, need.Urgency = p.now.Add(k.objective), p.now.Add(k.deadline), k.urgency
	p.take(id, p.ask(need))
}

// take notes a verdict.
func (p *player) take(id string, verdict swap.Verdict) {
	delete(p.waits, id)
	k := p.kinds[id]
	o := p.outcomes[k.name]
	switch verdict.Kind {
	case swap.VerdictGranted:
		p.ends = append(p.ends, p.now.Add(p.load.runs))
		p.lastGrant = max(p.lastGrant, verdict.Grant.Number)
		if p.now.Sub(p.asked[id]) < k.objective {
			o.onTime++
			return
		}
		o.late++
	case swap.VerdictWaiting:
		p.waits[id] = true
	case swap.VerdictRefused:
		o.refused++
	}
}

var draft = kind{name: "draft", urgency: 1, objective: 600 * time.Millisecond, deadline: 5 * time.Second}

// TestOverload answers the load of a model that is asked for half again as often as its only replica can
// serve.
func TestOverload(t *testing.T) {
	const (
		runs      = 500 * time.Millisecond
		perSecond = slots * 3
		length    = 20 * time.Second
		// wanted is the part of the requests with a slot that should be on time, the first seconds
		// and rounding left out.
		wanted = 0.85
	)
	// served is the part of the requests that the replica has slots for.
	served := slots / runs.Seconds() / perSecond
	// Served in the order in which they came, all would be late.
	t.Run("as many callers as can be served get their answer on time", func(t *testing.T) {
		load := overload{runs: runs, perSecond: perSecond, length: length, kindOf: func(int) kind { return draft }}
		share := load.play(t)["draft"].onTimeShare()
		qt.New(t).Assert(share >= wanted*served, qt.IsTrue,
			qt.Commentf("%.2f of the requests were on time, there were slots for %.2f", share, served))
	})
	t.Run("urgent requests don't keep the others from the servers", func(t *testing.T) {
		const each = 12
		review := kind{name: "review", urgency: 2, objective: time.Second, deadline: 5 * time.Second}
		load := overload{runs: runs, perSecond: perSecond, length: length, kindOf: func(i int) kind {
			if i%each == 0 {
				return review
			}
			return draft
		}}
		outcomes := load.play(t)
		drafts, reviews := outcomes["draft"].onTimeShare(), outcomes["review"].onTimeShare()
		qt.New(t).Assert(reviews >= wanted*drafts, qt.IsTrue, qt.Commentf("reviews %.2f, drafts %.2f on time", reviews, drafts))
	})
}

// TestRunTime answers the load of short requests of which 60 come at once: the replica can serve them in a
// second, which it is learnt from how long they run, so none is refused.
func TestRunTime(t *testing.T) {
	const perSecond, before, crowd, after = 40, 200, 60, 100
	p := newPlayer(t, overload{runs: 200 * time.Millisecond, kindOf: func(int) kind { return draft }})
	for i := range before + crowd + after {
		if i < before || i >= before+crowd {
			p.pass(time.Second / perSecond)
		}
		p.step(i)
	}
	o := p.outcomes["draft"]
	p.Assert(o.refused, qt.Equals, 0, qt.Commentf("%+v", *o))
	p.Assert(o.onTime+o.late, qt.Equals, o.asked)
}
