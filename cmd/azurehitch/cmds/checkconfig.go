package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"azurehitch"
	"azurehitch/internal/configuration/check"
	"azurehitch/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	flagCurrent     = "current"
	flagDifferences = "differences-exit"
)

// errDiffers reports that a configuration differs from the one in force.
type errDiffers struct{ count int }

// Error implements error.
func (e *errDiffers) Error() string { return fmt.Sprintf("%d differences", e.count) }

// checkReport is the result of a check.
type checkReport struct {
	File        string
	Version     int64
	Problems    []check.Problem
	Differences []check.Difference
}

func newCheckConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration of the gateway before it is sent",
		ArgsUsage: "FILE",
		Description: `Reads the configuration as daemons do, and prints all errors at once, each with its field
and line. With --current, it also prints what the file changes.

Exit codes: 0 no errors, 1 errors, 2 a command line that is not allowed or a file
that is not readable as JSON, 3 no errors but differences (with --differences-exit).`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagCurrent, Usage: "`FILE` with the configuration in force, to compare with"},
			&cli.BoolFlag{Name: flagDifferences, Usage: "exit with 3 if there are differences"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		},
		Action: runCheckConfig,
	}
}

func runCheckConfig(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &errUsage{cause: errors.New("check-config needs the name of one file")}
	}
	report, err := checkFile(cmd.Args().First(), cmd.String(flagCurrent))
	if err != nil {
		return &errUsage{cause: err}
	}
	write := writeCheckText
	if cmd.Bool(flagJSON) {
		write = writeCheckJSON
	}
	if err := write(cmd.Root().Writer, report); err != nil {
		return err
	}
	switch {
	case len(report.Problems) > 0:
		return errors.Errorf("%s: %d errors", report.File, len(report.Problems))
	case cmd.Bool(flagDifferences) && len(report.Differences) > 0:
		return &errDiffers{count: len(report.Differences)}
	}
	return nil
}

// checkFile checks a file, and compares it with the configuration in force unless its name is empty. The error is
// that of a file that can't be read.
func checkFile(name, currentName string) (checkReport, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return checkReport{}, errors.Wrap(err, "read configuration")
	}
	decoder := platform.Routing{}
	table, problems, err := check.Check(decoder, text)
	if err != nil {
		return checkReport{}, errors.Wrap(err, name)
	}
	report := checkReport{File: name, Version: table.Version, Problems: problems, Differences: []check.Difference{}}
	if currentName != "" {
		current, err := readCurrent(decoder, currentName)
		if err != nil {
			return checkReport{}, err
		}
		report.Problems = append(report.Problems, check.Version(decoder, text, table, current)...)
		report.Differences = append(report.Differences, check.Compare(decoder, current, table)...)
	}
	if report.Problems == nil {
		report.Problems = []check.Problem{}
	}
	return report, nil
}

func readCurrent(decoder azurehitch.RoutingDecoder, name string) (azurehitch.RoutingTable, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return azurehitch.RoutingTable{}, errors.Wrap(err, "read configuration in force")
	}
	table, err := decoder.Decode(text)
	return table, errors.Wrap(err, name)
}

func writeCheckJSON(out io.Writer, report checkReport) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report")
}

func writeCheckText(out io.Writer, report checkReport) error {
	var text strings.Builder
	for _, p := range report.Problems {
		fmt.Fprintf(&text, "%s:%d: %s: %s\n", report.File, p.Line, p.Field, p.Reason)
	}
	for _, d := range report.Differences {
		switch d.Kind {
		case check.DifferenceAdded:
			fmt.Fprintf(&text, "+ %s\n", d.Field)
		case check.DifferenceRemoved:
			fmt.Fprintf(&text, "- %s\n", d.Field)
		default:
			fmt.Fprintf(&text, "~ %s: %s -> %s\n", d.Field, d.Old, d.New)
		}
	}
	fmt.Fprintf(&text, "version %d: %d errors, %d differences\n", report.Version, len(report.Problems), len(report.Differences))
	_, err := io.WriteString(out, text.String())
	return errors.Wrap(err, "write report")
}
