package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"

	"azurehitch/internal/standin/serverlink"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// daemonVariable is set in the environment of a process that is to run a daemon in place of the tests. Its value is
// the name of the daemon, its failure domain and the address of the store, separated by spaces.
const daemonVariable = "AZUREHITCH_TEST_DAEMON"

func TestMain(m *testing.M) {
	arguments := strings.Fields(os.Getenv(daemonVariable))
	if len(arguments) == 0 {
		os.Exit(m.Run())
	}
	if err := runDaemonProcess(arguments[0], arguments[1], arguments[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runDaemonProcess runs a daemon until SIGTERM. It prints the listen address for callers, and sets the link to
// the states that it reads, one a line.
func runDaemonProcess(name, failureDomain, store string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	link, err := serverlink.New(connpool.DirectDialer{})
	if err != nil {
		return err
	}
	daemon, _, err := newLinkedDaemon(linkedSettings(name, failureDomain, store), link)
	if err != nil {
		return err
	}
	fmt.Println(daemon.Addresses().Callers)
	// The reader ends with the process: a read of the standard input can't be interrupted.
	var reader errgroup.Group
	reader.Go(func() error {
		defer stop()
		states := bufio.NewScanner(os.Stdin)
		for states.Scan() {
			link.Set(serverlink.State(states.Text()))
		}
		return states.Err()
	})
	return daemon.Run(ctx)
}

// daemonProcess is a daemon in a process of its own.
type daemonProcess struct {
	cmd    *exec.Cmd
	states io.WriteCloser

	mu       sync.Mutex
	isKilled bool
}

// startProcess starts a daemon in a process of its own.
func (f *cutFleet) startProcess(t *testing.T, i int, group *errgroup.Group) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=daemon-%d %s %s", daemonVariable, i, failureDomain(i), f.address))
	cmd.Stderr = os.Stderr
	states, err := cmd.StdinPipe()
	f.Assert(err, qt.IsNil)
	output, err := cmd.StdoutPipe()
	f.Assert(err, qt.IsNil)
	f.Assert(cmd.Start(), qt.IsNil)
	p := &daemonProcess{cmd: cmd, states: states}
	t.Cleanup(func() {
		// The process has ended already unless the test failed.
		_ = cmd.Process.Kill()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	f.Assert(err, qt.IsNil)
	f.daemons = append(f.daemons, &linkedDaemon{
		callers: strings.TrimSpace(address), failureDomain: failureDomain(i), setLink: p.setLink, stop: func() { p.signal(syscall.SIGTERM) }, process: p,
	})
	group.Go(p.wait)
}

// setLink changes the state of the link of a daemon that runs.
func (p *daemonProcess) setLink(state serverlink.State) {
	// A daemon that was killed has no link.
	_, _ = fmt.Fprintln(p.states, state)
}

// signal sends a signal unless the process has ended.
func (p *daemonProcess) signal(signal syscall.Signal) {
	// A process that was killed takes no signal.
	_ = p.cmd.Process.Signal(signal)
}

func (p *daemonProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isKilled = true
	p.signal(syscall.SIGKILL)
}

// wait returns an error if the process has ended in another way than by kill or a planned stop.
func (p *daemonProcess) wait() error {
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isKilled {
		return nil
	}
	return errors.Wrap(err, "daemon")
}
