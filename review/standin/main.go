// Command standin plays one case of the review: it stands in for the platform's store, the model
// servers and the clients, and starts the daemons as separate processes.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// site holds what the settings and the configuration take from a site.
type site struct {
	zones      []string
	region     string
	retrySlack int
	fenced     bool
	timeoutMS  int
	sloMS      int
	pauseMS    int
	serverMB   float64
	loadsPerS  float64
}

var mddub = site{
	zones: []string{"cantho-a", "cantho-b", "cantho-c"}, region: "cantho", retrySlack: 56, fenced: true,
	timeoutMS: 20000, sloMS: 2000, pauseMS: 300, serverMB: 220000, loadsPerS: 5.5,
}

var tsukahara = site{
	zones: []string{"kitakyushu", "fukuoka", "kumamoto"}, region: "kyushu", retrySlack: 52, fenced: false,
	timeoutMS: 8000, sloMS: 600, pauseMS: 600, serverMB: 230000, loadsPerS: 2.8,
}

// options describe the installation of a case.
type options struct {
	at                       site
	daemons, servers, models int
	// placed is the number of models that servers hold at the start, one each.
	placed   int
	keep     time.Duration
	loadTime time.Duration
	// events is the number of events of each stream, and gap the pause before each; 0 is 4 events, each after 20 ms.
	events int
	gap    time.Duration
}

// installation is a running installation.
type installation struct {
	options
	trouble bool
	rec     *record
	store   *store
	servers []*server
	daemons []*daemon
	clients *clients
	led     *ledger
	dir     string
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

func modelNames(from, to int) []string {
	var names []string
	for i := from; i < to; i++ {
		names = append(names, modelName(i))
	}
	return names
}

func newInstallation(o options, program, recordPath string) (*installation, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	if o.events == 0 {
		o.events, o.gap = 4, 20*time.Millisecond
	}
	in := &installation{options: o, trouble: os.Getenv("TROUBLE") != "0", rec: rec, led: &ledger{runs: map[string][]string{}}}
	if in.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	in.store = newStore(o.keep, rec)
	in.store.appended = in.recordControl
	in.store.serve(listener)
	for i := range o.servers {
		serverListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), address: serverListener.Addr().String(), zone: o.at.zones[i%len(o.at.zones)],
			fenced: o.at.fenced, loadTime: o.loadTime, gap: o.gap, events: o.events, rec: rec, led: in.led, born: time.Now().UnixMilli(),
			models: []string{}, disk: []string{},
		}
		if i < o.placed {
			s.models, s.disk = append(s.models, modelName(i)), append(s.disk, modelName(i))
		}
		in.servers = append(in.servers, s)
		s.serve(serverListener, in.store)
	}
	in.store.put("keyed.op", "config", in.configuration())
	in.clients = &clients{rec: rec, deadline: time.Duration(o.at.timeoutMS) * time.Millisecond, body: "hi", events: o.events, random: rand.New(rand.NewPCG(1, 2))}
	return in, in.startDaemons(listener.Addr().String(), program)
}

// recordControl records the appends to the stream that holds the leases.
func (in *installation) recordControl(topic string, offset int64, value []byte) {
	if topic == "control" {
		in.rec.add("store: record %d of the topic control, %d bytes", offset, len(value))
	}
}

func (in *installation) startDaemons(storeAddress, program string) error {
	network, err := freeNetwork(in.options.daemons)
	if err != nil {
		return err
	}
	for i := range in.options.daemons {
		d, err := newDaemon(network, i, in.at, in.dir, program, storeAddress, in.keep, in.rec)
		if err != nil {
			return err
		}
		in.daemons = append(in.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
		go d.watchReady()
	}
	in.clients.daemons = in.daemons
	return nil
}

// configuration returns the value of op/config.
func (in *installation) configuration() []byte {
	var models []map[string]any
	for _, name := range modelNames(0, in.models) {
		models = append(models, map[string]any{
			"name": name, "weights_mb": modelMB, "load_time_s": in.loadTime.Seconds(), "adapters": 0,
			"adapter_size_mb": 66.0, "warmup_s": in.loadTime.Seconds() / 5, "disk_load_s": in.loadTime.Seconds() / 5,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": hostname, "path_prefix": prefix, "route_kind": "streaming", "timeout_ms": in.at.timeoutMS,
			"slo_ms": in.at.sloMS, "priority": 0, "service": serviceName, "max_attempts": 2, "sticky": true, "resumable": false,
			"itl_target_ms": in.at.pauseMS,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": slots, "kv_capacity": 221889, "kv_bytes": 163840, "link_mbps": 130000.0, "migrations": false,
				"backups": false, "stride": 4, "cap": 12, "host_mem_mb": 150000.0, "disk_mb": 1300000.0, "pin_ms": 4000.0,
				"hold_ms": 2000.0, "handle_s": 5.0, "models": models, "weights_mb": in.at.serverMB, "adapter_slots": 8,
				"loads_per_s": in.at.loadsPerS,
			},
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	return value
}

// end kills the daemons and removes the temporary folder. The daemons' logs stay if KEEP names a folder.
func (in *installation) end() {
	for _, d := range in.daemons {
		d.signal(syscall.SIGKILL)
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range in.daemons {
			if content, err := os.ReadFile(d.path("log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.name+".log"), content, 0o600)
			}
		}
	}
	os.RemoveAll(in.dir)
}

// waitReady waits until all daemons are in rotation.
func (in *installation) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range in.daemons {
			if d.inRotation() {
				ready++
			}
		}
		if ready == len(in.daemons) && time.Since(in.rec.start) > 3*time.Second {
			return true
		}
	}
	return false
}

// killAll kills all daemons and starts them again after the given time.
func (in *installation) killAll(down time.Duration) {
	for _, d := range in.daemons {
		d.signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	for _, d := range in.daemons {
		if err := d.start(); err != nil {
			in.rec.say("%s: %v", d.name, err)
		}
	}
}

var cases = map[string]struct {
	options
	play func(*installation) int
}{
	"crashes":  {options{at: mddub, daemons: 3, servers: 4, models: 24, placed: 4, keep: 20 * time.Second, loadTime: 2 * time.Second}, playCrashes},
	"drill":    {options{at: tsukahara, daemons: 3, servers: 4, models: 24, placed: 4, keep: 300 * time.Second, loadTime: 2 * time.Second}, playDrill},
	"drillall": {options{at: mddub, daemons: 3, servers: 4, models: 24, placed: 4, keep: 300 * time.Second, loadTime: 2 * time.Second}, playDrillAll},
	"bodies":   {options{at: mddub, daemons: 3, servers: 8, models: 8, placed: 8, keep: 300 * time.Second, loadTime: 6 * time.Second, events: 24, gap: 250 * time.Millisecond}, playBodies},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	in, err := newInstallation(c.options, os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	result := exitNotRun
	if in.waitReady(10 * time.Second) {
		result = c.play(in)
	} else {
		in.rec.say("not run: the daemons did not become ready")
	}
	in.end()
	in.rec.say("result %d (0 held, 1 broken, 2 not run)", result)
	os.Exit(result)
}
