package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryMB is memory_mb in the settings. The platform kills a process that exceeds it.
const memoryMB = 284

// residentMB returns the resident memory of the process.
func (d *daemon) residentMB() int {
	d.mu.Lock()
	command := d.command
	d.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// limitMemory is the platform's memory limit: it kills the process whenever it exceeds memory_mb, and starts it again, until done is
// closed. It returns how often that happened and the largest memory seen.
func (d *daemon) limitMemory(done <-chan struct{}) (kills, most int) {
	for {
		select {
		case <-done:
			return kills, most
		case <-time.After(50 * time.Millisecond):
		}
		resident := d.residentMB()
		most = max(most, resident)
		if resident <= memoryMB {
			continue
		}
		d.rec.say("%s: %d MB resident, over memory_mb (%d): killed", d.name, resident, memoryMB)
		kills++
		d.signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			d.rec.say("%s: %v", d.name, err)
			return kills, most
		}
	}
}

// playBodies sends requests with bodies of max_body_bytes, for streams of six seconds, and 2.4 times as
// many in four bursts. The entry Fault of the rules holds if fewer than two daemons end by themselves three times.
func playBodies(in *installation) int {
	const (
		usual    = 18.0
		burst    = 2.4
		bursts   = 4
		between  = 12 * time.Second
		length   = 6 * time.Second
		mostEnds = 3
		machines = 2
	)
	in.clients.body = strings.Repeat("p", 4194304)
	done := make(chan struct{})
	type outcome struct{ kills, most int }
	outcomes := make(chan outcome)
	for _, d := range in.daemons {
		go func() {
			kills, most := d.limitMemory(done)
			outcomes <- outcome{kills, most}
		}()
	}
	start := time.Now()
	for range bursts {
		in.clients.traffic(usual, time.Now().Add(between), modelNames(0, in.models)...)
		rate := usual
		if in.trouble {
			rate = usual * burst
		}
		in.rec.say("%v requests per second", rate)
		in.clients.traffic(rate, time.Now().Add(length), modelNames(0, in.models)...)
	}
	sent, served := in.clients.share(start, time.Now())
	close(done)
	broken := 0
	for range in.daemons {
		o := <-outcomes
		in.rec.say("a daemon of %d: ended %d times over memory_mb, at most %d MB", len(in.daemons), o.kills, o.most)
		if o.kills >= mostEnds {
			broken++
		}
	}
	in.rec.say("%d requests sent, %d served so far", sent, served)
	if broken >= machines {
		in.rec.say("Fault: on %d machines processes ended three times", broken)
		return exitBroken
	}
	return exitHeld
}
