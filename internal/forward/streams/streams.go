// Package streams records the origin of each stream: the service and the software version of the server that began
// it. The stream can then be taken up again there. Versions don't fit together in one stream, and servers don't check
// them.
//
// # Usage
//
//	registry := streams.NewRegistry(clock)
//	registry.Began("id-1", streams.Origin{Service: "llm", Version: "v1"}, 1)
//	registry.Confirmed("id-1")
//	origin, ok := registry.Origin(streams.KeyOf("id-1"))
//	registry.SawVersions("llm", versions)
//
// Records are kept for a limited time, since callers take up a stream soon or never.
package streams

import (
	"slices"
	"sync"
	"time"

	"azurehitch"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long a stream can be taken up again after it began, and how long a service counts as
	// mixed after servers of several versions were last listed.
	TTL = time.Minute
	// maxRecords limits the keys in each of the two generations of a Registry. A record has up to two.
	maxRecords = 1 << 16
	// maxOwn limits the recent streams that a daemon reports to others when a service becomes mixed.
	maxOwn = 2048
	// maxUnlogged limits the records that wait for the log. The oldest ones are dropped.
	maxUnlogged = 8192
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the server; empty means unknown, which is a version of its own.
	Version string
}

// Key identifies a stream in records, by the ID of the request that brings its first event.
type Key uint64

// KeyOf returns the key of the stream that the request with an ID begins. Requests have different IDs.
func KeyOf(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

// ServiceKeyOf returns the key by which daemons of earlier releases know a stream: they find it only by the service
// that began it.
func ServiceKeyOf(service, requestID string) Key {
	return Key(xxhash.Sum64String(service + "\x00" + requestID))
}

// Record is the origin of a stream, as daemons report it to each other.
type Record struct {
	// Key is 0 in records of daemons of earlier releases, which have a ServiceKey only.
	Key        Key
	ServiceKey Key
	Origin
	// Attempt counts the servers that the request was sent to. The last one began the stream.
	Attempt int
}

// Resumption is a request that takes up a stream again.
type Resumption struct {
	// ID is that of the request that brought the first event.
	ID string
	// Service is the one that the route chooses for a new request, and Services are all to which the route leads.
	Service  string
	Services []string
}

// Source is who knew the origin of a stream.
type Source string

// The sources of origins.
const (
	SourceOwn     Source = "Own"
	SourcePeer    Source = "Peer"
	SourceLog     Source = "Log"
	SourceUnknown Source = "Unknown"
)

// Bound is where a stream that is taken up again may go on.
type Bound struct {
	Service string
	azurehitch.VersionBound
	Source Source
}

// entry is a kept record.
type entry struct {
	origin  Origin
	attempt int
}

// Registry holds the records of a daemon: of its own streams, and of those that other daemons have
// reported. It is safe for concurrent use.
type Registry struct {
	clock azurehitch.Clock

	mu sync.Mutex
	// recent and older are two generations of records. When recent is full or TTL old, it replaces
	// older.
	recent   map[Key]entry
	older    map[Key]entry
	turnedAt time.Time
	// own are the last streams of this daemon, oldest first.
	own []ownRecord
	// lastSeen is when servers of each version were last listed, by service.
	lastSeen map[string]map[string]time.Time
	// unreported are own records that others need, and unlogged those of them that the log needs.
	unreported []Record
	wake       chan struct{}
	unlogged   []Record
	wakeLog    chan struct{}
}

// ownRecord is a record of a stream of this daemon.
type ownRecord struct {
	Record
	at time.Time
	// isConfirmed is true once the first event has come: the origin is then final.
	isConfirmed bool
}

// NewRegistry returns a registry without records.
func NewRegistry(clock azurehitch.Clock) *Registry {
	now := clock.Now()
	return &Registry{
		clock: clock, turnedAt: now, recent: map[Key]entry{},
		lastSeen: map[string]map[string]time.Time{}, wake: make(chan struct{}, 1), wakeLog: make(chan struct{}, 1),
	}
}

// Began records that the request with an ID is about to begin a stream. The attempt counts the servers to which
// the request was sent; a later attempt replaces an earlier one.
func (r *Registry) Began(requestID string, origin Origin, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := Record{Key: KeyOf(requestID), ServiceKey: ServiceKeyOf(origin.Service, requestID), Origin: origin, Attempt: attempt}
	r.add(record)
	now := r.clock.Now()
	if len(r.own) >= maxOwn {
		r.own = append(r.own[:0], r.own[maxOwn/2:]...)
	}
	r.own = append(r.own, ownRecord{Record: record, at: now})
	if r.isMixed(origin.Service, now) {
		r.report(record)
	}
}

// Confirmed records that the first event of the stream of a request has come, from the server that the request was sent
// to last. Only such records go to the log: one of an attempt that failed could outlive that of the next attempt there.
func (r *Registry) Confirmed(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := KeyOf(requestID)
	for i := len(r.own) - 1; i >= 0; i-- {
		if o := &r.own[i]; o.Key == key {
			o.isConfirmed = true
			if r.isMixed(o.Service, r.clock.Now()) {
				r.queueForLog(o.Record)
			}
			return
		}
	}
}

// queueForLog queues records for the log. The caller holds r.mu.
func (r *Registry) queueForLog(records ...Record) {
	r.unlogged = append(r.unlogged, records...)
	r.unlogged = r.unlogged[max(0, len(r.unlogged)-maxUnlogged):]
	signal(r.wakeLog)
}

// signal makes a channel with a buffer of one receive, unless it is to do so already.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Merge adds the records of another daemon.
func (r *Registry) Merge(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.add(record)
	}
}

