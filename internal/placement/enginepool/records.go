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

// releaseLease gives the lease back, so that it is claimed under a new token. Its
// failure is met by the next try.
func (p *pool) releaseLease(ctx context.Context) {
	_, _ = p.Recorder.Append(ctx, control.Record{Release: &leaselog.Release{Pool: p.name, Token: p.token}})
}

// noteEmptied records that a retired server is empty. A record that fails is due
// again.
func (p *pool) noteEmptied(ctx context.Context, server string) {
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

// resolve records that the order of an intent has arrived or never will. When the
// record can't be appended, it is tried again; what the intent holds can't be
// unloaded meanwhile.
func (p *pool) resolve(ctx context.Context, intent int64) {
	record := control.Record{Resolution: &leaselog.Resolution{Pool: p.name, Intent: intent}}
	if _, err := p.Recorder.Append(ctx, record); err != nil {
		p.Counters.IntentLeftOpen(p.name)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.Resolved(intent)
}
