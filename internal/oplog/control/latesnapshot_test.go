package control_test

import (
	"context"
	"testing"
	"time"

	"azurehitch/internal/oplog/control"

	qt "github.com/frankban/quicktest"
)

// TestSnapshotThatClosesNoGap guards against a daemon that waits in vain for a snapshot: the last one covers too little, and
// daemons that live take it for one that closes the gap.
func TestSnapshotThatClosesNoGap(t *testing.T) {
	for name, isDroppedFirst := range map[string]bool{"it arrives after the loss of the history": true, "it arrives before": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			log, clock, daemons := gapDaemons(c, "living")
			living := daemons[0]
			steps(clock, 5*time.Second, living)
			late := living.store.Snapshot()
			living.append(control.Record{Renewal: true})
			c.Assert(living.follower.Step(context.Background(), 0), qt.IsNil)
			position := living.store.FoldedTo() + 1
			if isDroppedFirst {
				log.DropBefore(stream, position)
			}
			living.append(control.Record{Snapshot: &late})
			c.Assert(living.follower.Step(context.Background(), 0), qt.IsNil)
			log.DropBefore(stream, position)
			started := newGapDaemon(c, log, clock, "started")
			steps(clock, 20*time.Second, living, started)
			c.Assert(started.holder(), qt.Equals, "living")
		})
	}
}
