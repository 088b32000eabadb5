package control_test

import (
	"testing"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"

	qt "github.com/frankban/quicktest"
)

// assertRoundTrip checks that a record is unchanged after encoding and decoding.
func assertRoundTrip(c *qt.C, r control.Record) {
	c.Helper()
	payload, err := control.Encode(r)
	c.Assert(err, qt.IsNil)
	got, err := control.Decode(payload)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, r)
}

func TestRecordRoundTrip(t *testing.T) {
	c := qt.New(t)
	key := configlog.RetiredKey{Pool: "llm", Server: "b"}
	retired := []configlog.Retired{{Pool: "llm", Server: tables.BackendServer{Name: "b", Address: "127.0.0.1:2", FencingToken: tables.TokenKept}, Since: 7}}
	publication, err := configlog.State{}.Edit([]byte(`{"Callers":[{"Name":"salon"}]}`), []byte(`{"Pools":[{"Name":"llm","Kind":"Models"}]}`), "ana")
	c.Assert(err, qt.IsNil)
	state, verdict := configlog.State{}.Apply(7, publication)
	c.Assert(verdict, qt.IsNil)
	state.Retired = retired
	for name, record := range map[string]control.Record{
		"publication":    {Publication: &publication},
		"era start":      {EraStart: &leaselog.EraStart{Era: 2, Above: 7, Gap: 4096}},
		"first era":      {EraStart: &leaselog.EraStart{Era: 1, IsFirst: true}},
		"start over":     {EraStart: &leaselog.EraStart{Era: 2, Above: 7, StartsOver: true}},
		"claim":          {Claim: &leaselog.Claim{Pool: "llm", Seen: 3, Era: 2}},
		"renewal":        {Renewal: true},
		"release":        {Release: &leaselog.Release{Pool: "llm", Token: 4}},
		"intent":         {Intent: &leaselog.Intent{Pool: "llm", Token: 4, Server: "a", Memory: 9}},
		"resolution":     {Resolution: &leaselog.Resolution{Pool: "llm", Intent: 8}},
		"emptied":        {Emptied: &configlog.Emptied{RetiredKey: key, Token: 4, Since: 7}},
		"history":        {History: &control.PoolHistory{Pool: "llm", Token: 4, Learned: []byte("x")}},
		"snapshot":       {Snapshot: &control.Snapshot{FoldedTo: 9, LogEra: 3, Era: 2, EraStartedAt: 5, StartedOver: 4, Configuration: state, Histories: []control.PoolHistory{{Pool: "llm", Token: 4, Learned: []byte("x")}}}},
		"empty snapshot": {Snapshot: &control.Snapshot{FoldedTo: 9}},
	} {
		c.Run(name, func(c *qt.C) {
			assertRoundTrip(c, record.WithWriter(leaselog.Holder{Daemon: "a", Incarnation: "1"}, 5))
		})
	}
}
