package gateway_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"azurehitch/internal/standin/serverlink"

	qt "github.com/frankban/quicktest"
)

// pauseTime is how long a process is paused.
const pauseTime = 700 * time.Millisecond

// TestRelayEndsWhileDaemonsAreCut disturbs a daemon that serves for cut ones, as real processes. Its own callers
// don't count.
func TestRelayEndsWhileDaemonsAreCut(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(p *daemonProcess){
		"killed":       (*daemonProcess).kill,
		"planned stop": func(p *daemonProcess) { p.signal(syscall.SIGTERM) },
		"paused": func(p *daemonProcess) {
			p.signal(syscall.SIGSTOP)
			defer p.signal(syscall.SIGCONT)
			// The context never ends.
			_ = sleep(context.Background(), pauseTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withCutFleetOf(t, (*cutFleet).startProcess, func(f *cutFleet) {
				relay := f.daemons[0]
				made, tries := f.cutWhileSending(serverlink.Hanging, f.daemons[1:3], func() {
					f.Assert(sleep(context.Background(), 2*noticeTime), qt.IsNil)
					disturb(relay.process)
				})
				made.stopped = relay
				f.assertPromises(tries)
				f.assertServedAlike(made, tries)
			})
		})
	}
}
