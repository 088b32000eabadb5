// Package processes_test kills and freezes real daemon processes.
package processes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/admin/operator"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/standin/engine"
	"azurehitch/internal/standin/fault"
	"azurehitch/internal/standin/fleet"
	"azurehitch/internal/transport/jsonhttp"
)

const (
	daemonCount   = 3
	engineCount   = 2
	leaseDuration = 2 * time.Second
	waitTimeout   = 20 * time.Second
	engineMemory  = 80 * azurehitch.Gibibyte
	deskRunTime   = 600 * time.Millisecond
)

// process is a daemon or stand-in that runs as a process of its own. Only daemons have an address
// for operators.
type process struct {
	name         string
	address      string
	adminAddress string
	cmd          *exec.Cmd
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// system holds the processes of one test, the folder of their binaries, and the addresses of the
// stand-ins for the host list and the log service.
type system struct {
	t               *testing.T
	binFolder       string
	hostListAddress string
	logAddress      string
	engines         []*process
	daemons         []*process
	desk            *process
}

// start starts a process that is killed at the end of the test, and returns it with its listen addresses
// by name.
func (s *system) start(name, program string, args ...string) (*process, map[string]string) {
	s.t.Helper()
	reader := newAddressReader()
	cmd := exec.Command(filepath.Join(s.binFolder, program), args...)
	cmd.Stdout, cmd.Stderr = reader, reader
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		// The test may have killed the process already.
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	p := &process{name: name, cmd: cmd}
	select {
	case addresses := <-reader.addresses:
		return p, addresses
	case <-time.After(waitTimeout):
		s.t.Fatalf("%s reports no listen address", name)
	}
	return nil, nil
}

// startStandin starts a stand-in that listens on any port.
func (s *system) startStandin(name string, args ...string) *process {
	s.t.Helper()
	p, addresses := s.start(name, "azurehitch-standin", append(args, "--listen", anyPort)...)
	p.address = addresses[standinListen]
	return p
}

func (s *system) await(what string, condition func() bool) {
	s.t.Helper()
	if !fleet.Eventually(waitTimeout, condition) {
		s.t.Fatalf("timed out waiting for %s", what)
	}
}

func (s *system) registerHost(name, address string, role azurehitch.HostRole) {
	s.t.Helper()
	host := azurehitch.Host{Address: address, FailureDomain: "reduit", Role: role, State: azurehitch.HostStateLive}
	client := jsonhttp.NewClient(s.hostListAddress, "test")
	if err := client.Call(context.Background(), http.MethodPut, "/v1/hosts/"+name, host, nil); err != nil {
		s.t.Fatal(err)
	}
}

// startSystem builds the binaries, starts all processes and publishes the tables. The first engine
// checks fencing tokens, the others ignore them.
func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, binFolder: t.TempDir()}
	build := exec.Command("go", "build", "-o", s.binFolder, "azurehitch/cmd/azurehitch", "azurehitch/cmd/azurehitch-standin")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, output)
	}
	s.logAddress = s.startStandin("log", "log").address
	s.hostListAddress = s.startStandin("hosts", "hosts", "--lag", "0s").address
	weights := s.startStandin("weights", "weights", "--load-time", "1s").address
	for i := range engineCount {
		s.startEngine(fmt.Sprintf("engine-%d", i+1), weights, i > 0)
	}
	s.startDesk()
	for i := range daemonCount {
		s.startDaemon(fmt.Sprintf("daemon-%d", i+1), weights)
	}
	s.publish()
	return s
}

func (s *system) startEngine(name, weights string, ignoreToken bool) {
	p := s.startStandin(name, "engine", "--name", name, "--weights", weights, fmt.Sprintf("--ignore-token=%t", ignoreToken))
	s.engines = append(s.engines, p)
	s.registerHost(name, p.address, azurehitch.HostRoleBackend)
}

// startDesk starts a service whose calls take deskRunTime.
func (s *system) startDesk() {
	s.desk = s.startStandin("desk", "service", "--name", "desk", "--run-time", deskRunTime.String())
	s.registerHost("desk", s.desk.address, azurehitch.HostRoleBackend)
}

func (s *system) startDaemon(name, weights string) {
	p, addresses := s.start(name, "azurehitch", "serve", "--name", name, "--listen", anyPort, "--peer-listen", anyPort,
		"--admin-listen", anyPort, "--log-service", s.logAddress, "--host-list", s.hostListAddress, "--weight-store", weights)
	p.address, p.adminAddress = addresses["Callers"], addresses["Admin"]
	s.daemons = append(s.daemons, p)
	s.registerHost(name, addresses["Peers"], azurehitch.HostRoleEntry)
}

