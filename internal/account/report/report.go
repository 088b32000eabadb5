// Package report lists the client accounts of gateways with their limits, use and refusals.
//
// # Usage
//
//	daemon := report.New(name, index, metrics)
//	daemon, err := report.Fetch(ctx, "10.0.0.1:9464")
//	err = report.WriteTable(os.Stdout, []report.Daemon{daemon})
//
// Counts are those of single daemons since their start, and WriteTable adds them up. Keys are not part of a report.
package report

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"text/tabwriter"

	"azurehitch"
	"azurehitch/internal/account/directory"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
)

// Path is the path of a report at the metrics address of a daemon.
const Path = "/accounts"

// Daemon is the report of one daemon.
type Daemon struct {
	Daemon               string
	ConfigurationVersion int64
	// ConfigurationAge is the time in seconds for which the configuration has not been confirmed.
	ConfigurationAge float64
	// RequiresKeys is true if the configuration has accounts.
	RequiresKeys bool
	Accounts     []Account
	// Faults are the faults of the entries of accounts.
	Faults []directory.Fault
}

// Account is an account with its use at one daemon.
type Account struct {
	azurehitch.ClientAccount
	Served  int64
	Refused int64
	// Units is what the requests cost, without those that were not run.
	Units int64
}

// New returns the report of a daemon.
func New(daemon string, version int64, index *directory.Index, m *metrics.Metrics) Daemon {
	d := Daemon{Daemon: daemon, ConfigurationVersion: version, RequiresKeys: index.HasEntries(), Faults: index.Faults()}
	for _, account := range index.Accounts() {
		d.Accounts = append(d.Accounts, Account{
			ClientAccount: account,
			Served:        m.GetLabeled(metrics.AccountRequestsServed, account.Name),
			Refused:       m.GetLabeled(metrics.AccountRequestsRefused, account.Name),
			Units:         m.GetLabeled(metrics.AccountUnitsTaken, account.Name) - m.GetLabeled(metrics.AccountUnitsRefunded, account.Name),
		})
	}
	return d
}

// Fetch reads the report of the daemon with a metrics address.
func Fetch(ctx context.Context, address string) (Daemon, error) {
	var d Daemon
	err := jsonhttp.NewClient(address, "azurehitch").Call(ctx, http.MethodGet, Path, nil, &d)
	return d, errors.Wrapf(err, "read the accounts of %s", address)
}

// Merge adds up the reports of daemons. The limits are those of the daemon with the highest version of the
// configuration.
func Merge(daemons []Daemon) Daemon {
	sorted := slices.Clone(daemons)
	slices.SortStableFunc(sorted, func(a, b Daemon) int { return cmp.Compare(b.ConfigurationVersion, a.ConfigurationVersion) })
	var all Daemon
	if len(sorted) > 0 {
		all = sorted[0]
		all.Accounts = nil
	}
	at := map[string]int{}
	for _, d := range sorted {
		for _, account := range d.Accounts {
			i, ok := at[account.Name]
			if !ok {
				at[account.Name] = len(all.Accounts)
				all.Accounts = append(all.Accounts, account)
				continue
			}
			all.Accounts[i].Served += account.Served
			all.Accounts[i].Refused += account.Refused
			all.Accounts[i].Units += account.Units
		}
	}
	return all
}

// WriteTable writes the accounts of daemons, with their counts added up, and then the faults of their entries.
func WriteTable(w io.Writer, daemons []Daemon) error {
	all := Merge(daemons)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tPRIORITY\tUNIT\tPER SECOND\tBURST\tDEFAULT COST\tSERVED\tREFUSED\tUNITS\tFAULT")
	for _, a := range all.Accounts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", a.Name, priorityText(a.ClientAccount), a.Allowance.Unit,
			limitText(a.Allowance, a.Allowance.PerSecond), limitText(a.Allowance, a.Allowance.Burst), a.Allowance.DefaultCost,
			a.Served, a.Refused, a.Units, a.Allowance.Invalid)
	}
	for _, fault := range all.Faults {
		fmt.Fprintf(table, "entry %d (%s): %s\n", fault.Position, fault.Account, fault.Reason)
	}
	for _, d := range daemons {
		fmt.Fprintf(table, "%s: version %d, read %.1f s ago\n", d.Daemon, d.ConfigurationVersion, d.ConfigurationAge)
	}
	return errors.Wrap(table.Flush(), "write accounts")
}

func priorityText(account azurehitch.ClientAccount) string {
	if !account.HasPriority {
		return "-"
	}
	return strconv.Itoa(account.Priority)
}

func limitText(allowance azurehitch.Allowance, value float64) string {
	if !allowance.IsLimited() {
		return "-"
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}
