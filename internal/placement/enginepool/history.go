package enginepool

import (
	"bytes"
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/recordpb"
	"azurehitch/internal/placement/keepalive"
	"azurehitch/internal/placement/planner"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// historyInterval is how often a holder records the usage history of a pool.
const historyInterval = 15 * time.Minute

// SaveHistories records the usage histories of the pools that this daemon holds. It is
// called before the daemon releases them.
func (s *Set) SaveHistories(ctx context.Context) error {
	s.mu.Lock()
	var group errgroup.Group
	for _, p := range s.pools {
		group.Go(func() error { return p.saveHistory(ctx) })
	}
	s.mu.Unlock()
	return group.Wait()
}

// saveHistory records the usage history of the pool if it has changed.
func (p *pool) saveHistory(ctx context.Context) error {
	p.mu.Lock()
	encoded, err := encodeHistory(p.plan.UsageHistory())
	unchanged := bytes.Equal(encoded, p.savedHistory)
	p.mu.Unlock()
	if err != nil || unchanged {
		return err
	}
	verdict, err := p.Recorder.Append(ctx, control.Record{History: &control.PoolHistory{Pool: p.name, Token: p.token, Learned: encoded}})
	if err != nil || verdict.Err != nil {
		return errors.Wrapf(err, "record the history of pool %s", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedHistory = encoded
	return nil
}

// restoreHistory restores the usage history that an earlier holder recorded. A history that
// can't be decoded is ignored, and the plan collects a new one.
func (p *pool) restoreHistory(encoded []byte) {
	history, err := decodeHistory(encoded)
	if err != nil || len(history.Models) == 0 {
		return
	}
	p.plan.AddUsageHistory(history)
	p.savedHistory = encoded
	p.Counters.HistoryRestored(p.name)
}

// encodeHistory encodes a usage history for the log. Equal histories have equal encodings, so that an
// unchanged one is not recorded again.
func encodeHistory(history planner.UsageHistory) ([]byte, error) {
	message := &recordpb.Learned{PoolGaps: gapsToProto(history.PoolGaps)}
	for _, m := range history.Models {
		starts := m.Profile.Starts()
		message.Models = append(message.Models, &recordpb.LearnedModel{
			Model: m.Artifact.Model, Version: m.Artifact.Version, LastUsed: m.LastUsed.Unix(), Gaps: gapsToProto(m.Gaps),
			Starts: &recordpb.LearnedStarts{Slots: starts.Slots, Weights: starts.Weights, Days: starts.Days, LastDay: starts.LastDay},
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func decodeHistory(encoded []byte) (planner.UsageHistory, error) {
	var message recordpb.Learned
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return planner.UsageHistory{}, errors.Wrap(err, "decode the usage history")
	}
	history := planner.UsageHistory{PoolGaps: gapsFromProto(message.GetPoolGaps())}
	for _, m := range message.GetModels() {
		starts := m.GetStarts()
		history.Models = append(history.Models, planner.ModelHistory{
			Artifact: azurehitch.Artifact{Model: m.GetModel(), Version: m.GetVersion()},
			LastUsed: time.Unix(m.GetLastUsed(), 0),
			Gaps:     gapsFromProto(m.GetGaps()),
			Profile: keepalive.RestoreProfile(keepalive.Starts{
				Slots: starts.GetSlots(), Weights: starts.GetWeights(), Days: starts.GetDays(), LastDay: starts.GetLastDay(),
			}),
		})
	}
	return history, nil
}

func gapsToProto(h keepalive.History) *recordpb.LearnedGaps {
	bins, total := h.Bins()
	return &recordpb.LearnedGaps{Bins: bins, Total: total}
}

func gapsFromProto(m *recordpb.LearnedGaps) keepalive.History {
	return keepalive.RestoreHistory(m.GetBins(), m.GetTotal())
}
