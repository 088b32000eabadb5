package fleet

import (
	"time"

	"azurehitch"
)

const (
	// noticeTTL is how long the shutdown notice of a server that is not listed is kept.
	noticeTTL = 5 * time.Minute
	// relayTime is how long a shutdown notice is passed on to other daemons.
	relayTime = 10 * time.Second
)

// Source is where a shutdown notice comes from. Its values appear in logs.
type Source string

const (
	// SourceAnswer means that the server announced its shutdown in a response to this daemon.
	SourceAnswer Source = "Answer"
	// SourcePeer means that another daemon received the notice and passed it on.
	SourcePeer Source = "Peer"
)

// shutdownNotice is the announcement of one incarnation of a server that it shuts down.
type shutdownNotice struct {
	azurehitch.ServerIdentity
	receivedAt time.Time
}

// covers reports whether the notice applies to an incarnation of the server: the announced one or
// an earlier one.
func (n shutdownNotice) covers(incarnation int64) bool { return incarnation <= n.Incarnation }

// AddShutdownNotice records that an incarnation of a server has announced its shutdown. The server
// then counts as shutting down even if the list does not show it yet. AddShutdownNotice returns
// false if a notice of this incarnation or a later one was recorded before.
func (f *Fold) AddShutdownNotice(server azurehitch.ServerIdentity, source Source, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before, ok := f.notices[server.ID]; ok && before.covers(server.Incarnation) {
		return false
	}
	f.notices[server.ID] = shutdownNotice{ServerIdentity: server, receivedAt: at}
	f.observer.ShutdownNoticed(server, source)
	f.version++
	f.publish(f.view.Load().ReadAt)
	return true
}

// UnlistedShutdowns returns the servers whose shutdown notice was received within relayTime and
// that the list does not show as shutting down. This daemon passes these notices on, because other
// daemons can't read them in the list.
func (f *Fold) UnlistedShutdowns(now time.Time) []azurehitch.ServerIdentity {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []azurehitch.ServerIdentity
	for id, n := range f.notices {
		if listed, ok := f.servers[id]; now.Sub(n.receivedAt) < relayTime && !(ok && listed.ShuttingDown) {
			servers = append(servers, n.ServerIdentity)
		}
	}
	return servers
}

// expireNotices removes the notices of servers that have restarted, and notices older than
// noticeTTL of servers that are not listed.
func (f *Fold) expireNotices(now time.Time) {
	for id, n := range f.notices {
		listed, ok := f.servers[id]
		if ok && !n.covers(listed.Incarnation) || !ok && now.Sub(n.receivedAt) >= noticeTTL {
			delete(f.notices, id)
		}
	}
}
