package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"azurehitch/platform/platformtest"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	settingsVariable = "AZUREHITCH_SETTINGS"
	restartPause     = 150 * time.Millisecond
)

// exit is the end of a process.
type exit struct {
	daemon int
	// asked is the signal that ended it; 0 if it ended by itself.
	asked syscall.Signal
	took  time.Duration
	err   error
}

// process is a daemon that is started again whenever it ends.
type process struct {
	number   int
	binary   string
	flags    []string
	dir      string
	settings platformtest.Settings
	onExit   func(exit)
	group    errgroup.Group

	mu      sync.Mutex
	cmd     *exec.Cmd
	asked   syscall.Signal
	askedAt time.Time
	stopped bool
	// pause is how long the next restart takes.
	pause time.Duration
	// starts counts the processes.
	starts int
}

// run keeps the daemon running until it is stopped.
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
			cmd, err := p.start(logs)
			if cmd == nil || err != nil {
				return err
			}
			p.ended(cmd.Wait())
		}
	})
	return nil
}

func (p *process) writeSettings(settings platformtest.Settings) error {
	return os.WriteFile(p.settingsPath(), []byte(settings.Text()), 0o600)
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.settings.Name+".yaml") }

// start starts the next process; none when the daemon is stopped.
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
	cmd := exec.Command(p.binary, append([]string{"gateway"}, p.flags...)...)
	cmd.Env = append(os.Environ(), settingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	p.cmd, p.asked, p.pause = cmd, 0, restartPause
	p.starts++
	return cmd, nil
}

func (p *process) ended(err error) {
	p.mu.Lock()
	ended := exit{daemon: p.number, asked: p.asked, took: time.Since(p.askedAt), err: err}
	p.cmd = nil
	p.mu.Unlock()
	p.onExit(ended)
}

// signal sends a signal, if a process runs. One that ends the process is noted.
func (p *process) signal(signal syscall.Signal, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	if ends := signal == syscall.SIGTERM || signal == syscall.SIGKILL; ends {
		if p.asked == 0 {
			p.askedAt = time.Now()
		}
		// A kill counts, whatever was asked before.
		if p.asked = signal; pause > 0 {
			p.pause = pause
		}
	}
	return p.cmd.Process.Signal(signal) == nil
}

// running returns the number of the running process, and false if there is none.
func (p *process) running() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.cmd != nil
}

// stop ends the daemon for good.
func (p *process) stop() error {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL, 0)
	return p.group.Wait()
}
