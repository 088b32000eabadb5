package swap_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

const (
	gigabyte    = azurehitch.ByteSize(1_000_000_000)
	modelMemory = 70 * gigabyte
	slots       = 16
)

var start = time.Unix(1000, 0)

// world is a plan with its servers, whose orders are carried out by hand.
type world struct {
	*qt.C
	plan    *swap.Plan
	limits  azurehitch.EngineLimits
	servers []azurehitch.FleetServer
	now     time.Time
}

// newWorld returns a plan over the models m0, m1, ... without servers.
func newWorld(t *testing.T, models int) *world {
	t.Helper()
	limits := azurehitch.EngineLimits{
		Slots: slots, Memory: 200 * gigabyte, AdapterSlots: 2, Models: map[string]azurehitch.ModelLimits{},
	}
	for i := range models {
		limits.Models[fmt.Sprintf("m%d", i)] = azurehitch.ModelLimits{
			Memory: modelMemory, AdapterMemory: gigabyte / 10,
			RemoteLoad: 6 * time.Second, DiskLoad: 800 * time.Millisecond, MemoryLoad: 600 * time.Millisecond,
		}
	}
	return &world{C: qt.New(t), plan: swap.New(limits, swap.DefaultSettings(), 1), limits: limits, now: start}
}

// add lists a server with models loaded and on disk, and reports it.
func (w *world) add(id string, loaded, onDisk []string) azurehitch.FleetServer {
	w.Helper()
	s := azurehitch.FleetServer{
		ServerIdentity: azurehitch.ServerIdentity{ID: id, Address: id + ":80", Incarnation: 1},
		Service:        "llm", FailureDomain: "a", Slots: slots,
		Cached: azurehitch.CachedModels{OnDisk: onDisk},
	}
	for _, name := range loaded {
		s.Loaded = append(s.Loaded, azurehitch.LoadedModel{Name: name, Version: 1})
	}
	w.servers = append(w.servers, s)
	w.plan.SetServers(w.servers)
	w.report(s, 0)
	return s
}

func (w *world) report(s azurehitch.FleetServer, orders int64) {
	w.plan.Observe(s.ServerIdentity, azurehitch.ServerReport{Orders: orders, Loaded: s.Loaded, Cached: s.Cached})
}

// pass moves the time on.
func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) need(id, model string) swap.Need {
	return swap.Need{
		ID: id, Daemon: "daemon-1", FailureDomain: "a", Model: model,
		Objective: w.now.Add(2500 * time.Millisecond), Deadline: w.now.Add(10 * time.Second), Urgency: 1,
	}
}

func (w *world) adapterNeed(id, model, adapter string) swap.Need {
	need := w.need(id, model)
	need.Adapter = adapter
	return need
}

func (w *world) ask(need swap.Need) swap.Verdict { return w.plan.Ask(need, w.now) }

func (w *world) decide() []swap.Order { return w.plan.Decide(w.now) }

// carryOut ends orders after their expected time.
func (w *world) carryOut(orders []swap.Order) {
	for _, order := range orders {
		w.pass(order.Expected)
		if count, ok := w.plan.Orders(order); ok {
			w.plan.SetOrders(order, count+1)
		}
		w.plan.Finish(order, swap.OutcomeDone, w.now)
	}
}

func (w *world) assertKind(v swap.Verdict, kind swap.VerdictKind) {
	w.Helper()
	w.Assert(v.Kind, qt.Equals, kind, qt.Commentf("%s, about %v", v.Reason, v.Estimate))
}

func (w *world) assertOrder(order swap.Order, kind azurehitch.OrderKind, server, model string) {
	w.Helper()
	w.Assert(order.Kind, qt.Equals, kind)
	w.Assert(order.Server.ID, qt.Equals, server)
	w.Assert(order.Model, qt.Equals, model)
}

func names(prefix string, from, to int) []string {
	var list []string
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprintf("%s%d", prefix, i))
	}
	return list
}
