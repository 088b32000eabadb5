package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keep is how long a record of the store is retained. The newest record of each key is kept for good.
const keep = 300 * time.Second

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

type record struct {
	data []byte
	at   time.Time
}

// topic is one partition of the store.
type topic struct {
	first   int64
	records []record
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int64
}

// store is a stand-in of the platform's store. Each daemon reaches it at a door of its own, so that the store can turn
// single daemons away.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	doors   map[string]*door
	era     int64
}

// door is the address at which one daemon reaches the store.
type door struct {
	name     string
	listener net.Listener
	mu       sync.Mutex
	busy     bool
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), doors: map[string]*door{}, era: 1}
}

// open opens the door of a daemon and returns its address.
func (s *store) open(name, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	d := &door{name: name, listener: l}
	s.mu.Lock()
	s.doors[name] = d
	s.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(d, w, r) })}
	go server.Serve(l)
	return l.Addr().String()
}

// setBusy makes the store turn the calls of a daemon away with 503, or serve them again.
func (s *store) setBusy(name string, busy bool) {
	s.mu.Lock()
	d := s.doors[name]
	s.mu.Unlock()
	d.mu.Lock()
	d.busy = busy
	d.mu.Unlock()
	note("store turns away", name, fmt.Sprint(busy))
}

func (d *door) isBusy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

func (s *store) serve(d *door, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if d.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		first, end, ok := s.append(name, body)
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeJSON(w, map[string]int64{"offset": first, "end_offset": end})
	case "GET /log-read":
		s.read(d, w, r, name)
	case "GET /log-newest":
		s.list(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	return t
}

// append appends the records of a body, all or none.
func (s *store) append(name string, body []byte) (first, end int64, ok bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return 0, 0, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			return 0, 0, false
		}
		records = append(records, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	now := time.Now()
	for len(t.records) > 0 && now.Sub(t.records[0].at) > keep {
		t.records = t.records[1:]
		t.first++
	}
	first = t.first + int64(len(t.records))
	for _, r := range records {
		offset := t.first + int64(len(t.records))
		t.records = append(t.records, record{data: r, at: now})
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 && len(r) >= 1+int(r[0]) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = newestRecord{value: value, offset: offset}
			}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, t.first + int64(len(t.records)), true
}

// put writes the record of a key, as the operator and the servers do.
func (s *store) put(name, key string, value []byte) {
	r := append([]byte{byte(len(key))}, key...)
	r = append(r, value...)
	s.append("keyed."+name, append(binary.BigEndian.AppendUint32(nil, uint32(len(r))), r...))
}

func (s *store) read(d *door, w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, first, changed := t.first+int64(len(t.records)), t.first, s.changed
		if from < first || from > end {
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first_offset": first})
			return
		}
		left := time.Until(deadline)
		if from < end || left <= 0 || d.isBusy() {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for _, rec := range t.records[from-first:] {
				if len(out) > 1<<20 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec.data)))
				out = append(out, rec.data...)
			}
			s.mu.Unlock()
			if d.isBusy() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(left, 100*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, k := range keys {
		n := t.newest[k]
		items = append(items, map[string]any{"key": k, "data": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": t.first + int64(len(t.records))})
}
