package streampeer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/streampeer"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const service = "llm"

// member is a daemon of a deployment.
type member struct {
	name     string
	address  string
	registry *streams.Registry
	client   *streampeer.Client
	stop     context.CancelFunc
	// isListed is false while the daemon has not read the list of servers.
	isListed bool
	log      *memoryLog
}

// memoryLog is a Log whose records all daemons of a deployment share.
type memoryLog struct {
	registry *streams.Registry
	shared   *sharedLog
	mu       sync.Mutex
	// isFailing is true if the daemon can't write, and added counts the records that it took. err is that of Refresh.
	isFailing bool
	added     int
	err       error
}

// sharedLog holds what the daemons have written.
type sharedLog struct {
	mu      sync.Mutex
	records []streams.Record
}

// Add implements streampeer.Log.
func (l *memoryLog) Add(records []streams.Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFailing {
		return false
	}
	l.added += len(records)
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	l.shared.records = append(l.shared.records, records...)
	return true
}

// Refresh implements streampeer.Log.
func (l *memoryLog) Refresh(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	if l.err == nil {
		l.registry.Merge(l.shared.records)
	}
	return l.err
}

func (l *memoryLog) setFailing(isFailing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFailing = isFailing
}

func (l *memoryLog) taken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.added
}

// deployment is daemons that are connected to each other.
type deployment struct {
	*qt.C
	names   []string
	members []*member
	group   errgroup.Group
	log     sharedLog
}

func withDeployment(t *testing.T, daemons int, run func(d *deployment)) {
	t.Helper()
	d := &deployment{C: qt.New(t)}
	var listeners []net.Listener
	for i := range daemons {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		d.Assert(err, qt.IsNil)
		listeners = append(listeners, listener)
		d.names = append(d.names, fmt.Sprintf("daemon-%d", i))
		d.members = append(d.members, &member{name: d.names[i], address: listener.Addr().String()})
	}
	for i := range d.members {
		d.start(i, listeners[i])
	}
	run(d)
	for _, m := range d.members {
		m.stop()
	}
	d.Assert(d.group.Wait(), qt.IsNil)
}

// start starts a daemon without any records.
func (d *deployment) start(i int, listener net.Listener) {
	m, clock := d.members[i], azurehitch.SystemClock{}
	m.registry = streams.NewRegistry(clock)
	m.isListed = true
	m.log = &memoryLog{registry: m.registry, shared: &d.log}
	m.client = streampeer.NewClient(streampeer.Dependencies{
		Self: m.name, Daemons: func() []string { return d.names }, Address: d.address, Registry: m.registry, Log: m.log,
		MayBeMixed: func(context.Context, string) bool { return !m.isListed },
		Peers:      mux.NewClient(m.name), Clock: clock, Metrics: metrics.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	client := m.client
	server := mux.NewServer(listener, func(_ context.Context, request *peerpb.Request) *peerpb.Response { return client.Handle(request) })
	d.group.Go(func() error { return server.Run(ctx) })
	d.group.Go(func() error { return client.Run(ctx) })
}

func (d *deployment) address(name string) (string, bool) {
	for _, m := range d.members {
		if m.name == name {
			return m.address, true
		}
	}
	return "", false
}

// sawVersions makes all daemons see the software versions of the servers.
func (d *deployment) sawVersions(versions ...string) {
	for _, m := range d.members {
		m.registry.SawVersions(service, versions)
	}
}

// other is a second service of the route.
const other = "llm-b"

// began makes a daemon begin streams at a version, and gives it time to report them.
func (d *deployment) began(daemon, count int, version string) {
	for i := range count {
		d.members[daemon].registry.Began(fmt.Sprint(i), streams.Origin{Service: service, Version: version}, 1)
		d.members[daemon].registry.Confirmed(fmt.Sprint(i))
	}
	time.Sleep(300 * time.Millisecond)
}

// bound returns to which version a daemon binds a stream that is taken up there; empty if to none.
func (d *deployment) bound(daemon, i int) (string, error) {
	bound, err := d.boundOnRoute(daemon, i, service)
	d.Assert(bound.Service, qt.Equals, service)
	return bound.Version, err
}

// boundOnRoute returns where a stream may go on whose route leads to the given services, the first of which is chosen
// for a new request.
func (d *deployment) boundOnRoute(daemon, i int, services ...string) (streams.Bound, error) {
	bound, err := d.members[daemon].client.Bound(context.Background(), streams.Resumption{ID: fmt.Sprint(i), Service: services[0], Services: services})
	d.Assert(err == nil || !bound.IsSet, qt.IsTrue)
	return bound, err
}

const streamCount = 60

func TestVersionIsFoundAtAnyDaemon(t *testing.T) {
	for _, daemons := range []int{1, 2, 9, 40} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			withDeployment(t, daemons, func(d *deployment) {
				d.sawVersions("v1", "v2")
				d.began(0, streamCount, "v2")
				for i := range streamCount {
					version, err := d.bound(i%daemons, i)
					d.Assert(err, qt.IsNil)
					d.Assert(version, qt.Equals, "v2")
				}
			})
		})
	}
}

