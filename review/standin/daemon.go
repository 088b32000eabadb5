package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the system, started with the run command of the deploy file.
type daemon struct {
	name, ip, zone, dir, program string
	frontend, ready              string
	rec                          *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	stopped bool
	// misses is the number of readiness questions in a row without a 200.
	misses int
}

const settingsText = `node_name: %q
role: "edge"
machine_class: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: %q
zones: {%s}
listen: {frontend: %q, ready: %q, control_plane: "%s:8144"}
port_range: [7380, 7395]
seed_nodes: []
bootstrap: true
in_failure_budget: false
limits: {cpu_quota: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_kind: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
fault_tolerance: {machine_failures: 2, zones: 0, region_failures: 0}
bounds:
  seed_lag_s: 3
  addr_reuse_s: 2
  stable_window_ms: 3000
  ack_timeout_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_slack: %d
  recovery_s: 12
  delivery_slack_ms: 120
  retry_after_s: 0
  fencing_enforced: %t
  lease_ms: 3000
  thaw_slack_ms: 300
  ceiling_window_s: 5
  load_burst_factor: 1.1
platform:
  address: %q
  form: "log"
  writes_per_s: 400
  reads_per_s: 2000
  parts: 16
  append_ms: 3.0
  partition_mb_s: 20.0
  read_mb_s: 80.0
  record_bytes: 262144
  request_bytes: 2097152
  keep_s: %g
  partition_mb: 200
  min_ttl_ms: 1000
`

// ports are the fixed ports of a daemon. Each daemon has a loopback address of its own.
var ports = []int{8149, 8141, 8144, 7380, 7381, 9464}

// freeNetwork returns the first three bytes of loopback addresses on which the ports of count daemons are free.
func freeNetwork(count int) (string, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.0.%d", 20+(os.Getpid()+i)%200)
		if isFree(network, count) {
			return network, nil
		}
	}
	return "", errors.New("no loopback addresses with free ports")
}

func isFree(network string, count int) bool {
	for i := range count {
		for _, port := range ports {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+10, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func newDaemon(network string, i int, at site, dir, program, storeAddress string, keep time.Duration, rec *record) (*daemon, error) {
	ip := fmt.Sprintf("%s.%d", network, i+10)
	zone := at.zones[i%len(at.zones)]
	d := &daemon{
		name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip, zone: zone, dir: dir, program: program,
		frontend: ip + ":8149", ready: ip + ":8141", rec: rec,
	}
	var zones []string
	for _, name := range at.zones {
		zones = append(zones, fmt.Sprintf("%s: %q", name, at.region))
	}
	text := fmt.Sprintf(settingsText, d.name, ip, zone, at.region, strings.Join(zones, ", "), d.frontend, d.ready, ip, at.retrySlack, at.fenced, storeAddress, keep.Seconds())
	return d, os.WriteFile(d.path("yaml"), []byte(text), 0o600)
}

func (d *daemon) path(suffix string) string { return filepath.Join(d.dir, d.name+"."+suffix) }

func (d *daemon) start() error {
	log, err := os.OpenFile(d.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.program, "gateway")
	command.Env = append(os.Environ(), "AZUREHITCH_SETTINGS="+d.path("yaml"))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.command, d.exited, d.stopped = command, exited, false
	d.mu.Unlock()
	d.rec.add("%s: started", d.name)
	go func() {
		err := command.Wait()
		d.mu.Lock()
		if !d.stopped {
			d.rec.say("%s: ended by itself: %v", d.name, err)
		}
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. After SIGKILL and SIGTERM it waits for the end.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	command, exited := d.command, d.exited
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		d.stopped = true
	}
	d.mu.Unlock()
	if command == nil {
		return
	}
	d.rec.add("%s: %v", d.name, sig)
	_ = command.Process.Signal(sig)
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		<-exited
	}
}

// watchReady asks for readiness each second, as the platform does.
func (d *daemon) watchReady() {
	client := http.Client{Timeout: time.Second}
	was := false
	for {
		response, err := client.Get("http://" + d.ready + "/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		d.mu.Lock()
		if ready {
			d.misses = 0
		} else {
			d.misses++
		}
		in := d.misses < 2
		d.mu.Unlock()
		if in != was {
			d.rec.add("%s: in rotation: %v", d.name, in)
			was = in
		}
		time.Sleep(time.Second)
	}
}

func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses < 2
}
