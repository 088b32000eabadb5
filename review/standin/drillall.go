package main

import (
	"syscall"
	"time"
)

// playDrillAll stops the holder for a planned restart, as playDrill does, and kills all daemons while the
// store is away. Servers check epoch numbers. RECOVER holds if a quarter of the requests that are sent
// later than recovery_s after that is served.
func playDrillAll(in *installation) int {
	const (
		away      = 2 * time.Second
		copyAge   = 5 * time.Second
		rate      = 10
		drillAt   = 10 * time.Second
		firstSpan = 3 * time.Second
		recovery  = 12 * time.Second
		lastSpan  = 35 * time.Second
	)
	in.rec.say("traffic begins")
	start := time.Now()
	go in.clients.rotate(rate, in.rec.start.Add(drillAt+firstSpan), in.models)
	time.Sleep(time.Until(in.rec.start.Add(drillAt)))
	holder := in.daemonNamed(in.lastOwner())
	if holder == nil {
		in.rec.say("not run: no orders yet")
		return exitNotRun
	}
	in.rec.say("the holder %s gets SIGTERM and starts again", holder.name)
	stopped := time.Now()
	copied := stopped.Add(firstSpan - copyAge)
	holder.signal(syscall.SIGTERM)
	if err := holder.start(); err != nil {
		return exitNotRun
	}
	time.Sleep(time.Until(stopped.Add(firstSpan)))
	in.rec.say("the holder is now %s", in.lastOwner())
	if in.trouble {
		in.store.setDown(true)
		in.store.comeBackFrom(copied)
		in.rec.say("the store is away")
	}
	in.killAll(away / 2)
	time.Sleep(away / 2)
	if in.trouble {
		in.store.setDown(false)
		in.rec.say("the store is back, from a copy that was %v old when it went away", copyAge)
	}
	back := time.Now()
	models := in.unloaded(5)
	in.rec.say("demand moves to %v, which no server holds", models)
	in.clients.traffic(rate, back.Add(lastSpan), models...)
	in.clients.waiting.Wait()
	return in.judgeRecovery(start, stopped, back.Add(recovery))
}

// judgeRecovery compares the requests from start to stopped with those from the time on.
func (in *installation) judgeRecovery(start, stopped, from time.Time) int {
	sentBefore, servedBefore := in.clients.share(start, stopped)
	sent, served := in.clients.share(from, time.Now())
	accepted, refused := in.ordersSince(from)
	in.rec.say("before the stop: %d requests sent, %d served", sentBefore, servedBefore)
	in.rec.say("from 12 s after all were back on: %d requests sent, %d served; %d orders not refused, %d refused with 412", sent, served, accepted, refused)
	switch {
	case servedBefore*4 < sentBefore:
		in.rec.say("not run: under a quarter was served before")
		return exitNotRun
	case served*4 < sent:
		in.rec.say("RECOVER is broken")
		return exitBroken
	}
	return exitHeld
}

// unloaded returns up to count models that no server holds.
func (in *installation) unloaded(count int) []string {
	held := map[string]bool{}
	for _, s := range in.servers {
		s.mu.Lock()
		for _, name := range s.models {
			held[name] = true
		}
		s.mu.Unlock()
	}
	var names []string
	for _, name := range modelNames(0, in.models) {
		if !held[name] && len(names) < count {
			names = append(names, name)
		}
	}
	return names
}

// ordersSince counts the orders since a time: those that servers refused for their epoch number, and the others.
func (in *installation) ordersSince(from time.Time) (accepted, refused int) {
	in.led.mu.Lock()
	defer in.led.mu.Unlock()
	for _, o := range in.led.orders {
		switch {
		case o.at.Before(from):
		case o.status == 412:
			refused++
		default:
			accepted++
		}
	}
	return accepted, refused
}
