package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["resume-on-split-route"] = resumeOnSplitRoute }

// sheetRetries is the number of retries of a client on the sheets.
const sheetRetries = 1

// resumeOnSplitRoute kills one daemon while streams of a route run that is split over three services, each with servers of
// two software versions.
func resumeOnSplitRoute() outcome {
	s := newStore()
	var split, services []map[string]any
	for i, weight := range []int{34, 33, 33} {
		name := fmt.Sprintf("llm-%d", i+1)
		split = append(split, map[string]any{"service": name, "weight": weight})
		services = append(services, engineService(name, "m1"))
		for j, version := range []string{"v1", "v1", "v2", "v2"} {
			(&server{
				id: fmt.Sprintf("i-%d-%d", i+1, j+1), service: name, version: version, zone: "z1", slots: 32, models: []string{"m1"}, store: s,
				first: 100 * time.Millisecond, token: 30 * time.Millisecond, perEvent: 6, events: 80,
			}).start("127.0.0.1")
		}
	}
	notes := route("notes", "/s/", "streaming", "", 25000, 2500, 2, true)
	delete(notes, "service")
	notes["split"] = split
	configure(s, 1, []map[string]any{notes}, services)
	startDaemons(s, 4)
	if !awaitReady(15 * time.Second) {
		return unable
	}
	go watchReadiness()
	time.Sleep(8 * time.Second)
	streams := run(120, sheetRetries, streamLimit)
	time.Sleep(5 * time.Second)
	if hasTrouble() {
		daemons[0].signal(syscall.SIGKILL)
		time.AfterFunc(time.Second, daemons[0].start)
	}
	time.Sleep(3 * time.Second)
	fresh := run(24, sheetRetries, streamLimit)
	return judgeResumed(streams(), fresh())
}
