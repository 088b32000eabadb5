package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// The messages of the lines on leases.
const (
	leaseFolded  = "lease record folded"
	foldDigested = "fold of the leases"
)

// LeaseLine holds the fields of a log line on leases.
type LeaseLine struct {
	Daemon  string
	Service string
	// Event is what a record did to the lease, and Holder the writer of the record.
	Event       string
	Holder      string
	Incarnation string
	// Era and Offset are the position of the record in the log. The offset of a claim is the token of the lease.
	Era    int64
	Offset int64
	// Seen is the offset that a claim names, and LastOffset the offset that it had to name.
	Seen       int64
	LastOffset int64
	// Digest is the digest of a fold at the position.
	Digest string
}

// position identifies a record of the log.
type position struct{ era, offset int64 }

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.offset, other.offset))
}

// foldedRecord is a record of the log with what each daemon made of it.
type foldedRecord struct {
	at    position
	first Line
	// views maps each result to the daemons that came to it.
	views map[string][]string
}

// WriteLeases writes a table of the records that concern leases, in the order of the log, with the daemons that
// came to each result. Daemons that came to different results at one record, or have different folds at one
// position, each trust other holders.
func WriteLeases(w io.Writer, log Log) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tERA\tTOKEN\tSERVICE\tHOLDER\tRESULT\tDAEMONS")
	for _, record := range foldedRecords(log) {
		mark := ""
		if len(record.views) > 1 {
			mark = "FOLDS DIFFER: "
		}
		for _, view := range slices.Sorted(maps.Keys(record.views)) {
			daemons := record.views[view]
			slices.Sort(daemons)
			fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s%s\t%s\n", record.first.Time.Format(time.TimeOnly+".000"), record.at.era, record.at.offset,
				record.first.Service, record.first.Holder, mark, view, strings.Join(daemons, " "))
		}
	}
	return errors.Wrap(table.Flush(), "write leases")
}

// FoldDifference is a position at which daemons have folded the log to different leases, or came to different results
// by one record.
type FoldDifference struct {
	Era    int64
	Offset int64
	// Daemons maps each result to the daemons that came to it, in their order.
	Daemons map[string][]string
}

// String implements fmt.Stringer.
func (d FoldDifference) String() string {
	text := fmt.Sprintf("era %d, offset %d:", d.Era, d.Offset)
	for _, view := range slices.Sorted(maps.Keys(d.Daemons)) {
		text += fmt.Sprintf(" %q by %s;", view, strings.Join(d.Daemons[view], " "))
	}
	return strings.TrimSuffix(text, ";")
}

// FoldDifferences returns the positions at which folds differ, in the order of the log.
func FoldDifferences(log Log) []FoldDifference {
	var differences []FoldDifference
	for _, record := range foldedRecords(log) {
		if len(record.views) < 2 {
			continue
		}
		for _, daemons := range record.views {
			slices.Sort(daemons)
		}
		differences = append(differences, FoldDifference{Era: record.at.era, Offset: record.at.offset, Daemons: record.views})
	}
	return differences
}

// foldedRecords returns the records that concern leases, and those at which folds with different digests were
// logged, in the order of the log.
func foldedRecords(log Log) []foldedRecord {
	events, digests := map[position]*foldedRecord{}, map[position]*foldedRecord{}
	for _, line := range log.Lines {
		switch line.Message {
		case leaseFolded:
			addView(events, line, line.result())
		case foldDigested:
			addView(digests, line, "digest "+line.Digest)
		}
	}
	records := slices.Collect(maps.Values(events))
	for _, record := range digests {
		if len(record.views) > 1 {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *foldedRecord) int { return a.at.compare(b.at) })
	var sorted []foldedRecord
	for _, record := range records {
		sorted = append(sorted, *record)
	}
	return sorted
}

// addView adds what a daemon made of a record.
func addView(records map[position]*foldedRecord, line Line, view string) {
	at := position{line.Era, line.Offset}
	record, ok := records[at]
	if !ok {
		record = &foldedRecord{at: at, first: line, views: map[string][]string{}}
		records[at] = record
	}
	if line.Time.Before(record.first.Time) {
		record.first = line
	}
	if !slices.Contains(record.views[view], line.Daemon) {
		record.views[view] = append(record.views[view], line.Daemon)
	}
}

// result describes what a daemon made of a record.
func (l Line) result() string {
	if l.Event == "ClaimRejected" {
		return fmt.Sprintf("%s: names %d, last %d", l.Event, l.Seen, l.LastOffset)
	}
	return l.Event
}
