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

// Count is the number of requests of a route that ended with a cause.
type Count struct {
	Route string
	Cause Cause
	Count int
	// Share is the share of all requests of the route, from 0 to 1.
	Share float64
}

// Causes counts the requests by route and cause. Routes are sorted by their number of requests, and
// the causes of a route by their count, both in descending order.
func Causes(log Log) []Count {
	type key struct {
		route string
		cause Cause
	}
	counts, totals := map[key]int{}, map[string]int{}
	for _, line := range log.Lines {
		if line.Message != requestEnded || !line.isCounted() {
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

// WriteCauses writes the counts as a table.
func WriteCauses(w io.Writer, counts []Count) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tOUTCOME\tREQUESTS\tSHARE\tCAUSE")
	for _, c := range counts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.4f\t%s\n", c.Route, c.Cause.Outcome, c.Count, c.Share, c.Cause.Text)
	}
	return errors.Wrap(table.Flush(), "write causes")
}

// WriteWindows writes a table of the outcomes of the requests that ended in each window of length
// span, with the most frequent cause of an outcome other than OutcomeOnTime.
func WriteWindows(w io.Writer, log Log, span time.Duration) error {
	windows := map[time.Time]map[Cause]int{}
	for _, line := range log.Lines {
		if line.Message != requestEnded || !line.isCounted() {
			continue
		}
		start := line.Time.Truncate(span)
		if windows[start] == nil {
			windows[start] = map[Cause]int{}
		}
		windows[start][line.cause()]++
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FROM\tREQUESTS\tON TIME\tLATE\tREFUSED\tFAILED\tABANDONED\tMOSTLY")
	for _, start := range slices.SortedFunc(maps.Keys(windows), time.Time.Compare) {
		writeWindow(table, start, windows[start])
	}
	return errors.Wrap(table.Flush(), "write windows")
}

func writeWindow(w io.Writer, start time.Time, causes map[Cause]int) {
	outcomes, total := map[Outcome]int{}, 0
	var mostFrequent Cause
	for cause, n := range causes {
		outcomes[cause.Outcome] += n
		total += n
		if cause.Outcome == OutcomeOnTime {
			continue
		}
		if n > causes[mostFrequent] || n == causes[mostFrequent] && cause.Text < mostFrequent.Text {
			mostFrequent = cause
		}
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", start.Format("15:04:05.0"), total, outcomes[OutcomeOnTime], outcomes[OutcomeLate],
		outcomes[OutcomeRefused], outcomes[OutcomeFailed], outcomes[OutcomeAbandoned], mostFrequent.Text)
}

// ErrUnknownRequest is returned when no line contains the ID of a request.
type ErrUnknownRequest struct{ ID string }

// Error implements error.
func (e *ErrUnknownRequest) Error() string { return "no line names request " + e.ID }

// WriteRequest writes all lines that contain the ID of a request, from all daemons, in order of
// time. It returns an *ErrUnknownRequest if there are none.
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
