// Package crowd_test opens crowds of hostile connections at a real daemon process.
package crowd_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// memoryLimit is memory_mb of the daemon, and its resident memory must stay under it.
	memoryLimit  = 112_000_000
	maxBodyBytes = 1 << 20
	// waitTimeout tells a daemon that hangs from a slow machine.
	waitTimeout = 60 * time.Second
	salonHost   = "salon.example"
	storePort   = 9000
)

// daemonBinary builds the daemon once and returns its path.
var daemonBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "azurehitch")
	output, err := exec.Command("go", "build", "-o", path, "azurehitch/cmd/azurehitch").CombinedOutput()
	return path, errors.Wrapf(err, "build: %s", output)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := daemonBinary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

var daemonCount atomic.Int32

// daemon is a daemon process with a store and a plain service below it.
type daemon struct {
	*qt.C
	settings platformtest.Settings
	cmd      *exec.Cmd
	ended    chan error
	// host returns the loopback address of this test with a number.
	host        func(int) string
	work        atomic.Pointer[platformtest.Work]
	descriptors atomic.Int64
	ids         atomic.Int64
}

// startDaemon starts a daemon with a limit on descriptors, and waits until it is ready.
func startDaemon(t *testing.T, maxDescriptors int) *daemon {
	t.Helper()
	number := daemonCount.Add(1)
	d := &daemon{C: qt.New(t), ended: make(chan error, 1), host: func(i int) string {
		return fmt.Sprintf("127.%d.%d.%d", 201+os.Getpid()%50, number, i)
	}}
	d.work.Store(&platformtest.Work{})
	var group errgroup.Group
	t.Cleanup(func() { d.Check(group.Wait(), qt.IsNil) })
	d.startPlatform(&group)
	d.settings = platformtest.Settings{
		Name: "daemon-1", IP: d.host(10), FailureDomain: "reduit", Store: fmt.Sprintf("%s:%d", d.host(1), storePort),
		StopTimeout: 8 * time.Second, Lease: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second,
		LogRetention: 20 * time.Second, Memory: memoryLimit, Processor: 0.8, Bandwidth: 200_000_000, MaxDescriptors: maxDescriptors,
	}
	d.startProcess(&group)
	d.await("the daemon is ready", func() bool {
		response, err := http.Get("http://" + d.settings.Ready())
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
	return d
}

// startPlatform starts the store with the routing table, and a server of the plain service.
func (d *daemon) startPlatform(group *errgroup.Group) {
	store := platformtest.NewStore(nil)
	storeListener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.host(1), storePort))
	d.Assert(err, qt.IsNil)
	storeServer := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	d.Assert(store.PutRouting(azurehitch.RoutingTable{
		Version: 1, Services: map[string]azurehitch.BackendService{"desk": {Name: "desk", MaxConnections: 1000}},
		Routes: []azurehitch.PathRoute{{
			Name: "lookup", Host: salonHost, PathPrefix: "/", Kind: azurehitch.RequestKindIdempotent, Timeout: 30 * time.Second,
			Objective: time.Second, MaxAttempts: 2, Targets: []azurehitch.RouteTarget{{Service: "desk", Weight: 1}},
		}},
		Limits: azurehitch.CallerLimits{
			MaxHeaderBytes: 16384, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
	}), qt.IsNil)
	listener, err := net.Listen("tcp", d.host(2)+":0")
	d.Assert(err, qt.IsNil)
	backend := platformtest.NewBackend(platformtest.BackendOptions{
		ID: "desk-1", Address: listener.Addr().String(), Service: "desk", FailureDomain: "reduit", Slots: 1000,
		Incarnation: time.Now().UnixMilli(), Recorder: platformtest.DiscardRecorder{},
		WorkFor: func(azurehitch.CallerRequest) platformtest.Work { return *d.work.Load() },
	})
	d.Assert(store.PutServer(backend.Entry()), qt.IsNil)
	group.Go(func() error { return backend.Serve(listener) })
	group.Go(func() error {
		if err := storeServer.Serve(storeListener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	d.Cleanup(func() {
		backend.Kill()
		_ = storeServer.Close()
	})
}

func (d *daemon) startProcess(group *errgroup.Group) {
	binary, err := daemonBinary()
	d.Assert(err, qt.IsNil)
	settingsPath := filepath.Join(d.TempDir(), "settings.yaml")
	d.Assert(os.WriteFile(settingsPath, []byte(d.settings.Text()), 0o600), qt.IsNil)
	d.cmd = exec.Command(binary, "gateway")
	d.cmd.Env = append(os.Environ(), "AZUREHITCH_SETTINGS="+settingsPath)
	d.Assert(d.cmd.Start(), qt.IsNil)
	group.Go(func() error {
		d.ended <- d.cmd.Wait()
		close(d.ended)
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error {
		d.sampleDescriptors(ctx)
		return nil
	})
	d.Cleanup(func() {
		cancel()
		_ = d.cmd.Process.Kill()
	})
}

// sampleDescriptors records the largest number of open descriptors of the process.
func (d *daemon) sampleDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)); err == nil {
			d.descriptors.Store(max(d.descriptors.Load(), int64(len(entries))))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *daemon) await(what string, condition func() bool) {
	d.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.Fatalf("timed out: %s", what)
}

// peakMemory returns the largest resident memory of the process so far in bytes.
func (d *daemon) peakMemory() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	d.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			d.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	d.Fatal("the process has no VmHWM")
	return 0
}

// head returns the head of a request of the crowd with further header lines.
func (d *daemon) head(lines ...string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%d\r\nDeadline-Ms: 30000\r\n%s\r\n\r\n",
		salonHost, d.ids.Add(1), strings.Join(lines, "\r\n"))
}

// ask sends an ordinary request from an address outside of the crowd, and reports whether it was answered.
func (d *daemon) ask() bool {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.host(99))}, Timeout: time.Second}
	conn, err := dialer.Dial("tcp", d.settings.Callers())
	if err != nil {
		return false
	}
	defer conn.Close()
	d.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	request := platformtest.CallerRequest{
		ID: fmt.Sprintf("ordinary-%d", d.ids.Add(1)), Method: http.MethodPost, Host: salonHost, URI: "/x", Body: strings.Repeat("o", 4<<10), TimeLeft: 8 * time.Second,
	}
	caller := platformtest.NewCaller(conn)
	if caller.Send(request) != nil {
		return false
	}
	answer, err := caller.Receive(request)
	return err == nil && answer.Status == http.StatusOK && answer.Whole
}

// check checks what a daemon keeps to beside any crowd.
func (d *daemon) check() {
	d.Helper()
	d.await("an ordinary request is answered beside the crowd", d.ask)
	select {
	case err := <-d.ended:
		d.Fatalf("the process ended: %v", err)
	default:
	}
	peak := d.peakMemory()
	d.Logf("%d MB of %d MB, %d descriptors of %d", peak/1_000_000, memoryLimit/1_000_000, d.descriptors.Load(), d.settings.MaxDescriptors)
	d.Check(peak < memoryLimit, qt.IsTrue, qt.Commentf("%d bytes were resident of %d", peak, memoryLimit))
	d.Check(int(d.descriptors.Load()) < d.settings.MaxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors were open", d.descriptors.Load()))
}
