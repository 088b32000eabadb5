package cmds

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"azurehitch/internal/bench/policy"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newPolicyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "compare policies of keeping replicas on a virtual clock",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "`FILE` with a scenario as JSON; the two users' without it"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the figures as JSON"},
			&cli.StringFlag{Name: "plots", Usage: "`FOLDER` for plots as SVG"},
		},
		Action: runPolicy,
	}
}

func runPolicy(_ context.Context, cmd *cli.Command) error {
	scenarios, err := readScenarios(cmd.StringSlice("scenario"))
	if err != nil {
		return err
	}
	var comparisons []policy.Comparison
	for _, s := range scenarios {
		comparison, err := policy.Compare(s, cmd.Int("seeds"))
		if err != nil {
			return err
		}
		comparisons = append(comparisons, comparison)
		printComparison(cmd.Root().Writer, comparison)
		if folder := cmd.String("plots"); folder != "" {
			if _, err := comparison.Plot(folder); err != nil {
				return err
			}
		}
	}
	if path := cmd.String("json"); path != "" {
		return writeJSON(path, comparisons)
	}
	return nil
}

func readScenarios(paths []string) ([]policy.Scenario, error) {
	if len(paths) == 0 {
		return []policy.Scenario{policy.CiliaLabs(), policy.DairyBoard()}, nil
	}
	var scenarios []policy.Scenario
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "--scenario")
		}
		var s policy.Scenario
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, errors.Wrapf(err, "--scenario %s", path)
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

func printComparison(out io.Writer, c policy.Comparison) {
	for _, s := range c.Summaries {
		suffix := "." + s.Scenario + "." + string(s.Policy)
		printFigure(out, "Requests"+suffix, float64(s.Requests), "requests")
		printFigure(out, "ColdStarts"+suffix, float64(s.ColdStarts), "requests")
		printFigure(out, "ColdStartP99"+suffix, s.ColdStartP99.Seconds(), "s")
		printFigure(out, "IdleHours"+suffix, s.IdleHours, "h")
		printFigure(out, "Loads"+suffix, float64(s.Loads), "loads")
		printFigure(out, "Refused"+suffix, float64(s.Refused), "requests")
		printFigure(out, "LoadsAhead"+suffix, float64(s.LoadsAhead), "loads")
		printFigure(out, "ExcessReplicas"+suffix, float64(s.ExcessReplicas), "replicas")
		printFigure(out, "RefusedLoads"+suffix, float64(s.RefusedLoads), "loads")
		printFigure(out, "PeakRemoteLoads"+suffix, float64(s.PeakRemoteLoads), "loads")
		printFigure(out, "TrialWaitP99"+suffix, s.TrialWaitP99.Seconds(), "s")
		printFigure(out, "TrialRefused"+suffix, float64(s.TrialRefused), "requests")
		printFigure(out, "TrialsMoved"+suffix, float64(s.TrialsMoved), "requests")
	}
	learned, fixed, offline := c.Summary(policy.Learned), c.Summary(policy.Fixed), c.Summary(policy.Offline)
	printFigure(out, "ColdStartP99Ratio."+c.Scenario, learned.ColdStartP99.Seconds()/offline.ColdStartP99.Seconds(), "ratio")
	printFigure(out, "ColdStartP99ToFixed."+c.Scenario, learned.ColdStartP99.Seconds()/fixed.ColdStartP99.Seconds(), "ratio")
	printFigure(out, "IdleHoursRatio."+c.Scenario, learned.IdleHours/fixed.IdleHours, "ratio")
	printFigure(out, "PaidDisplacedByTrial."+c.Scenario, float64(learned.Displaced), "requests")
	printFigure(out, "LateOrDropped."+c.Scenario, float64(learned.Late+learned.Unended), "requests")
}
