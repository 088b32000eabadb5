package sharedlimit_test

import (
	"testing"
	"time"

	"azurehitch/internal/allowance/sharedlimit"

	qt "github.com/frankban/quicktest"
)

// take reports whether a lender grants a request at once.
func take(l *sharedlimit.Lender, now time.Time, cost float64) bool {
	ticket := l.Take(now, "account", thousand, cost)
	l.GiveUp(now, ticket)
	return ticket.State() == sharedlimit.TicketGranted
}

// TestHomeShareAfterRestart guards against a daemon that uses its share while the loan of its former process lasts, and
// against one that never uses it although no coordinator answers.
func TestHomeShareAfterRestart(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	l := sharedlimit.NewLender("a", 1, start)
	l.SetFleet(start, sharedlimit.Fleet{Daemons: 2})
	for at := time.Duration(0); at <= sharedlimit.LoanTime; at += 100 * time.Millisecond {
		c.Assert(take(l, start.Add(at), 1), qt.IsFalse)
	}
	c.Assert(take(l, start.Add(sharedlimit.LoanTime+200*time.Millisecond), 50), qt.IsTrue)
}

// TestNoShareBeforeList guards against a daemon that takes the whole limit for its share because it knows no others.
func TestNoShareBeforeList(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := sharedlimit.NewLender("a", 1, now)
	l.SetFleet(now, sharedlimit.Fleet{})
	for range 20 {
		now = now.Add(sharedlimit.ReportInterval)
		c.Assert(take(l, now, 1), qt.IsFalse)
	}
}

// TestUnitsExpire guards against units that are used long after they were granted, when the bucket is full again.
func TestUnitsExpire(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		want bool
	}{
		"valid":   {sharedlimit.GrantTime - time.Millisecond, true},
		"expired": {sharedlimit.GrantTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			l := sharedlimit.NewLender("a", 1, now)
			l.SetActive(true)
			l.SetFleet(now, sharedlimit.Fleet{Daemons: 2, Candidates: []string{"b"}})
			ticket := l.Take(now, "account", thousand, 1)
			messages := l.Due(now)
			c.Assert(messages, qt.HasLen, 1)
			answer := sharedlimit.Answer{Stamp: sharedlimit.Stamp{Process: 1, Nanos: 1}, LenderProcess: 1, Grants: []sharedlimit.Grant{{Key: "account", Units: 2}}}
			l.Answered(now.Add(time.Millisecond), "b", messages[0].Report.Sequence, answer)
			c.Assert(ticket.State(), qt.Equals, sharedlimit.TicketGranted)
			c.Assert(take(l, now.Add(test.age), 1), qt.Equals, test.want)
		})
	}
}

// TestErrorBudget guards against times that allow more than the bound: in seconds of the rate with a burst of 1 s, the
// window, what the bucket holds, the units in hand, and the loans that restarted daemons may make twice.
func TestErrorBudget(t *testing.T) {
	const (
		burst  = time.Second
		bucket = burst / 2
		most   = window + bucket + sharedlimit.GrantTime + sharedlimit.LoanTime
	)
	qt.Assert(t, most.Seconds() <= (window+burst).Seconds()*(1+overage), qt.IsTrue, qt.Commentf("%v", most))
}