func TestVersionIsFoundAfterItsDaemonHasEnded(t *testing.T) {
	withDeployment(t, 9, func(d *deployment) {
		d.sawVersions("v1", "v2")
		d.began(0, streamCount, "v1")
		for i := range 3 {
			d.members[i].stop()
		}
		time.Sleep(50 * time.Millisecond)
		for i := range streamCount {
			version, err := d.bound(3+i%6, i)
			d.Assert(err, qt.IsNil)
			d.Assert(version, qt.Equals, "v1")
		}
	})
}

func TestStreamsOfTheTimeBeforeTheSecondVersion(t *testing.T) {
	withDeployment(t, 4, func(d *deployment) {
		d.sawVersions("v1")
		d.began(0, streamCount, "v1")
		d.sawVersions("v1", "v2")
		time.Sleep(300 * time.Millisecond)
		version, err := d.bound(3, 0)
		d.Assert(err, qt.IsNil)
		d.Assert(version, qt.Equals, "v1")
	})
}

// assertRefused checks that a request was refused as not run.
func assertRefused(d *deployment, err error) {
	d.Helper()
	var refused *azurehitch.ErrRefused
	d.Assert(errors.As(err, &refused), qt.IsTrue)
	d.Assert(refused.Run, qt.Equals, azurehitch.RunStateNotRun)
}

// TestRouteToSeveralServices checks where streams go on whose route leads, or has led, to several services.
func TestRouteToSeveralServices(t *testing.T) {
	t.Run("at the service that began it, whichever is chosen for a new request", func(t *testing.T) {
		withDeployment(t, 3, func(d *deployment) {
			d.sawVersions("v1", "v2")
			d.began(0, 1, "v2")
			for daemon := range d.members {
				bound, err := d.boundOnRoute(daemon, 0, other, service)
				d.Assert(err, qt.IsNil)
				d.Assert(bound.Service, qt.Equals, service)
				d.Assert(bound.VersionBound, qt.Equals, azurehitch.VersionBound{IsSet: true, Version: "v2"})
			}
		})
	})
	t.Run("nowhere if the route has left a service with several versions", func(t *testing.T) {
		withDeployment(t, 2, func(d *deployment) {
			d.sawVersions("v1", "v2")
			d.began(0, 1, "v2")
			_, err := d.boundOnRoute(0, 0, other)
			assertRefused(d, err)
		})
	})
	t.Run("at the service of the route if neither has several versions", func(t *testing.T) {
		withDeployment(t, 2, func(d *deployment) {
			d.sawVersions("v2")
			d.began(0, 1, "v2")
			bound, err := d.boundOnRoute(0, 0, other)
			d.Assert(err, qt.IsNil)
			d.Assert(bound.Service, qt.Equals, other)
			d.Assert(bound.IsSet, qt.IsFalse)
		})
	})
	t.Run("nowhere if it is not known and any service has several versions", func(t *testing.T) {
		withDeployment(t, 2, func(d *deployment) {
			d.members[1].registry.SawVersions(service, []string{"v1", "v2"})
			_, err := d.boundOnRoute(0, 0, other, service)
			assertRefused(d, err)
		})
	})
}

