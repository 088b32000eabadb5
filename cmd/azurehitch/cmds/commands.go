// Package cmds builds the commands of azurehitch.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args, os.Stdout, os.Stderr))
package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"azurehitch/internal/admin/operator"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/daemon/settings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	ExitSuccess = 0
	// ExitFailure reports any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage reports an invalid command line or setting.
	ExitUsage = 2
	// ExitRefused reports that the tables were refused as invalid.
	ExitRefused = 3
	// ExitDifferences reports that a configuration differs from the one in force, if that was asked for.
	ExitDifferences = 3
	// ExitConflict reports that another publication came first.
	ExitConflict = 4
)

const envPrefix = "AZUREHITCH_"

// errUsage is an error in the command line.
type errUsage struct{ cause error }

// Error implements error.
func (e *errUsage) Error() string { return e.cause.Error() }

// Run runs the command line and returns the exit code. Output goes to stdout,
// errors and logs to stderr.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot(stdout, stderr).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(stderr, "azurehitch:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var setting *settings.ErrSetting
	var gatewaySetting *gateway.ErrSetting
	var usage *errUsage
	var failure *operator.ErrFailure
	var differs *errDiffers
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &setting), errors.As(err, &gatewaySetting), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &failure) && failure.Code == operator.FailureInvalidTables:
		return ExitRefused
	case errors.As(err, &failure) && failure.Code == operator.FailureConflict:
		return ExitConflict
	case errors.As(err, &differs):
		return ExitDifferences
	}
	return ExitFailure
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	command := &cli.Command{
		Name:      "azurehitch",
		Usage:     "serve rarely used models to paying and trial callers",
		Writer:    stdout,
		ErrWriter: stderr,
		Description: `Each entry host runs "azurehitch serve". Operators use the other commands.
Each flag can be set by the environment variable that its help names.

Exit codes: 0 success, 1 failure, 2 a command line or setting that is not
allowed, 3 tables that were refused, or differences that were asked for,
4 a publication that lost against another.`,
		// Run prints errors and maps them to exit codes.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newServeCommand(), newGatewayCommand(), newConfigCommand(), newDaemonsCommand(), newPoolsCommand(), newDrainCommand(),
			newExplainCommand(), newAccountsCommand(), newCheckConfigCommand(),
		},
	}
	wrapUsageErrors(command)
	return command
}

// wrapUsageErrors wraps the usage errors of a command and its subcommands in *errUsage.
func wrapUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &errUsage{cause: err}
	}
	for _, child := range command.Commands {
		wrapUsageErrors(child)
	}
}

func env(name string) cli.ValueSourceChain { return cli.EnvVars(envPrefix + name) }
