package control

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"
)

const snapshotTick = time.Second

// Snapshotter appends snapshots before the log's retention ends the records that
// they replace.
type Snapshotter struct {
	Store  *Store
	Writer *Writer
	Clock  azurehitch.Clock
	// Records and Interval are after how many records, or how long, a snapshot is
	// due.
	Records  int64
	Interval time.Duration
	// Rank returns the position of this daemon among the live ones.
	Rank func() int
	// Appended is called after each snapshot.
	Appended func()
}

// Run appends snapshots until the context ends.
func (s Snapshotter) Run(ctx context.Context) error {
	for {
		if err := s.Clock.Sleep(ctx, snapshotTick); err != nil {
			return nil
		}
		if !s.Store.SnapshotDue(s.Records, s.Interval, s.Rank()) || sabotage.Active(sabotage.SkipSnapshots) {
			continue
		}
		snapshot := s.Store.Snapshot()
		if _, err := s.Writer.Append(ctx, Record{Snapshot: &snapshot}); err == nil {
			s.Appended()
		}
	}
}
