package cmds

import (
	"context"
	stderrors "errors"

	"azurehitch/internal/account/report"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newAccountsCommand() *cli.Command {
	return &cli.Command{
		Name:      "accounts",
		Usage:     "show the client accounts of gateways with their limits, use and refusals",
		ArgsUsage: "ADDRESS...",
		Description: `Reads the metrics addresses of any number of gateways and adds up their counts since
their start. Entries of accounts that are not in force are listed with the reason.`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: flagJSON, Usage: "print JSON, each daemon by itself"}},
		Action: runAccounts,
	}
}

func runAccounts(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return &errUsage{cause: errors.New("the metrics address of a gateway is missing")}
	}
	var daemons []report.Daemon
	// A daemon that does not answer doesn't hide the others.
	var failed []error
	for _, address := range cmd.Args().Slice() {
		daemon, err := report.Fetch(ctx, address)
		if err != nil {
			failed = append(failed, err)
			continue
		}
		daemons = append(daemons, daemon)
	}
	write := func() error { return report.WriteTable(cmd.Root().Writer, daemons) }
	if cmd.Bool(flagJSON) {
		write = func() error { return writeJSON(cmd.Root().Writer, daemons) }
	}
	return stderrors.Join(append(failed, write())...)
}
