package control_test

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"

	qt "github.com/frankban/quicktest"
)

// FuzzRecord folds two records of any writer. A record that can't be decoded changes nothing but the offset.
func FuzzRecord(f *testing.F) {
	writer := leaselog.Holder{Daemon: "a", Incarnation: "1"}
	for _, record := range []control.Record{
		{EraStart: &leaselog.EraStart{Era: -1, Above: 1 << 60, Gap: -1}}, {Claim: &leaselog.Claim{Pool: "llm", Duration: -1}}, {Renewal: true}, {Release: &leaselog.Release{Pool: "llm", Token: 4}},
		{Intent: &leaselog.Intent{Pool: "llm", Token: 4, Server: "a", Memory: -9}}, {Resolution: &leaselog.Resolution{Pool: "llm", Intent: 8}},
		{History: &control.PoolHistory{Pool: "llm", Token: 4, Learned: []byte("x")}}, {Snapshot: &control.Snapshot{FoldedTo: -9}},
	} {
		payload, err := control.Encode(record.WithWriter(writer, 1))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload, payload)
		f.Add(payload[:len(payload)/2], payload)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := qt.New(t)
		store := control.NewStore(writer, azurehitch.SystemClock{}).WithoutTables()
		now := time.Unix(1000, 0)
		for i, payload := range [][]byte{first, second} {
			store.Apply(azurehitch.Record{Offset: int64(i + 1), Payload: payload}, now)
			c.Assert(store.FoldedTo(), qt.Equals, int64(i+1))
		}
		if _, err := control.Encode(control.Record{Snapshot: snapshotOf(store)}); err != nil {
			c.Fatal(err)
		}
	})
}

func snapshotOf(store *control.Store) *control.Snapshot {
	snapshot := store.Snapshot()
	return &snapshot
}
