package report_test

import (
	"strings"
	"testing"

	"azurehitch"
	"azurehitch/internal/account/directory"
	"azurehitch/internal/account/report"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
)

func daemon(name string, version int64, perSecond float64, served int64) report.Daemon {
	limit := azurehitch.Allowance{Unit: azurehitch.AllowanceUnitTokens, PerSecond: perSecond, Burst: 9}
	entry := azurehitch.AccountEntry{
		ClientAccount: azurehitch.ClientAccount{Name: "hule930", Allowance: limit}, Keys: []azurehitch.KeyHash{azurehitch.HashKey([]byte("secret"))},
	}
	m := metrics.New()
	m.AddForAccount(metrics.AccountRequestsServed, "hule930", "", served)
	m.AddForAccount(metrics.AccountRequestsRefused, "hule930", "allowance_exceeded", 2)
	m.AddForAccount(metrics.AccountUnitsTaken, "hule930", "", 100)
	m.AddForAccount(metrics.AccountUnitsRefunded, "hule930", "", 30)
	return report.New(name, version, directory.New([]azurehitch.AccountEntry{entry, {Position: 1, Faults: []string{"has no keys"}}}), m)
}

// TestTable guards against a table that shows an old limit, loses what another daemon served or hides a faulty
// entry.
func TestTable(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	c.Assert(report.WriteTable(&out, []report.Daemon{daemon("edge-1", 4, 5, 10), daemon("edge-2", 5, 7, 3)}), qt.IsNil)
	lines := strings.Split(out.String(), "\n")
	c.Assert(strings.Fields(lines[1]), qt.DeepEquals, []string{"hule930", "-", "Tokens", "7", "9", "0", "13", "4", "140"})
	c.Assert(lines[2], qt.Equals, "entry 1 (): has no keys")
	c.Assert(strings.Contains(out.String(), "secret"), qt.IsFalse)
}
