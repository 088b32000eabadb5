package main

import (
	"fmt"
	"math/rand/v2"
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

// daemon is a process of the project, run as deploy/system.toml says.
type daemon struct {
	name, ip, zone, frontend, ready, settings string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	startedAt time.Time
}

var (
	workDir  string
	repoRoot string
	daemons  []*daemon
)

// bounds of the settings, as on the sheets of the small installations.
const settingsText = `node_name: "%[1]s"
role: "gateway"
machine_class: "edge"
serves: ["edge"]
ip: "%[2]s"
zone: "%[3]s"
region: "area"
zones: {%[3]s: "area"}
listen:
  frontend: "%[4]s"
  ready: "%[5]s"
port_range: [%[6]d, %[7]d]
bootstrap: true
limits: {cpu_quota: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry_kind: "vip"
heartbeat_ms: 1200
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
  retry_slack: 58
  recovery_s: 12
  delivery_slack_ms: 120
  retry_after_s: 0
  fencing_enforced: true
  lease_ms: 3000
  thaw_slack_ms: 300
  ceiling_window_s: 5
  load_burst_factor: 1.1
platform: {address: "%[8]s", form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 16, append_ms: 3.0,
  partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 300, partition_mb: 200, min_ttl_ms: 1000}
`

// newDaemon writes the settings of a daemon. Each has an address of its own, since the port of its metrics is fixed.
func newDaemon(s *store, name, ip, zone string) *daemon {
	d := &daemon{name: name, ip: ip, zone: zone, frontend: freeAddress(ip), ready: freeAddress(ip)}
	first := freePort(ip)
	content := fmt.Sprintf(settingsText, name, ip, zone, d.frontend, d.ready, first, first+3, s.open(name, ip))
	d.settings = filepath.Join(workDir, name+".yaml")
	must(os.WriteFile(d.settings, []byte(content), 0o600))
	daemons = append(daemons, d)
	return d
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

func freePort(ip string) int {
	for port := 20000; port < 30000; port += 10 {
		if isFree(ip, port) && isFree(ip, port+1) {
			return port
		}
	}
	panic("no free port")
}

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9464

// startDaemons starts daemons with addresses of their own on a free network of the loopback range.
func startDaemons(s *store, count int) {
	prefix := freeNetwork(count)
	for i := range count {
		newDaemon(s, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("%s.%d", prefix, i+1), "z1").start()
	}
}

func freeNetwork(count int) string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 40+rand.IntN(60), 1+rand.IntN(250))
		isUsable := true
		for i := range count {
			isUsable = isUsable && isFree(fmt.Sprintf("%s.%d", prefix, i+1), metricsPort)
		}
		if isUsable {
			return prefix
		}
	}
	panic("no free network")
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() {
	command := strings.Fields(runCommand())
	cmd := exec.Command(filepath.Join(repoRoot, command[0]), command[1:]...)
	cmd.Dir = repoRoot
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + workDir, "AZUREHITCH_SETTINGS=" + d.settings}
	log, err := os.OpenFile(filepath.Join(workDir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done, d.startedAt = cmd, done, time.Now()
	d.mu.Unlock()
	note("daemon starts", d.name)
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(done)
		note("daemon has ended", d.name, cmd.ProcessState.String())
	}()
}

// signal sends a signal to the process of the daemon.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig)
	note("signal", d.name, sig.String())
}

// runCommand returns the command of the deploy file.
func runCommand() string {
	content, err := os.ReadFile(filepath.Join(repoRoot, "deploy/system.toml"))
	must(err)
	for _, line := range strings.Split(string(content), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run ="); ok {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	panic("the deploy file has no command")
}

// isReady asks the readiness of a daemon, as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready; it returns false if they are not in time.
func awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range daemons {
			all = all && d.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

// stopAll ends the processes that this program has started.
func stopAll() {
	for _, d := range daemons {
		d.mu.Lock()
		cmd, done := d.cmd, d.done
		d.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-done
	}
}
