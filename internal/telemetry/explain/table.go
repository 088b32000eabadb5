package explain

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Count is how many requests of a route ended for a cause.
type Count struct {
	Route string
	Cause Cause
	Count int
	// Share is of all requests of the route.
	Share float64
}

// Causes counts the requests by route and cause, those of a route together, the most frequent first.
func Causes(log Log) []Count {
	type key struct {
		route string
		cause Cause
	}
	counts, totals := map[key]int{}, map[string]int{}
	for _, line := range log.Lines {
		if line.Message != requestEnded || !line.isOwed() {
			continue
		}
		counts[key{line.Route, line.cause()}]++
		totals[line.Route]++
	}
	list := make([]Count, 0, len(counts))
	for k, n := range counts {
		list = append(list, Count{Route: k.route, Cause: k.cause, Count: n, Share: float64(n) / float64(totals[k.route])})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(
			cmp.Compare(totals[b.Route], totals[a.Route]), cmp.Compare(a.Route, b.Route),
			cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause.Text, b.Cause.Text),
		)
	})
	return list
}

// WriteCauses writes a table of causes.
func WriteCauses(w io.Writer, counts []Count) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tOUTCOME\tREQUESTS\tSHARE\tCAUSE")
	for _, c := range counts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.4f\t%s\n", c.Route, c.Cause.Outcome, c.Count, c.Share, c.Cause.Text)
	}
	return errors.Wrap(table.Flush(), "write causes")
}

// WriteWindows writes what became of the requests that ended in each span of time, and its most
// frequent cause beside an answer on time.
func WriteWindows(w io.Writer, log Log, span time.Duration) error {
	windows := map[time.Time]map[Cause]int{}
	for _, line := range log.Lines {
		if line.Message != requestEnded || !line.isOwed() {
			continue
		}
		at := line.Time.Truncate(span)
		if windows[at] == nil {
			windows[at] = map[Cause]int{}
		}
		windows[at][line.cause()]++
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FROM\tREQUESTS\tON TIME\tLATE\tREFUSED\tFAILED\tABANDONED\tMOSTLY")
	for _, at := range slices.SortedFunc(maps.Keys(windows), time.Time.Compare) {
		writeWindow(table, at, windows[at])
	}
	return errors.Wrap(table.Flush(), "write windows")
}

func writeWindow(w io.Writer, at time.Time, causes map[Cause]int) {
	outcomes, all := map[Outcome]int{}, 0
	var most Cause
	for cause, n := range causes {
		outcomes[cause.Outcome] += n
		all += n
		if cause.Outcome == OutcomeOnTime {
			continue
		}
		if n > causes[most] || n == causes[most] && cause.Text < most.Text {
			most = cause
		}
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", at.Format("15:04:05.0"), all, outcomes[OutcomeOnTime], outcomes[OutcomeLate],
		outcomes[OutcomeRefused], outcomes[OutcomeFailed], outcomes[OutcomeAbandoned], most.Text)
}

// ErrUnknownRequest says that no line names a request.
type ErrUnknownRequest struct{ ID string }

// Error implements error.
func (e *ErrUnknownRequest) Error() string { return "no line names request " + e.ID }

// WriteRequest writes every line that names a request, of all daemons, in the order of time. The
// error may be an *ErrUnknownRequest.
func WriteRequest(w io.Writer, log Log, id string) error {
	found := slices.DeleteFunc(slices.Clone(log.Lines), func(l Line) bool { return !bytes.Contains(l.text, []byte(id)) })
	if len(found) == 0 {
		return &ErrUnknownRequest{ID: id}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range found {
		if _, err := fmt.Fprintf(w, "%s\n", line.text); err != nil {
			return errors.Wrap(err, "write request")
		}
	}
	return nil
}
