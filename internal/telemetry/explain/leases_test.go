package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"azurehitch/internal/telemetry/explain"

	qt "github.com/frankban/quicktest"
)

// folded returns the log line of a daemon that has folded a record.
func folded(daemon string, offset int, fields string) string {
	return fmt.Sprintf(`{"time":"2026-01-07T15:22:%02d.100Z","Daemon":%q,"Layer":"lease","Era":1,"Offset":%d,%s}`, offset, daemon, offset, fields)
}

// leaseRows returns the rows of the table of leases without its header.
func leaseRows(c *qt.C, lines ...string) []string {
	c.Helper()
	var out strings.Builder
	c.Assert(explain.WriteLeases(&out, read(c, lines...)), qt.IsNil)
	var rows []string
	for _, row := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
		rows = append(rows, strings.Join(strings.Fields(row), " "))
	}
	return rows
}

func TestLeases(t *testing.T) {
	const (
		claimed  = `"Event":"Claimed","Service":"llm","Holder":"edge-1","message":"lease record folded"`
		rejected = `"Event":"ClaimRejected","Service":"llm","Holder":"edge-1","Seen":0,"LastOffset":4,"message":"lease record folded"`
	)
	t.Run("a claim on which all daemons agree is one row", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(leaseRows(c, folded("edge-2", 7, claimed), folded("edge-1", 7, claimed)), qt.DeepEquals,
			[]string{"15:22:07.100 1 7 llm edge-1 Claimed edge-1 edge-2"})
	})
	t.Run("daemons that disagree on a claim", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(leaseRows(c, folded("edge-2", 7, rejected), folded("edge-1", 7, claimed)), qt.DeepEquals, []string{
			"15:22:07.100 1 7 llm edge-1 FOLDS DIFFER: ClaimRejected: names 0, last 4 edge-2",
			"15:22:07.100 1 7 llm edge-1 FOLDS DIFFER: Claimed edge-1",
		})
	})
	t.Run("digests are shown where they differ", func(t *testing.T) {
		c := qt.New(t)
		digest := func(text string) string { return fmt.Sprintf(`"Digest":%q,"message":"fold of the leases"`, text) }
		rows := leaseRows(c, folded("edge-1", 8, digest("a")), folded("edge-2", 8, digest("a")), folded("edge-1", 16, digest("b")), folded("edge-2", 16, digest("c")))
		c.Assert(rows, qt.DeepEquals, []string{
			"15:22:16.100 1 16 FOLDS DIFFER: digest b edge-1", "15:22:16.100 1 16 FOLDS DIFFER: digest c edge-2",
		})
	})
	t.Run("positions at which folds differ", func(t *testing.T) {
		c := qt.New(t)
		digest := func(text string) string { return fmt.Sprintf(`"Digest":%q,"message":"fold of the leases"`, text) }
		log := read(c, folded("edge-1", 6, claimed), folded("edge-2", 6, claimed), folded("edge-2", 7, rejected), folded("edge-3", 7, claimed),
			folded("edge-1", 7, claimed), folded("edge-1", 8, digest("a")), folded("edge-2", 8, digest("b")))
		c.Assert(explain.FoldDifferences(log), qt.DeepEquals, []explain.FoldDifference{
			{Era: 1, Offset: 7, Daemons: map[string][]string{"Claimed": {"edge-1", "edge-3"}, "ClaimRejected: names 0, last 4": {"edge-2"}}},
			{Era: 1, Offset: 8, Daemons: map[string][]string{"digest a": {"edge-1"}, "digest b": {"edge-2"}}},
		})
	})
}
