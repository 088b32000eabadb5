package control

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"
)

const snapshotCheckInterval = time.Second

// Snapshotter appends snapshots before the log's retention deletes the records that they replace.
type Snapshotter struct {
	Store  *Store
	Writer *Writer
	Clock  azurehitch.Clock
	// Records and Interval are the number of records and the time since the last snapshot after
	// which the next one is due, whichever comes first.
	Records  int64
	Interval time.Duration
	// Rank returns the position of this daemon among the live daemons, from 0 on.
	Rank func() int
	// OnAppended is called after this daemon has appended a snapshot.
	OnAppended func()
}

// Run appends snapshots when they are due, until the context ends. It always returns nil.
func (s Snapshotter) Run(ctx context.Context) error {
	for {
		if err := s.Clock.Sleep(ctx, snapshotCheckInterval); err != nil {
			return nil
		}
		if !s.Store.SnapshotDue(s.Records, s.Interval, s.Rank()) || sabotage.Active(sabotage.SkipSnapshots) {
			continue
		}
		snapshot := s.Store.Snapshot()
		if _, err := s.Writer.Append(ctx, Record{Snapshot: &snapshot}); err == nil {
			s.OnAppended()
		}
	}
}
