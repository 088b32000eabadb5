package cmds

import (
	"context"
	"io"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/platform"

	"github.com/urfave/cli/v3"
)

func newGatewayCommand() *cli.Command {
	path := platform.SettingsPath()
	level := "info"
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the daemon that passes requests through by host and path, on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings", Value: path, Destination: &path},
			stringFlag(&level, "log-level", "lowest level of log lines: debug, info, warn or error"),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runGateway(ctx, path, level, cmd.Root().Writer)
		},
	}
}

func runGateway(ctx context.Context, path, level string, output io.Writer) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	logs := logging.New(logging.Options{Output: output, Level: level, Daemon: s.Name, NonBlocking: true})
	daemon, err := gateway.New(s, platform.Connect(s, azurehitch.SystemClock{}, logs))
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
