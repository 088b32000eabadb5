package cmds

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/platform"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// settingsPollInterval is the interval at which the settings file is read: it may change without
// a SIGHUP.
const settingsPollInterval = time.Second

func newGatewayCommand() *cli.Command {
	path := platform.SettingsPath()
	level := "info"
	confirmFrom := gateway.DefaultSettings().ConfirmFrom
	hedgeShare := ""
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the daemon that passes requests through by host and path, on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings", Value: path, Destination: &path},
			stringFlag(&level, "log-level", "lowest level of log lines: debug, info, warn or error"),
			&cli.IntFlag{
				Name: "vouch-from", Usage: "`NUMBER` of daemons from which on a holder reads the table and the list for all",
				Value: confirmFrom, Destination: &confirmFrom,
			},
			stringFlag(&hedgeShare, "hedge-share", "hedged calls for each request of a service, from 0 to 1; empty leaves it to the configuration"),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			share, err := parseHedgeShare(hedgeShare)
			if err != nil {
				return err
			}
			override := func(s gateway.Settings) gateway.Settings {
				s.ConfirmFrom, s.HedgeShare = confirmFrom, share
				return s
			}
			return runGateway(ctx, path, level, override, cmd.Root().Writer)
		},
	}
}

// parseHedgeShare parses a share of hedged calls; empty is none. The error is a *gateway.ErrSetting.
func parseHedgeShare(text string) (azurehitch.HedgeShare, error) {
	if text == "" {
		return azurehitch.HedgeShare{}, nil
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return azurehitch.HedgeShare{}, &gateway.ErrSetting{Field: "--hedge-share", Reason: strconv.Quote(text) + " is not a number from 0 to 1"}
	}
	return azurehitch.NewHedgeShare(share), nil
}

// runGateway runs a gateway with the settings of a file, changed by override.
func runGateway(ctx context.Context, path, level string, override func(gateway.Settings) gateway.Settings, output io.Writer) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	s, err := platform.ParseSettings(content)
	if err != nil {
		return err
	}
	s = override(s)
	logs := logging.New(logging.Options{Output: output, Level: level, Daemon: s.Name, NonBlocking: true})
	daemon, err := gateway.New(s, platform.Connect(s, azurehitch.SystemClock{}, logs))
	if err != nil {
		return err
	}
	watcher := settingsWatcher{path: path, content: content, daemon: daemon, logger: logs.Layer(logging.LayerDaemon)}
	err = watcher.runBeside(ctx, hangups, daemon.Run)
	logs.Close()
	return err
}

// settingsWatcher reloads the settings when the content of their file has changed. It reads the
// file once per settingsPollInterval and at each SIGHUP.
type settingsWatcher struct {
	path string
	// content is the content of the file that was read last.
	content []byte
	daemon  reloader
	logger  *log.Logger
}

// reloader is a daemon that takes changed settings.
type reloader interface {
	Reload(settings gateway.Settings)
}

// runBeside runs a daemon and watches the settings until the daemon has ended. A planned stop, which
// begins when the context ends, follows the settings too.
func (w *settingsWatcher) runBeside(ctx context.Context, hangups <-chan os.Signal, run func(context.Context) error) error {
	watching, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		w.run(watching, hangups)
		return nil
	})
	err := run(ctx)
	stop()
	// The watcher returns no error.
	_ = group.Wait()
	return err
}

func (w *settingsWatcher) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.reload()
	}
}

func (w *settingsWatcher) reload() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Error().Err(err).Msg("settings can't be read: the last ones stay in force")
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	s, err := platform.ParseSettings(content)
	if err != nil {
		w.logger.Error().Err(err).Msg("settings are not allowed: the last ones stay in force")
		return
	}
	w.daemon.Reload(s)
}
