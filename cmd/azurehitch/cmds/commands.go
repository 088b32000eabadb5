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
	// ExitFailure is any failure that no other code names.
	ExitFailure = 1
	// ExitUsage is a command line or a setting that is not allowed.
	ExitUsage = 2
	// ExitRefused is a table that was refused.
	ExitRefused = 3
	// ExitConflict is a publication that lost against another.
	ExitConflict = 4
)

const envPrefix = "AZUREHITCH_"

// errUsage is a command line that does not fit.
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
	var field *gateway.ErrSetting
	var usage *errUsage
	var failure *operator.ErrFailure
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &setting), errors.As(err, &field), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &failure) && failure.Code == operator.FailureInvalidTables:
		return ExitRefused
	case errors.As(err, &failure) && failure.Code == operator.FailureConflict:
		return ExitConflict
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
allowed, 3 tables that were refused, 4 a publication that lost against another.`,
		// Errors are printed and turned into exit codes by Run.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newServeCommand(), newGatewayCommand(), newConfigCommand(), newDaemonsCommand(), newPoolsCommand(), newDrainCommand(),
			newExplainCommand(),
		},
	}
	typeUsageErrors(command)
	return command
}

// typeUsageErrors makes the usage errors of a command and those below it *errUsage.
func typeUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &errUsage{cause: err}
	}
	for _, child := range command.Commands {
		typeUsageErrors(child)
	}
}

func env(name string) cli.ValueSourceChain { return cli.EnvVars(envPrefix + name) }
