package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"azurehitch/internal/admin/operator"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	flagAdmin  = "admin"
	flagKey    = "admin-key"
	flagRoutes = "routes"
	flagPools  = "pools"
	flagBase   = "base"
	flagAuthor = "author"
	flagJSON   = "json"
)

func adminFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagAdmin, Value: "127.0.0.1:8082", Usage: "administration `ADDRESS` of a daemon", Sources: env("ADMIN")},
		&cli.StringFlag{Name: flagKey, Usage: "operators' `KEY`; better set by the environment", Sources: env("ADMIN_KEY")},
	}, extra...)
}

func adminClient(cmd *cli.Command) *operator.Client {
	return operator.NewClient(cmd.String(flagAdmin), cmd.String(flagKey))
}

func tableFlags(extra ...cli.Flag) []cli.Flag {
	return adminFlags(append([]cli.Flag{
		&cli.StringFlag{Name: flagRoutes, Usage: "`FILE` with the table of routes; without it that table stays"},
		&cli.StringFlag{Name: flagPools, Usage: "`FILE` with the table of pools; without it that table stays"},
	}, extra...)...)
}

func newConfigCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, publish and show the two tables",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check tables without publishing them", Flags: tableFlags(), Action: runCheck},
			{
				Name: "publish", Usage: "publish tables", Action: runPublish,
				Flags: tableFlags(
					&cli.Int64Flag{Name: flagBase, Usage: "`VERSION` that the tables were edited from; 0 for the first"},
					&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` that others see; the user by default", Sources: env("AUTHOR")},
				),
			},
			{Name: "show", Usage: "show the tables in force", Flags: adminFlags(), Action: runShow},
		},
	}
}

func readPublication(cmd *cli.Command) (operator.Publication, error) {
	var p operator.Publication
	for _, table := range []struct {
		flag        string
		destination *json.RawMessage
	}{{flagRoutes, &p.Routes}, {flagPools, &p.Pools}} {
		path := cmd.String(table.flag)
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return p, errors.Wrapf(err, "--%s", table.flag)
		}
		if !json.Valid(text) {
			return p, invalidTable(table.flag, text)
		}
		*table.destination = text
	}
	return p, nil
}

// invalidTable returns the error for a file that is not JSON, with the line of the syntax
// error.
func invalidTable(flag string, text []byte) error {
	var ignored any
	err := json.Unmarshal(text, &ignored)
	place := "--" + flag
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		place = fmt.Sprintf("--%s line %d", flag, strings.Count(string(text[:syntax.Offset]), "\n")+1)
	}
	return &operator.ErrFailure{Failure: operator.Failure{
		Code: operator.FailureInvalidTables, Reason: "the file is not JSON",
		Mistakes: []operator.Mistake{{Place: place, Reason: fmt.Sprint(err)}},
	}}
}

func runCheck(ctx context.Context, cmd *cli.Command) error {
	p, err := readPublication(cmd)
	if err != nil {
		return err
	}
	if err := adminClient(cmd).Check(ctx, p); err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, "valid")
	return err
}

func runPublish(ctx context.Context, cmd *cli.Command) error {
	if !cmd.IsSet(flagBase) {
		return &errUsage{cause: errors.Errorf("--%s is missing: the version that the tables were edited from, 0 for the first", flagBase)}
	}
	p, err := readPublication(cmd)
	if err != nil {
		return err
	}
	p.Base = cmd.Int64(flagBase)
	p.Author = authorName(cmd)
	published, err := adminClient(cmd).Publish(ctx, p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "version %d is in force\n", published.Version)
	return err
}

func authorName(cmd *cli.Command) string {
	if author := cmd.String(flagAuthor); author != "" {
		return author
	}
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func runShow(ctx context.Context, cmd *cli.Command) error {
	shown, err := adminClient(cmd).Tables(ctx)
	if err != nil {
		return err
	}
	return writeJSON(cmd.Root().Writer, shown)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func newDaemonsCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemons",
		Usage: "show the version in force on each daemon",
		Flags: adminFlags(&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			statuses, err := adminClient(cmd).Daemons(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool(flagJSON) {
				return writeJSON(cmd.Root().Writer, statuses)
			}
			return writeDaemons(cmd.Root().Writer, statuses)
		},
	}
}

func writeDaemons(w io.Writer, statuses []operator.DaemonStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tREACHED\tVERSION\tFOLDED\tDRAINING\tREQUESTS\tPOOLS")
	for _, s := range statuses {
		fmt.Fprintf(table, "%s\t%t\t%d\t%d\t%t\t%d\t%s\n", s.Daemon, s.Reached, s.ConfigurationVersion, s.FoldedTo,
			s.Draining, s.RequestsInProgress, strings.Join(s.PoolsHeld, ","))
	}
	return table.Flush()
}

func newPoolsCommand() *cli.Command {
	return &cli.Command{
		Name:  "pools",
		Usage: "show pools, replicas, leases and waiting requests as one daemon sees them",
		Flags: adminFlags(&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			statuses, err := adminClient(cmd).Pools(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool(flagJSON) {
				return writeJSON(cmd.Root().Writer, statuses)
			}
			return writePools(cmd.Root().Writer, statuses)
		},
	}
}

func writePools(w io.Writer, statuses []operator.PoolStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POOL\tHOLDER\tTOKEN\tRUNNING\tWAITING\tSERVER\tREACHED\tLEAVING\tRETIRED\tMEMORY\tREPLICAS")
	for _, s := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t\t\t\t\t\t\n", s.Name, s.Holder, s.Token, s.Running, s.Waiting)
		if s.Held == nil {
			continue
		}
		for _, server := range s.Held.Servers {
			fmt.Fprintf(table, "\t\t\t\t\t%s\t%t\t%t\t%t\t%v/%v\t%s\n", server.Name, server.Reached, server.Leaving,
				server.Retired, server.MemoryInUse, server.Memory, replicasText(server.Replicas))
		}
	}
	return table.Flush()
}

func replicasText(replicas []operator.Replica) string {
	texts := make([]string, 0, len(replicas))
	for _, r := range replicas {
		texts = append(texts, fmt.Sprintf("%s=%s", r.Artifact, r.State))
	}
	return strings.Join(texts, " ")
}

func newDrainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start a planned stop of the daemon at --admin",
		Flags: adminFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return adminClient(cmd).Drain(ctx)
		},
	}
}
