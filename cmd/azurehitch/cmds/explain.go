package cmds

import (
	"context"
	"os"
	"time"

	"azurehitch/internal/telemetry/explain"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	flagRequest = "request"
	flagWindow  = "window"
	flagLeases  = "leases"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs what became of requests, and why",
		ArgsUsage: "[FILE...]",
		Description: `Reads the logs of any number of hosts, from files or from the standard input, and
prints how many requests of each route were late, refused or failed, by cause. With
--request, it prints every line that names one request or server instead, and with --leases
who held which lease under which token, and where the daemons disagree.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagRequest, Usage: "print every line that names the request or server with this `ID`"},
			&cli.BoolFlag{Name: flagLeases, Usage: "print the claims and releases of leases, with what each daemon made of them"},
			&cli.DurationFlag{Name: flagWindow, Usage: "print what became of the requests of each `SPAN` of time instead of routes"},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	log, err := readLogs(cmd)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if id := cmd.String(flagRequest); id != "" {
		return explain.WriteRequest(out, log, id)
	}
	if cmd.Bool(flagLeases) {
		return explain.WriteLeases(out, log)
	}
	if span := cmd.Duration(flagWindow); span > 0 {
		return explain.WriteWindows(out, log, max(span, time.Millisecond))
	}
	return explain.WriteCauses(out, explain.Causes(log))
}

// readLogs reads and merges the log files in the arguments, or reads the standard input if
// there are none.
func readLogs(cmd *cli.Command) (explain.Log, error) {
	if cmd.Args().Len() == 0 {
		return explain.Read(os.Stdin)
	}
	var logs []explain.Log
	for _, path := range cmd.Args().Slice() {
		log, err := readLogFile(path)
		if err != nil {
			return explain.Log{}, err
		}
		logs = append(logs, log)
	}
	return explain.Merge(logs...), nil
}

func readLogFile(path string) (log explain.Log, err error) {
	file, err := os.Open(path)
	if err != nil {
		return explain.Log{}, errors.Wrap(err, "open log")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return explain.Read(file)
}
