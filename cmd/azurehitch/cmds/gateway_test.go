package cmds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/logging"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// fakeDaemon receives changed settings.
type fakeDaemon struct{ reloaded chan gateway.Settings }

// Reload implements reloader.
func (d fakeDaemon) Reload(settings gateway.Settings) { d.reloaded <- settings }

// stopAfterReload waits for a planned stop to begin, and ends it when the settings are reloaded.
func (d fakeDaemon) stopAfterReload(ctx context.Context) error {
	<-ctx.Done()
	select {
	case settings := <-d.reloaded:
		return errors.Errorf("stop timeout %v", settings.StopTimeout)
	case <-time.After(3 * time.Second):
		return errors.New("the settings were not reloaded")
	}
}

// settingsText returns a settings file with a stop timeout.
func settingsText(stopTimeoutSeconds int) []byte {
	return fmt.Appendf(nil, `node_name: daemon-1
ip: 127.0.0.1
listen: {frontend: "127.0.0.1:1", ready: "127.0.0.1:2"}
port_range: [3, 4]
bounds: {grace_s: %d}
platform: {address: "127.0.0.1:5"}
`, stopTimeoutSeconds)
}

func TestSettingsChangedDuringPlannedStopAreIgnored(t *testing.T) {
	for name, signals := range map[string]int{"with a signal": 1, "without a signal": 0} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "settings.yaml")
			c.Assert(os.WriteFile(path, settingsText(2), 0o600), qt.IsNil)
			daemon := fakeDaemon{reloaded: make(chan gateway.Settings, 1)}
			watcher := settingsWatcher{
				path: path, content: settingsText(8), daemon: daemon, logger: logging.Discard().Layer(logging.LayerDaemon),
			}
			hangups := make(chan os.Signal, 1)
			stopping, stop := context.WithCancel(context.Background())
			stop()
			for range signals {
				hangups <- syscall.SIGHUP
			}
			c.Assert(watcher.runBeside(stopping, hangups, daemon.stopAfterReload), qt.ErrorMatches, "stop timeout 2s")
		})
	}
}

// TestHedgeShare guards against a share of hedges that operators did not mean.
func TestHedgeShare(t *testing.T) {
	for text, want := range map[string]azurehitch.HedgeShare{
		"": {}, "0": azurehitch.NewHedgeShare(0), "0.02": azurehitch.NewHedgeShare(0.02), "1": azurehitch.NewHedgeShare(1),
	} {
		got, err := parseHedgeShare(text)
		qt.New(t).Assert(err, qt.IsNil)
		qt.New(t).Assert(got, qt.Equals, want)
	}
	for _, text := range []string{"-0.1", "1.1", "NaN", "2%", "Inf"} {
		code, _, stderr := runCommand("gateway", "--hedge-share", text)
		qt.New(t).Assert(code, qt.Equals, ExitUsage)
		qt.New(t).Assert(stderr, qt.Contains, "--hedge-share")
	}
}
