package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["resume-after-kill"] = resumeAfterKill }

const (
	streamLimit = 25 * time.Second
	// stableWindow is stable_window_ms of the settings.
	stableWindow = 3 * time.Second
	maxRetries   = 6
	// retryPause is the pause before a retry of a client that was not told when to come back.
	retryPause = 1500 * time.Millisecond
)

// stream is a stream of a client over its attempts.
type stream struct {
	mu       sync.Mutex
	first    string
	last     int
	versions map[string]bool
	// took is true if it was taken up at a machine in touch, and wentOn if such an attempt brought an event.
	took, wentOn bool
	whole        bool
}

// follow plays a client: it sends a request for a stream, and takes the stream up after a broken channel, each time at
// another machine, until it is whole, its time is over or it has no tries left.
func follow(start, retries int, end time.Time) *stream {
	s := &stream{versions: map[string]bool{}}
	for try := 0; try <= retries && time.Until(end) > 0; {
		d := rotation(start + try)
		if d == nil {
			// The platform has no machine to connect the client with.
			time.Sleep(200 * time.Millisecond)
			continue
		}
		q := request{method: "POST", host: "desk.example", path: "/s/note", model: "m1", resumes: s.first, lastEvent: s.last, deadline: time.Until(end)}
		inTouch := s.last > 0 && d.isInTouch()
		a := send(d, q, nil)
		try++
		for _, e := range a.events {
			s.versions[e.version] = true
			s.last = e.id
		}
		if s.first == "" && len(a.events) > 0 {
			s.first = a.id
		}
		s.took = s.took || inTouch
		s.wentOn = s.wentOn || inTouch && len(a.events) > 0
		if s.whole = a.whole && a.status == 200; s.whole {
			return s
		}
		wait := retryPause
		if a.retry > 0 {
			wait = min(a.retry, time.Until(end)/3)
		}
		time.Sleep(wait)
	}
	return s
}

// isInTouch reports whether a daemon has run for stableWindow.
func (d *daemon) isInTouch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done:
		return false
	default:
		return time.Since(d.startedAt) > stableWindow+500*time.Millisecond
	}
}

var (
	rotationMu sync.Mutex
	inRotation = map[*daemon]bool{}
)

// watchReadiness asks the daemons each second, as the platform does: two misses take one out.
func watchReadiness() {
	misses := map[*daemon]int{}
	for ; ; time.Sleep(time.Second) {
		for _, d := range daemons {
			if d.isReady() {
				misses[d] = 0
			} else {
				misses[d]++
			}
			rotationMu.Lock()
			inRotation[d] = misses[d] < 2
			rotationMu.Unlock()
		}
	}
}

// rotation returns a daemon in rotation; nil if there is none.
func rotation(n int) *daemon {
	rotationMu.Lock()
	defer rotationMu.Unlock()
	for i := range daemons {
		if d := daemons[(n+i)%len(daemons)]; inRotation[d] {
			return d
		}
	}
	return nil
}

// resumeAfterKill kills all daemons while streams run at servers of two software versions, and starts them again.
func resumeAfterKill() outcome {
	s := newStore()
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		(&server{
			id: fmt.Sprintf("i-%d", i+1), service: "llm", version: version, zone: "z1", slots: 32, models: []string{"m1"}, store: s,
			first: 100 * time.Millisecond, token: 30 * time.Millisecond, perEvent: 6, events: 100,
		}).start("127.0.0.1")
	}
	configure(s, 1, []map[string]any{route("notes", "/s/", "streaming", "llm", 25000, 2500, 2, true)}, []map[string]any{engineService("llm", "m1")})
	startDaemons(s, 4)
	if !awaitReady(15 * time.Second) {
		return unable
	}
	go watchReadiness()
	time.Sleep(6 * time.Second)
	streams := run(24, maxRetries, streamLimit)
	time.Sleep(4 * time.Second)
	if hasTrouble() {
		for _, d := range daemons {
			d.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, d := range daemons {
			d.start()
		}
	}
	time.Sleep(5500 * time.Millisecond)
	fresh := run(24, maxRetries, 22*time.Second)
	return judgeResumed(streams(), fresh())
}

// run starts clients with a time limit, and returns a function that waits for them.
func run(count, retries int, limit time.Duration) func() []*stream {
	var group sync.WaitGroup
	all := make([]*stream, count)
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			all[i] = follow(i, retries, time.Now().Add(limit))
		}()
	}
	return func() []*stream {
		group.Wait()
		return all
	}
}

// judgeResumed applies the rule LOST: of 12 or more streams that clients take up again at machines in touch, the share
// that goes on is not under half of the share of new streams that begin.
func judgeResumed(streams, fresh []*stream) outcome {
	took, wentOn, begun := 0, 0, 0
	for _, s := range streams {
		if s.took {
			took++
		}
		if s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.last > 0 {
			begun++
		}
	}
	note(fmt.Sprintf("taken up in touch: %d, went on: %d; new: %d, begun: %d", took, wentOn, len(fresh), begun))
	fmt.Printf("taken up at machines in touch: %d, went on: %d; new streams: %d, begun: %d\n", took, wentOn, len(fresh), begun)
	if begun == 0 {
		return unable
	}
	if took >= 12 && float64(wentOn)/float64(took) < float64(begun)/float64(len(fresh))/2 {
		return broken
	}
	return held
}
