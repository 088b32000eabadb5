package main

import (
	"fmt"
	"time"
)

func init() { cases["silent-second"] = silentSecond }

// mostOverlap is how long a server may work on a request that goes on at another one.
const mostOverlap = 400 * time.Millisecond

// silentSecond lets a sound server of models fall silent for a second, and go on.
func silentSecond() outcome {
	s := newStore()
	var servers []*server
	for i := range 4 {
		servers = append(servers, (&server{
			id: fmt.Sprintf("i-%d", i+1), service: "llm", version: "v1", zone: "z1", slots: 32, models: []string{"m1"}, store: s,
			first: 50 * time.Millisecond, token: 100 * time.Millisecond, perEvent: 4, events: 30,
		}).start("127.0.0.1"))
	}
	notes := route("notes", "/s/", "streaming", "llm", 25000, 4000, 2, true)
	notes["itl_target_ms"] = 600
	configure(s, 1, []map[string]any{notes}, []map[string]any{engineService("llm", "m1")})
	startDaemons(s, 4)
	if !awaitReady(15 * time.Second) {
		return unable
	}
	go watchReadiness()
	time.Sleep(6 * time.Second)
	streams := run(16, maxRetries, streamLimit)
	time.Sleep(5 * time.Second)
	if hasTrouble() {
		servers[0].fallSilent(time.Second)
		time.Sleep(4 * time.Second)
		servers[1].fallSilent(time.Second)
	}
	whole := 0
	for _, one := range streams() {
		if one.whole {
			whole++
		}
	}
	time.Sleep(time.Second)
	return judgeOverlap(servers, whole)
}

// judgeOverlap applies the rule TWICE of model servers: no request goes on at another server while the server before
// still works on it mostOverlap later.
func judgeOverlap(servers []*server, whole int) outcome {
	byID := map[string][]*oneRun{}
	for _, s := range servers {
		s.mu.Lock()
		for _, one := range s.runs {
			byID[one.id] = append(byID[one.id], one)
		}
		s.mu.Unlock()
	}
	overlaps := 0
	for id, runs := range byID {
		for _, before := range runs {
			for _, next := range runs {
				if next.server != before.server && next.began.After(before.began) && before.ended.After(next.began.Add(mostOverlap)) {
					overlaps++
					note("request", id, "went on at", next.server, "while", before.server, "still worked on it",
						before.ended.Sub(next.began).String(), "later; the run there took", next.ended.Sub(next.began).String())
				}
			}
		}
	}
	fmt.Printf("streams whole: %d, requests that went on while the server before still worked on them: %d\n", whole, overlaps)
	note(fmt.Sprintf("streams whole: %d, overlaps: %d", whole, overlaps))
	if whole == 0 {
		return unable
	}
	if overlaps > 0 {
		return broken
	}
	return held
}
