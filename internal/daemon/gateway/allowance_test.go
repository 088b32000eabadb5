package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/membership/members"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/platform"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const allowanceDaemons = 3

// limitedAccount is the only account of the tables of accountDecoder.
func limitedAccount(perSecond float64) azurehitch.ClientAccount {
	return azurehitch.ClientAccount{Name: "account", Allowance: azurehitch.Allowance{Unit: azurehitch.AllowanceUnitRequests, PerSecond: perSecond, Burst: perSecond}}
}

// accountDecoder adds an account to the tables that it decodes.
type accountDecoder struct {
	azurehitch.RoutingDecoder
	account azurehitch.ClientAccount
}

// Decode implements azurehitch.RoutingDecoder.
func (d accountDecoder) Decode(value []byte) (azurehitch.RoutingTable, error) {
	table, err := d.RoutingDecoder.Decode(value)
	table.Accounts = []azurehitch.AccountEntry{{ClientAccount: d.account, Keys: []azurehitch.KeyHash{azurehitch.HashKey([]byte("key"))}}}
	return table, err
}

// relayedMembers writes the address of a relay into the entry of a daemon.
type relayedMembers struct {
	azurehitch.KeyedLog
	address string
}

// Put implements azurehitch.KeyedLog.
func (l relayedMembers) Put(ctx context.Context, stream string, record azurehitch.KeyedRecord) error {
	var m members.Member
	if stream != "members" {
		return l.KeyedLog.Put(ctx, stream, record)
	}
	if err := json.Unmarshal(record.Value, &m); err != nil {
		return err
	}
	m.Address = l.address
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	record.Value = value
	return l.KeyedLog.Put(ctx, stream, record)
}

// relay passes the connections of other daemons on to a daemon, unless it is cut.
type relay struct {
	listener net.Listener
	target   atomic.Value
	isCut    atomic.Bool
	group    errgroup.Group
}

func (r *relay) run() error {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return r.group.Wait()
		}
		daemon, err := net.Dial("tcp", r.target.Load().(string))
		if err != nil {
			caller.Close()
			continue
		}
		r.group.Go(func() error { return r.pass(caller, daemon) })
		r.group.Go(func() error { return r.pass(daemon, caller) })
	}
}

// pass passes bytes on. A connection that lost bytes passes no others.
func (r *relay) pass(from, to net.Conn) error {
	defer to.Close()
	buf, isSilent := make([]byte, 4096), false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return nil
		}
		if isSilent = isSilent || r.isCut.Load(); isSilent {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil
		}
	}
}

// allowanceFleet is daemons that have an account with a limit.
type allowanceFleet struct {
	*qt.C
	store   string
	account azurehitch.ClientAccount
	relays  []*relay
	daemons []*atomic.Pointer[gateway.Daemon]
	stops   []func()

	mu      sync.Mutex
	granted []time.Time
}

// withAllowanceFleet calls run with daemons whose account has a limit, and stops them afterwards.
func withAllowanceFleet(t *testing.T, perSecond float64, run func(f *allowanceFleet)) {
	t.Helper()
	store := platformtest.NewStore(nil)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	f := &allowanceFleet{C: qt.New(t), store: server.Listener.Addr().String(), account: limitedAccount(perSecond)}
	f.Assert(store.PutRouting(azurehitch.RoutingTable{Version: 1}), qt.IsNil)
	var relays errgroup.Group
	for i := range allowanceDaemons {
		listener, err := net.Listen("tcp", anyPort)
		f.Assert(err, qt.IsNil)
		f.relays = append(f.relays, &relay{listener: listener})
		f.daemons = append(f.daemons, &atomic.Pointer[gateway.Daemon]{})
		f.stops = append(f.stops, nil)
		f.start(i)
		relays.Go(f.relays[i].run)
	}
	f.Assert(sleep(f.Context(), 3*time.Second), qt.IsNil)
	run(f)
	var stops errgroup.Group
	for i := range f.relays {
		stops.Go(func() error {
			f.stops[i]()
			return f.relays[i].listener.Close()
		})
	}
	f.Assert(stops.Wait(), qt.IsNil)
	f.Assert(relays.Wait(), qt.IsNil)
}

