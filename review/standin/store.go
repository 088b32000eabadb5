package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one record of a partition.
type entry struct {
	value []byte
	at    time.Time
}

// partition is partition 0 of a topic. No daemon uses another one.
type partition struct {
	first   int64
	entries []entry
	// newest holds the newest record of each key of a keyed topic, which never expires.
	newest map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int64
}

func (p *partition) end() int64 { return p.first + int64(len(p.entries)) }

// store is a stand-in for the platform's metadata store, in the form of a log.
type store struct {
	keep time.Duration
	rec  *record
	// appended is called with each record that a daemon appends, if it is set.
	appended func(topic string, offset int64, value []byte)

	mu      sync.Mutex
	topics  map[string]*partition
	changed chan struct{}
	down    bool
	era     int64
	// writes is the number of accepted appends to each topic.
	writes map[string]int
}

func newStore(keep time.Duration, rec *record) *store {
	return &store{
		keep: keep, rec: rec, topics: map[string]*partition{}, changed: make(chan struct{}), era: 1,
		writes: map[string]int{},
	}
}

func isKeyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

// isSystem reports whether only the system writes to the topic.
func isSystem(topic string) bool { return topic != "keyed.op" && topic != "keyed.servers" }

func (s *store) topic(name string) *partition {
	p := s.topics[name]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}}
		s.topics[name] = p
	}
	limit := time.Now().Add(-s.keep)
	for len(p.entries) > 0 && p.entries[0].at.Before(limit) {
		p.entries = p.entries[1:]
		p.first++
	}
	return p
}

func (s *store) add(name string, values ...[]byte) (int64, int64) {
	p := s.topic(name)
	first := p.end()
	for _, value := range values {
		if isKeyed(name) && len(value) > 0 && len(value) > int(value[0]) {
			key := string(value[1 : 1+value[0]])
			if data := value[1+value[0]:]; len(data) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestRecord{data, p.end()}
			}
		}
		p.entries = append(p.entries, entry{value, time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, p.end()
}

// put writes a keyed record as the operator and the servers do. It works while the store is up.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
	return true
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBackFrom makes the store come back from a copy that was made at the given time: what the system
// wrote since is gone, and what the operator and the servers wrote is written again.
func (s *store) comeBackFrom(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, p := range s.topics {
		kept := len(p.entries)
		for kept > 0 && p.entries[kept-1].at.After(copied) {
			kept--
		}
		gone := p.entries[kept:]
		s.rec.add("store: topic %s comes back with end %d instead of %d", name, p.first+int64(kept), p.end())
		p.entries = slices.Clone(p.entries[:kept])
		if isSystem(name) {
			if isKeyed(name) {
				p.newest = map[string]newestRecord{}
				for i, e := range p.entries {
					if key := string(e.value[1 : 1+e.value[0]]); len(e.value) > 1+int(e.value[0]) {
						p.newest[key] = newestRecord{e.value[1+e.value[0]:], p.first + int64(i)}
					}
				}
			}
			continue
		}
		for _, e := range gone {
			p.entries = append(p.entries, entry{e.value, time.Now()})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(listener net.Listener) {
	go func() { _ = http.Serve(listener, s) }()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	topic := query.Get("topic")
	switch {
	case query.Get("part") != "0" || topic == "":
		w.WriteHeader(http.StatusBadRequest)
	case r.Method == http.MethodPost && r.URL.Path == "/log-append":
		s.append(w, topic, body)
	case r.Method == http.MethodGet && r.URL.Path == "/log-read":
		from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.read(w, r, topic, from, min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	case r.Method == http.MethodGet && r.URL.Path == "/log-newest":
		s.list(w, topic, query.Get("after"))
	default:
		s.rec.add("store: unknown call %s %s", r.Method, r.URL)
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) append(w http.ResponseWriter, topic string, body []byte) {
	if !isSystem(topic) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var values [][]byte
	for len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(body))
		values = append(values, body[4:4+size])
		body = body[4+size:]
	}
	offset, end := s.add(topic, values...)
	s.writes[topic]++
	if s.appended != nil {
		for i, value := range values {
			s.appended(topic, offset+int64(i), value)
		}
	}
	answer(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, from int64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for expired := wait == 0; ; {
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		p := s.topic(topic)
		if from < p.first || from > p.end() {
			answer(w, http.StatusGone, map[string]int64{"first_offset": p.first})
			return
		}
		if from < p.end() || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			out = binary.BigEndian.AppendUint64(out, uint64(p.first))
			for _, e := range p.entries[from-p.first:] {
				if len(out) > 1<<20 {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(e.value))), e.value...)
			}
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
	}
}

func (s *store) list(w http.ResponseWriter, topic, after string) {
	p := s.topic(topic)
	type item struct {
		Key    string `json:"key"`
		Data   string `json:"data"`
		Offset int64  `json:"offset"`
	}
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	items := []item{}
	for _, key := range keys[:min(len(keys), 500)] {
		newest := p.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(newest.value), newest.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": p.end()})
}
