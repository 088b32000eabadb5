package main

import "time"

// playCrashes kills all daemons four times, 7.5 seconds apart, starts them again 2 seconds later, and asks for other models afterwards than
// before. RECOVER holds if a quarter of the requests sent later than recovery_s after that is served.
func playCrashes(in *installation) int {
	const (
		kills      = 4
		between    = 7500 * time.Millisecond
		down       = 2 * time.Second
		recovery   = 12 * time.Second
		rate       = 10
		beforeSpan = 14 * time.Second
		afterSpan  = 40 * time.Second
	)
	start := time.Now()
	in.rec.say("phase 1: requests for models 2 to 8, of which 4 to 8 have to be loaded")
	in.clients.traffic(rate, start.Add(beforeSpan), modelNames(2, 9)...)
	lastStart := time.Now()
	for range kills {
		if in.trouble {
			in.killAll(down)
		}
		lastStart = time.Now()
		in.clients.traffic(rate, lastStart.Add(between-down), modelNames(2, 9)...)
	}
	in.rec.say("phase 2: requests for models 12 to 16, all of which have to be loaded")
	from := lastStart.Add(recovery)
	in.clients.traffic(rate, from.Add(afterSpan-recovery), modelNames(12, 17)...)
	in.clients.waiting.Wait()

	sentBefore, servedBefore := in.clients.share(start, start.Add(beforeSpan))
	sent, served := in.clients.share(from, time.Now())
	in.led.mu.Lock()
	orders := 0
	for _, o := range in.led.orders {
		if o.at.After(lastStart) {
			orders++
		}
	}
	in.led.mu.Unlock()
	in.rec.say("before the first kill: %d requests sent, %d served", sentBefore, servedBefore)
	in.rec.say("from 12 s after the last start on: %d requests sent, %d served; orders since that start: %d", sent, served, orders)
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
