package main

import (
	"syscall"
	"time"
)

// playDrill stops the holder, as for a planned restart, and starts it again while the store is away for
// 2 seconds. The store comes back from a copy that was made 2 seconds before the stop. ONE holds if no
// two daemons give orders in turns within lease_ms or with one epoch number.
func playDrill(in *installation) int {
	const (
		away      = 2 * time.Second
		copyAge   = 5 * time.Second
		rate      = 10
		lease     = 3 * time.Second
		drillAt   = 10 * time.Second
		firstSpan = 3 * time.Second
		lastSpan  = 30 * time.Second
	)
	in.rec.say("traffic begins")
	go in.clients.rotate(rate, in.rec.start.Add(drillAt+away+lastSpan), in.models)
	time.Sleep(time.Until(in.rec.start.Add(drillAt)))
	holder := in.daemonNamed(in.lastOwner())
	if holder == nil {
		in.rec.say("not run: no orders yet")
		return exitNotRun
	}
	in.rec.say("the holder %s gets SIGTERM", holder.name)
	copied := time.Now().Add(firstSpan - copyAge)
	stopped := time.Now()
	holder.signal(syscall.SIGTERM)
	time.Sleep(time.Until(stopped.Add(firstSpan)))
	in.rec.say("the holder is now %s", in.lastOwner())
	if in.trouble {
		in.store.setDown(true)
		in.store.comeBackFrom(copied)
		in.rec.say("the store is away")
	}
	time.Sleep(away / 2)
	if err := holder.start(); err != nil {
		return exitNotRun
	}
	time.Sleep(away / 2)
	if in.trouble {
		in.store.setDown(false)
		in.rec.say("the store is back, from a copy that was %v old when it went away", copyAge)
	}
	time.Sleep(lastSpan)
	in.clients.waiting.Wait()
	return in.judgeOne(lease)
}

func (in *installation) daemonNamed(name string) *daemon {
	for _, d := range in.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (in *installation) lastOwner() string {
	in.led.mu.Lock()
	defer in.led.mu.Unlock()
	if len(in.led.orders) == 0 {
		return ""
	}
	return in.led.orders[len(in.led.orders)-1].owner
}

// judgeOne checks the orders to each server by the rule ONE, for servers that don't check epoch numbers:
// two holders with one epoch number, a lower number after a higher one, or holders that take turns: an
// order of one, of the other and of the first again, all within lease_ms. A single hand-over is no turn.
func (in *installation) judgeOne(lease time.Duration) int {
	in.led.mu.Lock()
	defer in.led.mu.Unlock()
	history := map[string][]order{}
	owners := map[int64]string{}
	broken := map[string]int{}
	for _, o := range in.led.orders {
		before := history[o.server]
		history[o.server] = append(before, o)
		problem := ""
		switch n := len(before); {
		case owners[o.token] != "" && owners[o.token] != o.owner:
			problem = "two holders with one epoch number"
		case n > 0 && o.token < before[n-1].token:
			problem = "a lower epoch number after a higher one"
		case n > 1 && before[n-1].owner != o.owner && before[n-2].owner == o.owner && o.at.Sub(before[n-2].at) < lease:
			problem = "holders that take turns within lease_ms"
		}
		owners[o.token] = o.owner
		if problem == "" {
			continue
		}
		if broken[problem]++; broken[problem] > 3 {
			continue
		}
		in.rec.say("ONE is broken: %s, at %s", problem, o.server)
		for _, shown := range history[o.server][max(len(before)-2, 0):] {
			in.rec.say("    %8.3f owner=%s fencing_token=%d %s %s", in.rec.seconds(shown.at), shown.owner, shown.token, shown.operation, shown.model)
		}
	}
	in.rec.say("%d orders; broken: %v", len(in.led.orders), broken)
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
