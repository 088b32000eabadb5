package leaselog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"azurehitch/internal/lease/leaselog"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// eraSimulation simulates daemons on a log that returns from older copies. Daemons read the log and restart
// at any time; sent records reach the log late, also in a later era, or never.
type eraSimulation struct {
	now     time.Time
	names   []string
	daemons map[string]*eraDaemon
	era     int64
	log     []leaseRecord
	copies  [][]leaseRecord
	sent    []leaseRecord
	// sequence numbers records, and starts the processes of all daemons.
	sequence int64
	starts   int
	// orders are the tokens and holders of the orders so far.
	lastToken  int64
	lastHolder string
	lastAt     time.Time
}

// eraDaemon is one process of a daemon.
type eraDaemon struct {
	self    leaselog.Holder
	manager *leaselog.Manager
	era     int64
	readTo  int64
}

func newEraSimulation(names ...string) *eraSimulation {
	s := &eraSimulation{now: time.Unix(1000, 0), names: names, daemons: map[string]*eraDaemon{}, era: 1}
	for _, name := range names {
		s.restart(name)
	}
	return s
}

func (s *eraSimulation) restart(name string) {
	s.starts++
	self := leaselog.Holder{Daemon: name, Incarnation: fmt.Sprint(s.starts)}
	s.daemons[name] = &eraDaemon{self: self, manager: leaselog.NewManager(self, leaselog.NewFold(), s.now)}
}

// read lets a daemon read the next records, at most limit.
func (s *eraSimulation) read(name string, limit int) {
	d := s.daemons[name]
	if d.era < s.era {
		d.manager.EnterEra(s.era, d.readTo, len(s.log) == 0, s.now)
		d.era, d.readTo = s.era, 0
	}
	for ; limit > 0 && d.readTo < int64(len(s.log)); limit-- {
		r := s.log[d.readTo]
		d.readTo++
		switch offset := d.readTo; {
		case r.action.Claim != nil:
			d.manager.OnClaim(offset, r.holder, r.sequence, *r.action.Claim, s.now)
		case r.action.Release != nil:
			d.manager.OnRelease(offset, r.holder, *r.action.Release, s.now)
		case r.action.EraStart != nil:
			d.manager.Fold().StartEra(offset, *r.action.EraStart)
		case r.action.Renew:
			d.manager.OnRenewal(offset, r.holder, r.sequence, s.now)
		}
	}
}

func (s *eraSimulation) decide(name string) {
	d := s.daemons[name]
	if d.era == 0 {
		return
	}
	environment := leaselog.Environment{
		Pools: []leaselog.PoolSetting{{Name: "llm", Duration: duration}}, Daemons: s.names, PredecessorEnded: true, FoldedTo: d.readTo,
	}
	for _, action := range d.manager.Decide(s.now, environment) {
		s.sequence++
		d.manager.StoreSendTime(s.sequence, s.now)
		s.sent = append(s.sent, leaseRecord{holder: d.self, sequence: s.sequence, action: action})
	}
}

func (s *eraSimulation) deliver(i int) {
	r := s.sent[i]
	s.sent = slices.Delete(s.sent, i, i+1)
	if r.action.EraStart != nil {
		s.log = append(s.log, make([]leaseRecord, r.action.EraStart.Gap)...)
	}
	s.log = append(s.log, r)
}

// returnFrom lets the log return from one of the older copies.
func (s *eraSimulation) returnFrom(i int) {
	s.log = slices.Clone(s.copies[i])
	s.era++
}

// order lets a daemon send an order if its lease is valid, and returns what is wrong with the order.
func (s *eraSimulation) order(name string) string {
	d := s.daemons[name]
	token, held := d.manager.Token("llm")
	if !held || !d.manager.IsValid("llm", s.now) {
		return ""
	}
	// The holder is the process: another one of the same daemon may not use its token.
	holder := d.self.Daemon + d.self.Incarnation
	defer func() { s.lastToken, s.lastHolder, s.lastAt = token, holder, s.now }()
	switch {
	case token < s.lastToken:
		return fmt.Sprintf("%s has the token %d after %d of %s", holder, token, s.lastToken, s.lastHolder)
	case token == s.lastToken && holder != s.lastHolder:
		return fmt.Sprintf("%s and %s have the token %d", holder, s.lastHolder, token)
	}
	return ""
}

// TestProveSingleHolderAcrossEras checks that tokens rise and that no two daemons hold valid leases at the
// same time, while the log returns from older copies, daemons restart, and records arrive late.
func TestProveSingleHolderAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newEraSimulation("a", "b", "c")
		daemon := func() string { return rapid.SampledFrom(s.names).Draw(t, "daemon") }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"read":    func(t *rapid.T) { s.read(daemon(), rapid.IntRange(1, 3*4096).Draw(t, "records")) },
			"decide":  func(*rapid.T) { s.decide(daemon()) },
			"restart": func(*rapid.T) { s.restart(daemon()) },
			// One daemon goes on without delays, while the others don't read.
			"go on": func(t *rapid.T) {
				names := s.names
				s.names = []string{daemon()}
				s.settle(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
				s.names = names
			},
			"deliver": func(t *rapid.T) {
				if len(s.sent) > 0 {
					s.deliver(rapid.IntRange(0, len(s.sent)-1).Draw(t, "record"))
				}
			},
			"copy": func(*rapid.T) {
				s.copies = append(s.copies, slices.Clone(s.log))
				s.copies = s.copies[max(0, len(s.copies)-3):]
			},
			"return": func(t *rapid.T) {
				if len(s.copies) > 0 && s.era < 5 {
					s.returnFrom(rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy"))
				}
			},
			"": func(t *rapid.T) {
				for _, name := range s.names {
					if problem := s.order(name); problem != "" {
						t.Fatal(problem)
					}
				}
			},
		})
	})
}

