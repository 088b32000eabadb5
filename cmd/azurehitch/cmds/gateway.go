package cmds

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
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

// settingsInterval is how often the settings file is compared: it may change without a
// signal.
const settingsInterval = time.Second

func newGatewayCommand() *cli.Command {
	path := platform.SettingsPath()
	level := "info"
	vouchFrom := gateway.DefaultSettings().VouchFrom
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the daemon that passes requests through by host and path, on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings", Value: path, Destination: &path},
			stringFlag(&level, "log-level", "lowest level of log lines: debug, info, warn or error"),
			&cli.IntFlag{
				Name: "vouch-from", Usage: "`NUMBER` of daemons from which on a holder reads the table and the list for all",
				Value: vouchFrom, Destination: &vouchFrom,
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runGateway(ctx, path, level, vouchFrom, cmd.Root().Writer)
		},
	}
}

func runGateway(ctx context.Context, path, level string, vouchFrom int, output io.Writer) error {
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
	s.VouchFrom = vouchFrom
	logs := logging.New(logging.Options{Output: output, Level: level, Daemon: s.Name, NonBlocking: true})
	daemon, err := gateway.New(s, platform.Connect(s, azurehitch.SystemClock{}, logs))
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	watch := settingsWatch{path: path, content: content, daemon: daemon, logger: logs.Layer(logging.LayerDaemon)}
	var group errgroup.Group
	group.Go(func() error {
		watch.run(running, hangups)
		return nil
	})
	err = daemon.Run(ctx)
	stop()
	// The watch returns no error.
	_ = group.Wait()
	logs.Close()
	return err
}

// settingsWatch reloads the settings file when it has changed.
type settingsWatch struct {
	path    string
	content []byte
	daemon  *gateway.Daemon
	logger  *log.Logger
}

func (w *settingsWatch) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
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

func (w *settingsWatch) reload() {
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
