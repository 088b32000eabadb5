package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// order is an order as it arrived at a server.
type order struct {
	at           time.Time
	server       string
	operation    string
	model        string
	owner        string
	token        int64
	precondition *int64
	status       int
}

// ledger holds what the servers saw.
type ledger struct {
	mu     sync.Mutex
	orders []order
	// runs are the starts of each client attempt.
	runs map[string][]string
}

// server is a stand-in for a model server.
type server struct {
	id, address, zone string
	fenced            bool
	loadTime          time.Duration
	// gap is the pause before each event of a stream.
	gap time.Duration
	// events is the number of events of each stream.
	events int
	rec    *record
	led    *ledger

	mu       sync.Mutex
	born     int64
	models   []string
	disk     []string
	busy     bool
	sequence int64
	active   int
	token    int64
	beats    int64
}

const (
	serviceName = "herd-llm"
	modelMB     = 72700.0
	slots       = 64
)

type modelEntry struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *server) state() map[string]any {
	models := []modelEntry{}
	for _, name := range s.models {
		models = append(models, modelEntry{name, 1, []string{}})
	}
	return map[string]any{
		"phase": "colocated", "models": models, "sequence": s.sequence, "born": s.born, "state": "ready",
		"resident": map[string]any{"in_memory": s.disk, "on_disk": s.disk},
	}
}

func (s *server) beat(st *store) {
	s.mu.Lock()
	state := s.state()
	s.beats++
	s.mu.Unlock()
	state["service"], state["address"], state["zone"] = serviceName, s.address, s.zone
	state["version"], state["slots"], state["cold_left_ms"] = "v1", slots, 0
	value, _ := json.Marshal(state)
	st.put("keyed.servers", s.id, value)
}

func (s *server) serve(listener net.Listener, st *store) {
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for {
			s.beat(st)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/report":
		s.mu.Lock()
		state := s.state()
		state["busy"], state["queued"], state["active"] = s.busy, 0, s.active
		state["kv_used"], state["kv_total"], state["handles"] = s.active*200, 90000, 0
		s.mu.Unlock()
		answer(w, http.StatusOK, state)
	case "/order":
		s.order(w, r)
	case "/kv-events", "/kv-list":
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		s.run(w, r)
	}
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Owner        string `json:"owner"`
		Token        int64  `json:"fencing_token"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Owner == "" || body.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	held := slices.Contains(s.models, body.Model)
	switch {
	case s.fenced && body.Token < s.token:
		status = http.StatusPreconditionFailed
	case s.busy || body.Precondition != nil && *body.Precondition != s.sequence:
		status = http.StatusConflict
	case held == (body.Operation == "loading"):
		status = http.StatusOK
	}
	s.token = max(s.token, body.Token)
	if status == http.StatusAccepted {
		s.sequence++
		s.busy = true
		if body.Operation == "unloading" {
			s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == body.Model })
			time.AfterFunc(50*time.Millisecond, func() { s.done("") })
		} else {
			wait := s.loadTime
			if slices.Contains(s.disk, body.Model) {
				wait = s.loadTime / 5
			}
			time.AfterFunc(wait, func() { s.done(body.Model) })
		}
	}
	s.mu.Unlock()
	s.led.mu.Lock()
	s.led.orders = append(s.led.orders, order{
		time.Now(), s.id, body.Operation, body.Model, body.Owner, body.Token, body.Precondition, status,
	})
	s.led.mu.Unlock()
	s.rec.add("%s: order %s %s owner=%s fencing_token=%d -> %d", s.id, body.Operation, body.Model, body.Owner, body.Token, status)
	w.WriteHeader(status)
}

func (s *server) done(loaded string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	if loaded != "" {
		s.models = append(s.models, loaded)
		if !slices.Contains(s.disk, loaded) {
			s.disk = append(s.disk, loaded)
		}
	}
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	model := r.Header.Get("Model")
	s.mu.Lock()
	held := slices.Contains(s.models, model)
	if held {
		s.active++
	}
	s.mu.Unlock()
	if !held {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	s.led.mu.Lock()
	s.led.runs[id] = append(s.led.runs[id], s.id)
	s.led.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Server-Signature", "sig."+id+"."+strconv.Itoa(s.events))
	controller := http.NewResponseController(w)
	for i := range s.events {
		time.Sleep(s.gap)
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		if controller.Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}