// start starts a process of a daemon.
func (f *allowanceFleet) start(i int) {
	s := linkedSettings(fmt.Sprintf("daemon-%d", i), "z", f.store)
	connected := platform.Connect(s, azurehitch.SystemClock{}, logging.Discard())
	connected.Routing = accountDecoder{connected.Routing, f.account}
	connected.Keyed = relayedMembers{connected.Keyed, f.relays[i].listener.Addr().String()}
	daemon, err := gateway.New(s, connected)
	f.Assert(err, qt.IsNil)
	f.relays[i].target.Store(daemon.Addresses().Peers)
	f.daemons[i].Store(daemon)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return daemon.Run(ctx) })
	f.stops[i] = func() {
		stop()
		f.Check(group.Wait(), qt.IsNil)
	}
}

// send sends requests to a daemon until the context ends.
func (f *allowanceFleet) send(ctx context.Context, i int, pause time.Duration) {
	for sleep(ctx, pause) == nil {
		if _, err := f.daemons[i].Load().Allowances().Take(ctx, f.account, 1); err == nil {
			f.mu.Lock()
			f.granted = append(f.granted, time.Now())
			f.mu.Unlock()
		}
	}
}

// largestWindow returns the most requests that were granted within 8 s.
func (f *allowanceFleet) largestWindow() int {
	largest, first := 0, 0
	for i, at := range f.granted {
		for at.Sub(f.granted[first]) >= 8*time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// TestAllowanceWhileDaemonsAreCutAndRestarted guards against sums beyond the limit while daemons are cut off from
// each other, and after one was restarted.
func TestAllowanceWhileDaemonsAreCutAndRestarted(t *testing.T) {
	const (
		perSecond = 200
		bound     = (perSecond*8 + perSecond) * 1.1
	)
	withAllowanceFleet(t, perSecond, func(f *allowanceFleet) {
		ctx, stop := context.WithCancel(f.Context())
		var callers errgroup.Group
		for i := range f.daemons {
			callers.Go(func() error {
				f.send(ctx, i, 5*time.Millisecond)
				return nil
			})
		}
		for i := range f.relays {
			f.Assert(sleep(ctx, time.Second), qt.IsNil)
			f.relays[i].isCut.Store(true)
			f.Assert(sleep(ctx, 2*time.Second), qt.IsNil)
			f.relays[i].isCut.Store(false)
		}
		for i := range f.daemons {
			f.stops[i]()
			f.start(i)
			f.Assert(sleep(ctx, 500*time.Millisecond), qt.IsNil)
		}
		stop()
		f.Assert(callers.Wait(), qt.IsNil)
		f.Logf("%d requests in the largest window, %d in all", f.largestWindow(), len(f.granted))
		f.Assert(f.largestWindow() <= bound, qt.IsTrue)
		f.Assert(len(f.granted) > 2*perSecond, qt.IsTrue)
	})
}

// TestSmallAllowanceSpreadOverDaemons guards against requests that are refused within the allowance because the share
// of each daemon is small.
func TestSmallAllowanceSpreadOverDaemons(t *testing.T) {
	const requests, perSecond = 60, 20
	withAllowanceFleet(t, perSecond, func(f *allowanceFleet) {
		granted := 0
		for i := range requests {
			if _, err := f.daemons[i%len(f.daemons)].Load().Allowances().Take(f.Context(), f.account, 1); err == nil {
				granted++
			}
			f.Assert(sleep(f.Context(), 2*time.Second/perSecond), qt.IsNil)
		}
		f.Logf("%d of %d requests were granted", granted, requests)
		f.Assert(granted >= requests*9/10, qt.IsTrue)
	})
}
