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

// usageInterval is how often a holder records what it has learnt.
const usageInterval = 15 * time.Minute

// SaveUsage records what this daemon has learnt of the pools that it holds, before it
// gives them away.
func (s *Set) SaveUsage(ctx context.Context) error {
	s.mu.Lock()
	var group errgroup.Group
	for _, p := range s.pools {
		group.Go(func() error { return p.saveUsage(ctx) })
	}
	s.mu.Unlock()
	return group.Wait()
}

// saveUsage records what was learnt, if that has changed.
func (p *pool) saveUsage(ctx context.Context) error {
	p.mu.Lock()
	learned, err := encodeLearned(p.plan.Learned())
	unchanged := bytes.Equal(learned, p.savedUsage)
	p.mu.Unlock()
	if err != nil || unchanged {
		return err
	}
	verdict, err := p.Recorder.Append(ctx, control.Record{Usage: &control.PoolUsage{Pool: p.name, Token: p.token, Learned: learned}})
	if err != nil || verdict.Err != nil {
		return errors.Wrapf(err, "record the usage of pool %s", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedUsage = learned
	return nil
}

// learnFrom takes in what an earlier holder recorded. What can't be read is learnt anew.
func (p *pool) learnFrom(encoded []byte) {
	learned, err := decodeLearned(encoded)
	if err != nil || len(learned.Models) == 0 {
		return
	}
	p.plan.Learn(learned)
	p.savedUsage = encoded
	p.Counters.UsageLearnt(p.name)
}

func encodeLearned(l planner.Learned) ([]byte, error) {
	message := &recordpb.Learned{PoolGaps: gapsToProto(l.PoolHistory)}
	for _, m := range l.Models {
		starts := m.Profile.Starts()
		message.Models = append(message.Models, &recordpb.LearnedModel{
			Model: m.Artifact.Model, Version: m.Artifact.Version, LastUsed: m.LastUsed.Unix(), Gaps: gapsToProto(m.History),
			Starts: &recordpb.LearnedStarts{Slots: starts.Slots, Weights: starts.Weights, Days: starts.Days, LastDay: starts.LastDay},
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func decodeLearned(encoded []byte) (planner.Learned, error) {
	var message recordpb.Learned
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return planner.Learned{}, errors.Wrap(err, "decode what was learnt")
	}
	learned := planner.Learned{PoolHistory: gapsFromProto(message.GetPoolGaps())}
	for _, m := range message.GetModels() {
		starts := m.GetStarts()
		learned.Models = append(learned.Models, planner.LearnedModel{
			Artifact: azurehitch.Artifact{Model: m.GetModel(), Version: m.GetVersion()},
			LastUsed: time.Unix(m.GetLastUsed(), 0),
			History:  gapsFromProto(m.GetGaps()),
			Profile: keepalive.RestoreProfile(keepalive.Starts{
				Slots: starts.GetSlots(), Weights: starts.GetWeights(), Days: starts.GetDays(), LastDay: starts.GetLastDay(),
			}),
		})
	}
	return learned, nil
}

func gapsToProto(h keepalive.History) *recordpb.LearnedGaps {
	bins, total := h.Bins()
	return &recordpb.LearnedGaps{Bins: bins, Total: total}
}

func gapsFromProto(m *recordpb.LearnedGaps) keepalive.History {
	return keepalive.RestoreHistory(m.GetBins(), m.GetTotal())
}
