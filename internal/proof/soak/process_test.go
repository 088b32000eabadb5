package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	settingsVariable = "AZUREHITCH_SETTINGS"
	restartPause     = 150 * time.Millisecond
)

// exit describes how a process ended.
type exit struct {
	daemon int
	// signal is the signal that ended the process; 0 if it exited unexpectedly.
	signal syscall.Signal
	// took is the time from the first signal that ends the process to its exit.
	took time.Duration
	err  error
	// beforeStart is true if the signal ended the process before it wrote a line: it had not begun to
	// handle signals.
	beforeStart bool
}

// process is a daemon that is restarted whenever its process exits.
type process struct {
	number int
	binary string
	// otherBinary is run in turn with binary; empty for none.
	otherBinary string
	flags       []string
	dir         string
	settings    platformtest.Settings
	onExit      func(exit)
	group       errgroup.Group

	// stopping is held while a run with planned work only stops the process.
	stopping sync.Mutex

	mu          sync.Mutex
	cmd         *exec.Cmd
	endSignal   syscall.Signal
	signalledAt time.Time
	stopped     bool
	// pause is the delay of the next restart.
	pause time.Duration
	// starts counts the processes started so far.
	starts int
}

// run starts the daemon in the background and restarts it after each exit, until stop is called.
func (p *process) run() error {
	if err := p.writeSettings(p.settings); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(p.dir, p.settings.Name+".log"))
	if err != nil {
		return err
	}
	p.group.Go(func() error {
		defer logs.Close()
		for {
			before, err := logs.Stat()
			if err != nil {
				return err
			}
			cmd, err := p.start(logs)
			if cmd == nil || err != nil {
				return err
			}
			waitErr := cmd.Wait()
			after, err := logs.Stat()
			if err != nil {
				return err
			}
			p.recordExit(waitErr, after.Size() == before.Size())
		}
	})
	return nil
}

func (p *process) writeSettings(settings platformtest.Settings) error {
	return os.WriteFile(p.settingsPath(), []byte(settings.Text()), 0o600)
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.settings.Name+".yaml") }

// start starts the next process. It returns nil when the daemon is stopped.
func (p *process) start(logs *os.File) (*exec.Cmd, error) {
	p.mu.Lock()
	pause := p.pause
	p.mu.Unlock()
	time.Sleep(pause)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, nil
	}
	cmd := exec.Command(p.nextBinary(), append([]string{"gateway"}, p.flags...)...)
	cmd.Env = append(os.Environ(), settingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	p.cmd, p.endSignal, p.pause = cmd, 0, restartPause
	p.starts++
	return cmd, nil
}

// nextBinary returns the program of the next process. The caller holds the mutex.
func (p *process) nextBinary() string {
	if p.otherBinary != "" && (p.number+p.starts)%2 == 0 {
		return p.otherBinary
	}
	return p.binary
}

func (p *process) recordExit(err error, silent bool) {
	p.mu.Lock()
	ended := exit{
		daemon: p.number, signal: p.endSignal, took: time.Since(p.signalledAt), err: err, beforeStart: silent && isTerminated(err),
	}
	p.cmd = nil
	p.mu.Unlock()
	p.onExit(ended)
}

// isTerminated reports whether SIGTERM ended a process by its default action.
func isTerminated(err error) bool {
	var exited *exec.ExitError
	if !errors.As(err, &exited) {
		return false
	}
	status, ok := exited.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// signal sends a signal if a process runs, and records a signal that ends it. A pause above 0
// delays the next restart. It returns false if no process runs or the signal can't be sent.
func (p *process) signal(signal syscall.Signal, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	if isEnding := signal == syscall.SIGTERM || signal == syscall.SIGKILL; isEnding {
		if p.endSignal == 0 {
			p.signalledAt = time.Now()
		}
		// A later kill replaces the signal that was sent before; nothing replaces a kill.
		if p.endSignal != syscall.SIGKILL {
			p.endSignal = signal
		}
		if pause > 0 {
			p.pause = pause
		}
	}
	return p.cmd.Process.Signal(signal) == nil
}

// running returns the number of processes started so far, and whether one is running.
func (p *process) running() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.cmd != nil
}

// stop kills the process without a restart.
func (p *process) stop() error {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL, 0)
	return p.group.Wait()
}

func TestSignalThatEndsProcess(t *testing.T) {
	for _, test := range []struct {
		name string
		sent []syscall.Signal
		want syscall.Signal
	}{
		{"planned stop", []syscall.Signal{syscall.SIGTERM}, syscall.SIGTERM},
		{"kill after a planned stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}, syscall.SIGKILL},
		{"planned stop after a kill", []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}, syscall.SIGKILL},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := &process{cmd: exec.Command("sleep", "10")}
			c.Assert(p.cmd.Start(), qt.IsNil)
			for _, signal := range test.sent {
				p.signal(signal, 0)
			}
			c.Check(p.endSignal, qt.Equals, test.want)
			c.Assert(p.cmd.Wait(), qt.IsNotNil)
		})
	}
}