// add adds a record. The caller holds r.mu.
func (r *Registry) add(record Record) {
	if now := r.clock.Now(); len(r.recent) >= maxRecords || now.Sub(r.turnedAt) >= TTL {
		r.recent, r.older, r.turnedAt = map[Key]entry{}, r.recent, now
	}
	for _, key := range []Key{record.Key, record.ServiceKey} {
		if known, ok := r.find(key); key != 0 && (!ok || known.attempt <= record.Attempt) {
			r.recent[key] = entry{origin: record.Origin, attempt: record.Attempt}
		}
	}
}

// find returns a kept record. The caller holds r.mu.
func (r *Registry) find(key Key) (entry, bool) {
	if e, ok := r.recent[key]; ok {
		return e, true
	}
	e, ok := r.older[key]
	return e, ok
}

// Origin returns the origin of a stream by any of its keys, and false if this daemon does not know it.
func (r *Registry) Origin(keys ...Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		if e, ok := r.find(key); ok {
			return e.origin, true
		}
	}
	return Origin{}, false
}

// SawVersions records the software versions of the listed servers of a service. Once there are several,
// the streams that began within TTL are reported to other daemons.
func (r *Registry) SawVersions(service string, versions []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	wasMixed := r.isMixed(service, now)
	seen, ok := r.lastSeen[service]
	if !ok {
		seen = map[string]time.Time{}
		r.lastSeen[service] = seen
	}
	for version, at := range seen {
		if now.Sub(at) >= TTL {
			delete(seen, version)
		}
	}
	for _, version := range versions {
		seen[version] = now
	}
	if wasMixed || !r.isMixed(service, now) {
		return
	}
	for _, o := range r.own {
		if o.Service != service || now.Sub(o.at) >= TTL {
			continue
		}
		r.report(o.Record)
		if o.isConfirmed {
			r.queueForLog(o.Record)
		}
	}
}

// IsMixed reports whether servers of several software versions of one of the services were listed within TTL.
func (r *Registry) IsMixed(services ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	return slices.ContainsFunc(services, func(service string) bool { return r.isMixed(service, now) })
}

// isMixed is IsMixed. The caller holds r.mu.
func (r *Registry) isMixed(service string, now time.Time) bool {
	count := 0
	for _, at := range r.lastSeen[service] {
		if now.Sub(at) < TTL {
			count++
		}
	}
	return count > 1
}

// report queues a record for other daemons. The caller holds r.mu.
func (r *Registry) report(record Record) {
	if len(r.unreported) < maxOwn {
		r.unreported = append(r.unreported, record)
	}
	signal(r.wake)
}

// TakeUnreported returns the records that other daemons need, and forgets them. Wake receives
// when there are new ones.
func (r *Registry) TakeUnreported() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.unreported
	r.unreported = nil
	return records
}

// Wake returns the channel that receives when TakeUnreported has new records.
func (r *Registry) Wake() <-chan struct{} { return r.wake }

// TakeUnlogged returns the records that the log needs, and forgets them. WakeLog receives when there are new
// ones.
func (r *Registry) TakeUnlogged() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.unlogged
	r.unlogged = nil
	return records
}

// ReturnUnlogged takes records back that could not be given to the log.
func (r *Registry) ReturnUnlogged(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueForLog(records...)
}

// WakeLog returns the channel that receives when TakeUnlogged has new records.
func (r *Registry) WakeLog() <-chan struct{} { return r.wakeLog }