// forgetAll makes all daemons start again without records.
func (d *deployment) forgetAll(versions ...string) {
	for i, m := range d.members {
		m.stop()
		var listener net.Listener
		d.Assert(d.await(func() (err error) {
			listener, err = net.Listen("tcp", m.address)
			return err
		}), qt.IsNil)
		d.start(i, listener)
	}
	d.sawVersions(versions...)
}

// await calls try until it returns no error, for a second at most, and returns the last error.
func (d *deployment) await(try func() error) (err error) {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = try(); err == nil {
			return nil
		}
	}
	return err
}

// TestLog checks what the log of origins is used for: streams that no daemon knows, while there are several versions.
func TestLog(t *testing.T) {
	t.Run("one daemon writes for all, and streams are found after all have ended", func(t *testing.T) {
		withDeployment(t, 4, func(d *deployment) {
			d.sawVersions("v1", "v2")
			for i := range d.members {
				d.began(i, streamCount, "v2")
			}
			var writers int
			for _, m := range d.members {
				if m.log.taken() > 0 {
					writers++
				}
			}
			d.Assert(writers, qt.Equals, 1)
			d.forgetAll("v1", "v2")
			for i := range streamCount {
				version, err := d.bound(i%4, i)
				d.Assert(err, qt.IsNil)
				d.Assert(version, qt.Equals, "v2")
			}
		})
	})
	t.Run("another daemon writes while the first one can't", func(t *testing.T) {
		withDeployment(t, 3, func(d *deployment) {
			d.sawVersions("v1", "v2")
			d.began(0, 1, "v1")
			for _, m := range d.members {
				m.log.setFailing(m.log.taken() > 0)
			}
			d.began(0, streamCount, "v1")
			d.forgetAll("v1", "v2")
			version, err := d.bound(1, streamCount-1)
			d.Assert(err, qt.IsNil)
			d.Assert(version, qt.Equals, "v1")
		})
	})
	t.Run("what no daemon can write is offered again", func(t *testing.T) {
		withDeployment(t, 1, func(d *deployment) {
			d.sawVersions("v1", "v2")
			d.members[0].log.setFailing(true)
			d.began(0, 1, "v1")
			d.members[0].log.setFailing(false)
			d.Assert(func() int { time.Sleep(3500 * time.Millisecond); return d.members[0].log.taken() }(), qt.Equals, 1)
		})
	})
	t.Run("nothing is written while there is one version", func(t *testing.T) {
		withDeployment(t, 2, func(d *deployment) {
			d.sawVersions("v1")
			d.began(0, streamCount, "v1")
			d.Assert(d.members[0].log.taken()+d.members[1].log.taken(), qt.Equals, 0)
		})
	})
	t.Run("a stream is refused if the log can't be read", func(t *testing.T) {
		withDeployment(t, 1, func(d *deployment) {
			d.sawVersions("v1", "v2")
			d.members[0].log.err = errors.New("down")
			_, err := d.bound(0, 1)
			assertRefused(d, err)
			d.Assert(err, qt.ErrorMatches, ".*down.*")
		})
	})
}

func TestUnknownStreams(t *testing.T) {
	t.Run("go on anywhere while there is one version", func(t *testing.T) {
		withDeployment(t, 3, func(d *deployment) {
			d.sawVersions("v1")
			version, err := d.bound(0, 1)
			d.Assert(err, qt.IsNil)
			d.Assert(version, qt.Equals, "")
		})
	})
	t.Run("are refused while there are several", func(t *testing.T) {
		withDeployment(t, 3, func(d *deployment) {
			d.sawVersions("v1", "v2")
			_, err := d.bound(0, 1)
			assertRefused(d, err)
		})
	})
	t.Run("are refused by a daemon that has not read the list of servers", func(t *testing.T) {
		withDeployment(t, 1, func(d *deployment) {
			d.members[0].isListed = false
			_, err := d.bound(0, 1)
			assertRefused(d, err)
		})
	})
	t.Run("are refused by a daemon that has just started, if another has seen several", func(t *testing.T) {
		withDeployment(t, 3, func(d *deployment) {
			d.members[1].registry.SawVersions(service, []string{"v1", "v2"})
			d.members[0].registry.SawVersions(service, []string{"v2"})
			_, err := d.bound(0, 1)
			assertRefused(d, err)
		})
	})
}
