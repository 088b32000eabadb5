package main

import (
	"fmt"
	"time"
)

func init() {
	cases["release-versions"] = releaseVersions
	cases["upgrade-in-place"] = upgradeInPlace
}

// drainTime is drain_ms of the settings.
const drainTime = 2 * time.Second

// deskServer returns a server of the plain service that streams notes.
func deskServer(s *store, id, version string) *server {
	return &server{
		id: id, service: "desk", version: version, zone: "z1", slots: 64, store: s,
		first: 100 * time.Millisecond, token: 30 * time.Millisecond, perEvent: 6, events: 100,
	}
}

func configureDesk(s *store) {
	configure(s, 1, []map[string]any{route("notes", "/s/", "streaming", "desk", 25000, 2500, 2, true)}, []map[string]any{plainService("desk")})
}

// leave is the planned end of a server: it reports that it drains, serves on and exits.
func (s *server) leave() {
	s.mu.Lock()
	s.state, s.leaving = "draining", true
	s.mu.Unlock()
	s.writeEntry()
	note("server drains", s.id)
	time.Sleep(drainTime + 300*time.Millisecond)
	s.crash()
	s.remove()
}

// releaseGap is the pause of a release from one server to the next.
const releaseGap = time.Second

// releaseVersions replaces the servers of one software version, half of the service, by servers of the other version while
// streams run: the new one starts first, the old one drains.
func releaseVersions() outcome {
	s := newStore()
	old := []*server{deskServer(s, "i-1", "v1").start("127.0.0.1"), deskServer(s, "i-2", "v1").start("127.0.0.1")}
	deskServer(s, "i-3", "v2").start("127.0.0.1")
	deskServer(s, "i-4", "v2").start("127.0.0.1")
	configureDesk(s)
	startDaemons(s, 16)
	if !awaitReady(20 * time.Second) {
		return unable
	}
	go watchReadiness()
	time.Sleep(5 * time.Second)
	streams := run(64, sheetRetries, streamLimit)
	time.Sleep(3 * time.Second)
	if hasTrouble() {
		for i, o := range old {
			deskServer(s, fmt.Sprintf("i-%d", 5+i), "v2").start("127.0.0.1")
			go o.leave()
			time.Sleep(releaseGap)
		}
	}
	return judgeVersions(streams())
}

// judgeVersions applies the rule ORDER: no more than two streams hold events of servers of two software versions.
func judgeVersions(streams []*stream) outcome {
	joined, whole := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
			note("stream", s.first, "holds events of two versions")
		}
		if s.whole {
			whole++
		}
	}
	fmt.Printf("streams: %d, whole: %d, with events of two software versions: %d\n", len(streams), whole, joined)
	note(fmt.Sprintf("streams: %d, whole: %d, with events of two software versions: %d", len(streams), whole, joined))
	if joined > 2 {
		return broken
	}
	return held
}

// upgradeInPlace replaces half of the servers one after the other by servers of another software version, each of which
// starts again under the id and at the address of the one before.
func upgradeInPlace() outcome {
	s := newStore()
	var servers []*server
	for i := range 6 {
		servers = append(servers, deskServer(s, fmt.Sprintf("i-%d", i+1), "v1").start("127.0.0.1"))
	}
	configureDesk(s)
	startDaemons(s, 9)
	if !awaitReady(20 * time.Second) {
		return unable
	}
	go watchReadiness()
	time.Sleep(5 * time.Second)
	streams := run(160, sheetRetries, streamLimit)
	time.Sleep(4 * time.Second)
	if hasTrouble() {
		for _, old := range servers[:len(servers)/2] {
			began := time.Now()
			old.crash()
			time.Sleep(500 * time.Millisecond)
			next := deskServer(s, old.id, "v2")
			next.address = old.address
			next.start("127.0.0.1")
			time.Sleep(time.Until(began.Add(releaseGap)))
		}
	}
	return judgeVersions(streams())
}