// settle lets all daemons decide and read all records for a time. Records that were sent before stay on
// their way.
func (s *eraSimulation) settle(span time.Duration) {
	late := len(s.sent)
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, name := range s.names {
			s.decide(name)
		}
		for len(s.sent) > late {
			s.deliver(late)
		}
		for _, name := range s.names {
			s.read(name, len(s.log))
		}
	}
}

// holder returns the daemon with a valid lease and its token.
func (s *eraSimulation) holder() (name string, token int64) {
	for _, n := range s.names {
		if s.daemons[n].manager.IsValid("llm", s.now) {
			name = n
			token, _ = s.daemons[n].manager.Token("llm")
		}
	}
	return name, token
}

func TestTokensRiseAcrossEras(t *testing.T) {
	for _, test := range []struct {
		name string
		// returns is how often the log returns, each time from the first copy, and lost the number of
		// records that it loses each time.
		returns, lost int
		restart       bool
	}{
		{"daemons that know what was lost", 1, 9, false},
		{"all daemons restart", 1, 9, true},
		{"daemons that know more than a gap", 1, 10000, false},
		{"two returns from the same copy", 2, 9, false},
		{"two returns from the same copy, all daemons restart", 2, 9, true},
		{"four returns from the same copy, all daemons restart", 4, 900, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newEraSimulation("a", "b")
			s.settle(4 * duration)
			s.copies = [][]leaseRecord{slices.Clone(s.log)}
			_, highest := s.holder()
			for range test.returns {
				s.log = append(s.log, make([]leaseRecord, test.lost)...)
				// The leases are given up and claimed again, with higher tokens.
				s.settle(duration / 2)
				holder, _ := s.holder()
				for _, action := range s.daemons[holder].manager.Releases() {
					s.log = append(s.log, leaseRecord{holder: s.daemons[holder].self, action: action})
				}
				s.settle(duration)
				_, token := s.holder()
				c.Assert(token > highest, qt.IsTrue)
				highest = token
				s.returnFrom(0)
				if test.restart {
					s.restart("a")
					s.restart("b")
				}
				s.settle(2 * duration)
				_, token = s.holder()
				c.Assert(token > highest, qt.IsTrue, qt.Commentf("token %d after %d", token, highest))
				highest = token
			}
		})
	}
}

func TestFirstEraCostsNothing(t *testing.T) {
	c := qt.New(t)
	s := newEraSimulation("a", "b")
	s.settle(time.Second)
	holder, token := s.holder()
	c.Assert(holder, qt.Not(qt.Equals), "")
	c.Assert(token < 10, qt.IsTrue, qt.Commentf("token %d", token))
}

func TestRaiseTokens(t *testing.T) {
	c := qt.New(t)
	s := newEraSimulation("a", "b")
	s.settle(4 * duration)
	before, token := s.holder()
	raise := func(token int64) (holder string, raised int64) {
		s.daemons[before].manager.RaiseTokens("llm", token, s.now)
		s.settle(duration)
		return s.holder()
	}
	holder, raised := raise(token)
	c.Assert(holder, qt.Equals, before)
	c.Assert(raised-token > 4096, qt.IsTrue, qt.Commentf("%d after %d", raised, token))
	c.Run("an earlier token is not raised again", func(c *qt.C) {
		_, again := raise(token)
		c.Assert(again, qt.Equals, raised)
	})
	c.Run("the token of a holder that was replaced is not raised", func(c *qt.C) {
		s.restart(before)
		s.now = s.now.Add(2 * duration)
		other := map[string]string{"a": "b", "b": "a"}[before]
		s.names = []string{other}
		s.settle(2 * duration)
		s.names = []string{before, other}
		_, replaced := s.holder()
		holder, again := raise(raised)
		c.Assert(holder, qt.Equals, other)
		c.Assert(again, qt.Equals, replaced)
	})
}

func TestClaimWhileTheLogNamesAnEarlierEra(t *testing.T) {
	c := qt.New(t)
	s := newEraSimulation("a")
	s.log = []leaseRecord{{holder: daemon("b"), action: leaselog.Action{EraStart: &leaselog.EraStart{Era: 5}}}}
	s.settle(4 * duration)
	holder, _ := s.holder()
	c.Assert(holder, qt.Equals, "a")
}

func TestStartEra(t *testing.T) {
	c := qt.New(t)
	check := func(name string, f *leaselog.Fold, start leaselog.EraStart, accepted bool, startedAt int64) {
		c.Run(name, func(c *qt.C) {
			c.Assert(f.StartEra(100, start), qt.Equals, accepted)
			_, at := f.Era()
			c.Assert(at, qt.Equals, startedAt)
		})
	}
	inEra2 := func() *leaselog.Fold { return leaselog.NewFold().WithEra(2, 50) }
	check("a later era", inEra2(), leaselog.EraStart{Era: 3}, true, 100)
	check("the same era", inEra2(), leaselog.EraStart{Era: 2, Above: 40}, false, 50)
	check("the same era, whose tokens are not high enough", inEra2(), leaselog.EraStart{Era: 2, Above: 60}, true, 100)
	check("an earlier era", inEra2(), leaselog.EraStart{Era: 1, Above: 60}, false, 50)
	check("the first era of an empty log", leaselog.NewFold(), leaselog.EraStart{Era: 1, IsFirst: true}, true, 0)
	c.Run("a claim of an earlier era is rejected, one of an earlier release is not", func(c *qt.C) {
		f := inEra2()
		late := claim(0)
		late.Era = 1
		c.Assert(f.Claim(101, daemon("a"), late), qt.IsFalse)
		c.Assert(f.Claim(102, daemon("a"), claim(0)), qt.IsTrue)
	})
}