func (s *system) publish() {
	s.t.Helper()
	pool := tables.Pool{
		Name: "language", Kind: tables.PoolKindModels, ConcurrentRequests: 300, QueueLimit: 100,
		IdleTimeout: azurehitch.Duration(time.Hour), LeaseDuration: azurehitch.Duration(leaseDuration),
	}
	routes := tables.RouteTable{Callers: []tables.Caller{
		{Name: "salon", KeySHA256: fleet.Digest(fleet.PaidKey), Tier: tables.TierPaid, RequestsPerSecond: 1000, Burst: 1000},
	}}
	for i, b := range s.engines {
		check := tables.TokenChecked
		if i > 0 {
			check = tables.TokenIgnored
		}
		pool.BackendServers = append(pool.BackendServers, tables.BackendServer{
			Name: b.name, Address: b.address, FailureDomain: "reduit", FencingToken: check, AcceleratorMemory: engineMemory,
		})
	}
	for _, name := range models() {
		pool.Models = append(pool.Models, tables.Model{
			Name: name, MaxReplicas: 1, Versions: []tables.ModelVersion{{Version: "1", Memory: 30 * azurehitch.Gibibyte}},
		})
		routes.Routes = append(routes.Routes, tables.Route{Name: name, Callers: []string{"salon"}, Pool: "language", Model: name, Versions: []string{"1"}})
	}
	routes.Routes = append(routes.Routes, tables.Route{Name: "booking", Callers: []string{"salon"}, Pool: "booking", PathPrefix: "/booking"})
	s.publishTables(routes, tables.PoolTable{Pools: []tables.Pool{pool, s.deskPool()}})
}

func (s *system) deskPool() tables.Pool {
	return tables.Pool{
		Name: "booking", Kind: tables.PoolKindService, ConcurrentRequests: 30, QueueLimit: 100,
		BackendServers: []tables.BackendServer{{Name: "desk", Address: s.desk.address, FailureDomain: "reduit"}},
	}
}

func models() []string { return []string{"care-note", "follow-up", "reaction-check"} }

func (s *system) publishTables(routes tables.RouteTable, pools tables.PoolTable) {
	s.t.Helper()
	routesText, err := json.Marshal(routes)
	if err != nil {
		s.t.Fatal(err)
	}
	poolsText, err := json.Marshal(pools)
	if err != nil {
		s.t.Fatal(err)
	}
	client := operator.NewClient(s.daemons[0].adminAddress, "")
	if _, err := client.Publish(context.Background(), operator.Publication{Routes: routesText, Pools: poolsText, Author: "test"}); err != nil {
		s.t.Fatal(err)
	}
	s.await("a lease holder", func() bool { return s.holder("") != nil })
}

// holder returns the lease holder of the pool according to a daemon that answers, or nil. It
// neither queries nor returns the daemon named except.
func (s *system) holder(except string) *process {
	for _, observer := range s.daemons {
		if observer.name == except {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		pools, err := operator.NewClient(observer.adminAddress, "").Pools(ctx)
		cancel()
		if err != nil || len(pools) == 0 {
			continue
		}
		for _, d := range s.daemons {
			if d.name == pools[0].Holder && d.name != except {
				return d
			}
		}
	}
	return nil
}

func (s *system) sendChat(daemon *process, model string) fleet.Answer {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answer, err := fleet.Send(ctx, daemon.address, fleet.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Key: fleet.PaidKey, Body: fmt.Appendf(nil, `{"model":%q}`, model),
	})
	if err != nil {
		s.t.Errorf("%s: %v", daemon.name, err)
	}
	return answer
}

func (s *system) assertServes(daemon *process, model string) {
	s.t.Helper()
	if answer := s.sendChat(daemon, model); answer.Status != http.StatusOK {
		s.t.Errorf("%s did not serve %s: status %d: %s", daemon.name, model, answer.Status, answer.Body)
	}
}

// assertLimits checks memory and replicas against their limits, as the engines report them.
func (s *system) assertLimits() {
	s.t.Helper()
	replicas := map[string]int{}
	for _, e := range s.engines {
		client := jsonhttp.NewClient(e.address, "test")
		var state engine.StateReport
		if err := client.Call(context.Background(), http.MethodGet, "/v1/state", nil, &state); err != nil {
			s.t.Fatal(err)
		}
		for _, p := range state.Placements {
			replicas[p.Artifact.Model]++
		}
		var journal engine.Journal
		if err := client.Call(context.Background(), http.MethodGet, "/v1/journal", nil, &journal); err != nil {
			s.t.Fatal(err)
		}
		if journal.PeakMemory > engineMemory {
			s.t.Errorf("%s had %v of %v of memory in use", e.name, journal.PeakMemory, engineMemory)
		}
	}
	for model, count := range replicas {
		if count > 1 {
			s.t.Errorf("%d replicas of %s are loaded; the limit is 1", count, model)
		}
	}
}

