package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"azurehitch"
)

const (
	// reregisterTime is the longest time that a running server needs to write its entry again after
	// an outage of the platform.
	reregisterTime = 2200 * time.Millisecond
	// outageGrace is the time after a failed read in which an entry may have been removed because
	// of an outage of the platform.
	outageGrace = 3 * time.Second
	// removalTTL is how long a removed server is remembered. Other daemons that still grant requests
	// to it learn of its removal much earlier.
	removalTTL = time.Minute
)

// removal is the removal of a server from the list.
type removal struct {
	incarnation int64
	at          time.Time
}

// Observer receives the changes of a fold.
type Observer interface {
	// ServerChanged is called for each change of a server.
	ServerChanged(server azurehitch.FleetServer, change Change)
	// ShutdownNoticed is called when a server itself has announced its shutdown.
	ShutdownNoticed(server azurehitch.ServerIdentity, source Source)
	// EntryUnreadable is called when an entry that can't be decoded is read for the first time.
	EntryUnreadable(id string, err error)
}

// Change is the kind of change of a server. Its values appear in logs, where "Came" means that a
// server was added, "Leaves" that it is shutting down, and "Gone" that it was removed.
type Change string

// The kinds of change, with the values that logs show.
const (
	ChangeAdded        Change = "Came"
	ChangeShuttingDown Change = "Leaves"
	// ChangeRestarted means that the server has a new incarnation.
	ChangeRestarted Change = "Restarted"
	// ChangeMissing means that the entry of the server was removed, possibly because of an outage of
	// the platform. The server is kept for reregisterTime.
	ChangeMissing Change = "Missing"
	ChangeRemoved Change = "Gone"
)

// Decoder decodes the entry of a server. The id is the key of the entry in the list.
type Decoder func(id string, value []byte) (azurehitch.FleetServer, error)

// Fold is the state built by applying the entries of the list in order: the servers and their
// shutdown notices. It implements compacted.Fold and is safe for concurrent use.
type Fold struct {
	decode   Decoder
	observer Observer

	mu sync.Mutex
	// servers are the known servers, by ID.
	servers map[string]azurehitch.FleetServer
	// missing is the time until which a server without an entry is kept, by ID.
	missing map[string]time.Time
	// notices are the shutdown notices of servers, by ID.
	notices map[string]shutdownNotice
	// removed are the servers that were removed within removalTTL, by ID.
	removed map[string]removal
	// unreadable are the entries that name no server.
	unreadable unreadable
	// failedAt is when a read of the list last failed; zero if none has.
	failedAt time.Time
	// version increases with each change that requires a new view.
	version int64
	// changes is the number of calls of Observer.ServerChanged.
	changes atomic.Int64
	view    atomic.Pointer[View]
}

// NewFold returns a fold without servers.
func NewFold(decode Decoder, observer Observer) *Fold {
	f := &Fold{
		decode: decode, observer: observer,
		servers: map[string]azurehitch.FleetServer{}, missing: map[string]time.Time{},
		notices: map[string]shutdownNotice{}, removed: map[string]removal{}, unreadable: unreadable{},
	}
	f.view.Store(newView(f, time.Time{}))
	return f
}

// View returns the servers as of the last read.
func (f *Fold) View() *View { return f.view.Load() }

// Replace implements compacted.Fold.
func (f *Fold) Replace(records []azurehitch.KeyedRecord, readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = len(r.Value) > 0
		f.apply(r, readAt)
	}
	for id := range f.servers {
		if !listed[id] {
			f.remove(id, readAt)
		}
	}
	f.unreadable.retain(listed)
	f.publish(readAt)
}

// Apply implements compacted.Fold.
func (f *Fold) Apply(records []azurehitch.KeyedRecord, readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.apply(r, readAt)
	}
	f.publish(readAt)
}

// ReadFailed implements compacted.Fold.
func (f *Fold) ReadFailed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt = at
}

// UrgentChanges implements compacted.Fold. It counts the calls of Observer.ServerChanged. Changes
// of the models that servers hold do not count, since daemons need not read them at once.
func (f *Fold) UrgentChanges() int64 { return f.changes.Load() }

func (f *Fold) changed(server azurehitch.FleetServer, change Change) {
	f.changes.Add(1)
	f.observer.ServerChanged(server, change)
}

func (f *Fold) apply(r azurehitch.KeyedRecord, readAt time.Time) {
	if len(r.Value) == 0 {
		f.unreadable.remove(r.Key)
		f.remove(r.Key, readAt)
		return
	}
	s, err := f.decode(r.Key, r.Value)
	if err != nil {
		if f.unreadable.add(r.Key) {
			f.observer.EntryUnreadable(r.Key, err)
		}
		return
	}
	f.unreadable.remove(r.Key)
	before, known := f.servers[s.ID]
	if known && s.Incarnation < before.Incarnation {
		return
	}
	f.servers[s.ID] = s
	delete(f.missing, s.ID)
	delete(f.removed, s.ID)
	f.version++
	switch {
	case !known:
		f.changed(s, ChangeAdded)
	case s.Incarnation != before.Incarnation:
		f.changed(s, ChangeRestarted)
	}
	if s.ShuttingDown && !before.ShuttingDown {
		f.changed(s, ChangeShuttingDown)
	}
}

// remove removes a server without an entry. If a read has failed within outageGrace, the server is
// first kept as missing for reregisterTime.
func (f *Fold) remove(id string, readAt time.Time) {
	s, known := f.servers[id]
	if !known {
		return
	}
	if f.failedAt.IsZero() || readAt.Sub(f.failedAt) >= outageGrace {
		f.drop(s, readAt)
		return
	}
	if _, isMissing := f.missing[id]; !isMissing {
		f.missing[id] = readAt.Add(reregisterTime)
		f.version++
		f.changed(s, ChangeMissing)
	}
}

func (f *Fold) drop(s azurehitch.FleetServer, at time.Time) {
	delete(f.servers, s.ID)
	delete(f.missing, s.ID)
	f.removed[s.ID] = removal{incarnation: s.Incarnation, at: at}
	f.version++
	f.changed(s, ChangeRemoved)
}

func (f *Fold) publish(readAt time.Time) {
	for id, until := range f.missing {
		if !readAt.Before(until) {
			f.drop(f.servers[id], readAt)
		}
	}
	maps.DeleteFunc(f.removed, func(_ string, r removal) bool { return readAt.Sub(r.at) >= removalTTL })
	f.expireNotices(readAt)
	view := f.view.Load()
	next := *view
	if view.Version != f.version || view.ReadAt.IsZero() {
		next = *newView(f, readAt)
	}
	next.ReadAt = readAt
	next.Complete = f.failedAt.IsZero() || readAt.Sub(f.failedAt) >= reregisterTime
	f.view.Store(&next)
}
