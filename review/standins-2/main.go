// Command standins2 plays the cases of a review. It starts the project's daemons as processes, and is itself the store,
// the servers, the operator and the clients that they speak with.
//
// Usage: standins2 CASE RECORD, in the root of the repository. TROUBLE=0 leaves the disruption out. The exit code is 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu  sync.Mutex
	recordOut *os.File
	began     = time.Now()
)

// note writes a line to the record.
func note(words ...string) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordOut != nil {
		fmt.Fprintf(recordOut, "%9.3f %s\n", time.Since(began).Seconds(), strings.Join(words, " "))
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// outcome is the result of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	unable outcome = 2
)

// hasTrouble reports whether the disruption is played.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func() outcome{}

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		os.Exit(int(unable))
	}
	os.Exit(int(play(cases[os.Args[1]], os.Args[2])))
}

func play(run func() outcome, record string) (result outcome) {
	var err error
	if recordOut, err = os.Create(record); err != nil {
		return unable
	}
	defer recordOut.Close()
	if repoRoot, err = os.Getwd(); err != nil {
		return unable
	}
	if workDir, err = os.MkdirTemp("", "review"); err != nil {
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(workDir)
	}
	defer stopAll()
	defer func() {
		if r := recover(); r != nil {
			note("the case could not run:", fmt.Sprint(r))
			fmt.Fprintln(os.Stderr, r)
			result = unable
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	results := make(chan outcome, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				note("the case could not run:", fmt.Sprint(r))
				results <- unable
			}
		}()
		results <- run()
	}()
	select {
	case result = <-results:
	case <-time.After(caseLimit):
		note("the case took too long")
		result = unable
	case <-stopped:
		result = unable
	}
	note("result", fmt.Sprint(int(result)))
	return result
}

// route, service and model are entries of a configuration.
func route(name, prefix, kind, service string, timeout, slo int, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": "desk.example", "path_prefix": prefix, "route_kind": kind, "service": service, "timeout_ms": timeout, "slo_ms": slo,
		"priority": 1, "max_attempts": attempts, "sticky": kind == "streaming", "resumable": resumable, "itl_target_ms": 250,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 250, "protocol": "h1", "tls": false}
}

// engineService has one model, which its servers have loaded and which fills most of their memory.
func engineService(name string, models ...string) map[string]any {
	s := plainService(name)
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weights_mb": 72700.0, "load_time_s": 6.0, "adapters": 0, "adapter_size_mb": 66.0, "warmup_s": 0.63, "disk_load_s": 0.84})
	}
	s["engine"] = map[string]any{
		"slots": 32, "kv_capacity": 125429, "kv_bytes": 163840, "link_mbps": 1100000.0, "stride": 6, "cap": 12, "host_mem_mb": 140000.0, "disk_mb": 1200000.0,
		"weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 6.7, "models": list,
	}
	return s
}

// configure writes a configuration, as the operator does.
func configure(s *store, version int, routes, services []map[string]any) {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	must(err)
	s.put("op", "config", value)
	note("configuration", fmt.Sprint(version))
}