// TestProveProcesses freezes the lease holder for longer than its lease while another daemon
// takes over, and then kills the new holder during a load.
func TestProveProcesses(t *testing.T) {
	s := startSystem(t)
	for _, d := range s.daemons {
		s.assertServes(d, "care-note")
	}
	frozen := s.holder("")
	frozen.signal(t, syscall.SIGSTOP)
	s.await("a new lease holder", func() bool { return s.holder(frozen.name) != nil })
	for _, d := range s.daemons {
		if d != frozen {
			s.assertServes(d, "follow-up")
		}
	}
	frozen.signal(t, syscall.SIGCONT)
	s.assertServes(frozen, "follow-up")
	s.assertLimits()

	killed := s.holder(frozen.name)
	done := make(chan struct{})
	time.AfterFunc(300*time.Millisecond, func() {
		defer close(done)
		killed.signal(t, syscall.SIGKILL)
	})
	s.assertServes(frozen, "reaction-check")
	<-done
	s.assertLimits()
}

const reminderKey = "reminder-1"

// sendReminder makes a non-idempotent call with reminderKey as its idempotency key.
func (s *system) sendReminder(daemon *process) (fleet.Answer, error) {
	return s.sendReminderWithKey(daemon, reminderKey)
}

func (s *system) sendReminderWithKey(daemon *process, key string) (fleet.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return fleet.Send(ctx, daemon.address, fleet.Request{
		Method: http.MethodPost, Path: "/booking/reminders", Key: fleet.PaidKey,
		Headers: map[string]string{"Idempotency-Key": key, "Azurehitch-Timeout": "5s"},
	})
}

// assertOutcomeUnknown repeats the call at the other daemons, which must report that its outcome
// is unknown and must not report that it was not run.
func (s *system) assertOutcomeUnknown(killed *process) {
	s.t.Helper()
	for _, d := range s.daemons {
		if d == killed {
			continue
		}
		answer, err := s.sendReminder(d)
		if err != nil || answer.Status != http.StatusConflict || answer.Header.Get("Azurehitch-Run") != "Unknown" {
			s.t.Errorf("%s: %v, status %d: %s", d.name, err, answer.Status, answer.Body)
		}
	}
}

// assertRuns checks in the journal of the service how often the call was run.
func (s *system) assertRuns(want int) {
	s.t.Helper()
	var runs map[string]int
	if err := jsonhttp.NewClient(s.desk.address, "test").Call(context.Background(), http.MethodGet, "/v1/journal", nil, &runs); err != nil {
		s.t.Fatal(err)
	}
	if runs[reminderKey] != want {
		s.t.Errorf("the call was run %d times, want %d", runs[reminderKey], want)
	}
}

// TestProveKilledDuringCall kills a daemon while a non-idempotent call is in progress. The caller
// retries with the same key at the other daemons: the call is run once.
func TestProveKilledDuringCall(t *testing.T) {
	s := startSystem(t)
	killed := s.daemons[0]
	time.AfterFunc(deskRunTime/2, func() { killed.signal(t, syscall.SIGKILL) })
	if answer, err := s.sendReminder(killed); err == nil {
		t.Fatalf("a killed daemon answered with status %d: %s", answer.Status, answer.Body)
	}
	s.assertOutcomeUnknown(killed)
	s.assertRuns(1)
}

// TestProveKilledBetweenClaimAndCall kills a daemon that has appended the claim of a key to the log
// and not read it back yet, so that it has not made the call.
func TestProveKilledBetweenClaimAndCall(t *testing.T) {
	s := startSystem(t)
	killed := s.daemons[0]
	s.setLogFaults(fault.Fault{Kind: fault.KindFreeze, Method: http.MethodGet, Caller: killed.name})
	// The claim of another daemon ends the read in progress of this daemon; the next read freezes.
	if _, err := s.sendReminderWithKey(s.daemons[1], "another"); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { killed.signal(t, syscall.SIGKILL) })
	if answer, err := s.sendReminder(killed); err == nil {
		t.Fatalf("a killed daemon answered with status %d: %s", answer.Status, answer.Body)
	}
	s.setLogFaults()
	s.assertOutcomeUnknown(killed)
	s.assertRuns(0)
}

// setLogFaults replaces the faults of the log service.
func (s *system) setLogFaults(faults ...fault.Fault) {
	s.t.Helper()
	client := jsonhttp.NewClient(s.logAddress, "test")
	if err := client.Call(context.Background(), http.MethodPut, fault.Path, append([]fault.Fault{}, faults...), nil); err != nil {
		s.t.Fatal(err)
	}
}
