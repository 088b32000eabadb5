package cmds

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/bench/scale"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const outputFileMode = 0o600

// sizeFlags returns the flags for the size of the tables.
func sizeFlags(size *scale.Size) []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "pools", Value: 1, Destination: &size.Pools, Usage: "number of pools"},
		&cli.IntFlag{Name: "servers", Value: 4, Destination: &size.ServersPerPool, Usage: "backend servers of each pool"},
		&cli.IntFlag{Name: "models", Value: 10, Destination: &size.Models, Usage: "models of all pools"},
		&cli.IntFlag{Name: "adapters", Value: 10, Destination: &size.Adapters, Usage: "adapters of all pools"},
	}
}

func newPublicationCommand() *cli.Command {
	var size scale.Size
	return &cli.Command{
		Name:  "publication",
		Usage: "measure what publications cost at a size of the tables",
		Flags: sizeFlags(&size),
		Action: func(_ context.Context, cmd *cli.Command) error {
			cost, err := scale.MeasurePublication(size, azurehitch.SystemClock{})
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			printFigure(out, "TablesBytes", float64(cost.TablesSize), "B")
			printFigure(out, "FirstPublicationBytes", float64(cost.FirstRecordSize), "B")
			printFigure(out, "PublicationBytes", float64(cost.ChangeRecordSize), "B")
			printFigure(out, "SnapshotBytes", float64(cost.SnapshotSize), "B")
			printFigure(out, "PublicationFold", cost.ApplyTime.Seconds()*1000, "ms")
			return nil
		},
	}
}

func newTablesCommand() *cli.Command {
	var size scale.Size
	return &cli.Command{
		Name:  "tables",
		Usage: "write tables of a size",
		Flags: append(sizeFlags(&size),
			&cli.StringFlag{Name: "engines", Required: true, Usage: "comma-separated `ADDRESSES`"},
			&cli.StringFlag{Name: "into", Required: true, Usage: "`FOLDER` for routes.json and pools.json"},
		),
		Action: func(_ context.Context, cmd *cli.Command) error {
			routes, pools := scale.Tables(size, strings.Split(cmd.String("engines"), ","))
			if err := writeJSON(filepath.Join(cmd.String("into"), "routes.json"), routes); err != nil {
				return err
			}
			return writeJSON(filepath.Join(cmd.String("into"), "pools.json"), pools)
		},
	}
}

func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return errors.Wrap(os.WriteFile(path, text, outputFileMode), "write")
}

func newScaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure what control costs running daemons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admins", Required: true, Usage: "comma-separated administration `ADDRESSES`"},
			&cli.StringFlag{Name: "processes", Required: true, Usage: "comma-separated process `IDS` in the same order"},
			&cli.StringFlag{Name: "suffix", Usage: "`TEXT` after the names of the figures"},
			&cli.DurationFlag{Name: "watch", Value: 15 * time.Second, Usage: "how long to watch"},
		},
		Action: runScale,
	}
}

func runScale(_ context.Context, cmd *cli.Command) error {
	admins := strings.Split(cmd.String("admins"), ",")
	processes := strings.Split(cmd.String("processes"), ",")
	if len(admins) != len(processes) {
		return errors.Errorf("%d addresses and %d processes", len(admins), len(processes))
	}
	var daemons []scale.Daemon
	for i, admin := range admins {
		process, err := strconv.Atoi(processes[i])
		if err != nil {
			return errors.Wrap(err, "--processes")
		}
		daemons = append(daemons, scale.Daemon{AdminAddress: admin, PID: process})
	}
	cost, err := scale.Measure(daemons, cmd.Duration("watch"))
	if err != nil {
		return err
	}
	out, suffix := cmd.Root().Writer, cmd.String("suffix")
	printFigure(out, "ControlCpuShare"+suffix, 100*cost.CPUShare, "percent")
	printFigure(out, "ControlMemory"+suffix, cost.Memory/(1<<20), "MiB")
	printFigure(out, "ControlBytesPerSecond"+suffix, cost.BytesPerSecond, "B/s")
	printFigure(out, "LogAppendsPerSecond"+suffix, cost.AppendsPerSecond, "1/s")
	return nil
}
