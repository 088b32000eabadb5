package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a server. It runs calls and streams of events, and has its models loaded from the start.
type server struct {
	id, service, version, zone, address string
	slots                               int
	models                              []string
	born                                int64
	// first is the time to the first token or the answer, token that of each further token, and perEvent the number of
	// tokens of an event; events is the number of events.
	first, token     time.Duration
	perEvent, events int
	store            *store

	mu       sync.Mutex
	state    string
	leaving  bool
	active   int
	sequence int64
	fence    int64
	http     *http.Server
	stop     chan struct{}
	gone     bool
	// silentUntil is until when the server works on nothing.
	silentUntil time.Time
	runs        []*oneRun
}

// oneRun is a run of a request at a server, from its first token to its end.
type oneRun struct {
	id, server string
	began      time.Time
	ended      time.Time
}

// start starts the server at its address; an empty one picks a free port of ip. It registers itself in the store.
func (s *server) start(ip string) *server {
	if s.address == "" {
		s.address = ip + ":0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	s.address, s.born, s.state, s.stop = l.Addr().String(), time.Now().UnixMilli(), "ready", make(chan struct{})
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	go s.checkIn()
	note("server starts", s.id, s.service, s.version, s.address)
	return s
}

// checkIn writes the entry of the server about every heartbeat.
func (s *server) checkIn() {
	for {
		s.writeEntry()
		select {
		case <-s.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *server) writeEntry() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": s.state,
		"cold_left_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if len(s.models) > 0 {
		entry["phase"], entry["models"] = "colocated", s.loaded()
	}
	gone := s.gone
	s.mu.Unlock()
	if gone {
		return
	}
	value, err := json.Marshal(entry)
	must(err)
	s.store.put("servers", s.id, value)
}

func (s *server) loaded() []map[string]any {
	models := []map[string]any{}
	for _, m := range s.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return models
}

// crash ends the server at once. Its entry stays until remove.
func (s *server) crash() {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	close(s.stop)
	_ = s.http.Close()
	note("server crashes", s.id, s.version)
}

// remove removes the entry of the server.
func (s *server) remove() {
	s.store.put("servers", s.id, nil)
	note("entry removed", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, map[string]any{
			"phase": "colocated", "models": s.loaded(), "busy": false, "sequence": s.sequence, "queued": 0, "active": s.active,
			"kv_used": 0, "kv_total": 1000000, "handles": 0, "born": s.born,
		})
		return
	case "/order":
		s.order(w, r)
		return
	}
	s.run(w, r)
}

// order accepts the orders that hold already, and has no memory for others.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Owner string
		FencingToken                     int64  `json:"fencing_token"`
		Precondition                     *int64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Owner == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	note("order", s.id, o.Operation, o.Model, o.Owner, fmt.Sprint(o.FencingToken))
	if o.FencingToken < s.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.fence = o.FencingToken
	for _, m := range s.models {
		if m == o.Model && o.Operation == "loading" && o.Adapter == "" {
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// run runs a request: a stream of events on a path below /s, a call on others.
func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	leaving := s.leaving
	if s.active >= s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	note("request", id, "at", s.id, s.version, "after event", strconv.Itoa(last))
	if !s.wait(r, s.first) {
		return
	}
	note("run begins", id, "at", s.id, s.version)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Signature", "sig-"+s.id)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if len(r.URL.Path) < 3 || r.URL.Path[:3] != "/s/" {
		w.Header().Set("Content-Length", "800")
		_, _ = w.Write(make([]byte, 800))
		return
	}
	s.stream(w, r, last)
}

// stream makes the events after the one with the number last.
func (s *server) stream(w http.ResponseWriter, r *http.Request, last int) {
	id := r.Header.Get("Attempt-Id")
	one := &oneRun{id: id, server: s.id, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, one)
	s.mu.Unlock()
	defer func() {
		one.ended = time.Now()
		note("run ends", id, "at", s.id)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher)
	for n := last + 1; n <= s.events; n++ {
		tokens := s.perEvent
		if n == last+1 {
			// The first token was made when the run began.
			tokens--
		}
		for range tokens {
			if !s.wait(r, s.token) {
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s %d/%d\n\n", n, s.id, s.version, n, s.events)
		flush.Flush()
	}
}

// fallSilent makes the server work on nothing for a time.
func (s *server) fallSilent(d time.Duration) {
	s.mu.Lock()
	s.silentUntil = time.Now().Add(d)
	s.mu.Unlock()
	note("server falls silent", s.id, d.String())
}

// wait works for a time, and longer if the server is silent then. It returns false if the caller has gone or the server
// has crashed meanwhile.
func (s *server) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		s.mu.Lock()
		rest := time.Until(s.silentUntil)
		s.mu.Unlock()
		if rest > 0 {
			return s.wait(r, rest)
		}
		return true
	case <-r.Context().Done():
		return false
	case <-s.stop:
		panic(http.ErrAbortHandler)
	}
}
