package enginepool

import (
	"context"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/placement/planner"
)

func intentFor(pool string, token int64, server, incarnation string, action planner.Action) leaselog.Intent {
	return leaselog.Intent{
		Pool:        pool,
		Token:       token,
		Server:      server,
		Incarnation: incarnation,
		Artifact:    action.Artifact,
		Memory:      action.Memory,
	}
}

// releaseLease releases the lease of the pool, so that a daemon claims it under a new token. If the
// release fails, it is tried again after newTokenInterval.
func (p *pool) releaseLease(ctx context.Context) {
	_, _ = p.Recorder.Append(ctx, control.Record{Release: &leaselog.Release{Pool: p.name, Token: p.token}})
}

// recordEmptied records that a server no longer in the table of the pool holds no artifacts of it any
// more. A failed append is tried again, since the planner returns the server until it is out of the
// scope of the pool.
func (p *pool) recordEmptied(ctx context.Context, server string) {
	for _, r := range p.scope.Retired {
		if r.Server.Name != server {
			continue
		}
		record := control.Record{Emptied: &configlog.Emptied{RetiredKey: r.Key(), Token: p.token, Since: r.Since}}
		p.group.Go(func() error {
			_, _ = p.Recorder.Append(ctx, record)
			return nil
		})
	}
}

// recordResolution records that the order of an intent has arrived at the engine or never
// will. A failed append is tried again. Until it succeeds, the artifact of the intent can't
// be unloaded.
func (p *pool) recordResolution(ctx context.Context, intent int64) {
	record := control.Record{Resolution: &leaselog.Resolution{Pool: p.name, Intent: intent}}
	if _, err := p.Recorder.Append(ctx, record); err != nil {
		p.Counters.IntentLeftOpen(p.name)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.MarkResolved(intent)
}
