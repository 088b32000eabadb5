package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"azurehitch/internal/telemetry/explain"

	qt "github.com/frankban/quicktest"
)

// ended returns the log line of the end of a request at a second, with additional fields.
func ended(second int, fields string) string {
	return fmt.Sprintf(`  %d.5 edge-1 {"time":"2026-01-07T15:22:%02d.100Z","Daemon":"edge-1","Layer":"forward","Route":"r",`+
		`"Objective":600,"MaxPause":400,%s,"message":"request ended"}`, second, second, fields)
}

func read(c *qt.C, lines ...string) explain.Log {
	c.Helper()
	log, err := explain.Read(strings.NewReader(strings.Join(lines, "\n")))
	c.Assert(err, qt.IsNil)
	return log
}

func TestCauses(t *testing.T) {
	for _, test := range []struct {
		name   string
		fields string
		want   explain.Cause
	}{
		{"on time", `"Status":200,"Reason":"answered","FirstEvent":90`, explain.Cause{Outcome: explain.OutcomeOnTime, Text: "answered"}},
		{"slow server", `"Status":200,"Reason":"answered","FirstEvent":700,"Placed":10,"Attempts":"i-1 (own counts, age 4 ms): 3 events"`,
			explain.Cause{Outcome: explain.OutcomeLate, Text: "slow at its server"}},
		{"several attempts", `"Status":200,"Reason":"answered","FirstEvent":700,"Placed":10,"Attempts":"i-1 (own counts, age 4 ms): EOF; i-2 (own counts, age 4 ms): 3 events"`,
			explain.Cause{Outcome: explain.OutcomeLate, Text: "several attempts"}},
		{"late after waiting for a server", `"Status":200,"Reason":"answered","FirstEvent":2100,"Placed":2010,"Attempts":"i-1 (granted by the holder, from Disk, age 4 ms): 3 events"`,
			explain.Cause{Outcome: explain.OutcomeLate, Text: "waited for a server: granted by the holder, from Disk"}},
		{"long pause in a stream", `"Status":200,"Reason":"answered","FirstEvent":90,"LongestPause":500`,
			explain.Cause{Outcome: explain.OutcomeLate, Text: "long pause between events"}},
		{"late response without a stream", `"Status":200,"Reason":"answered","Took":900`, explain.Cause{Outcome: explain.OutcomeLate, Text: "slow at its server"}},
		{"refused", `"Status":503,"Reason":"xaka7044c2: the servers are full, about 1.21s"`,
			explain.Cause{Outcome: explain.OutcomeRefused, Text: "… the servers are full, about …"}},
		{"no valid key", `"Status":401,"Reason":"no valid API key: Shared","Code":"invalid_credentials"`,
			explain.Cause{Outcome: explain.OutcomeRefused, Text: "no valid API key: Shared"}},
		{"beyond the limit of an account", `"Status":429,"Account":"hule930","Reason":"the limit of 311172 per second is used"`,
			explain.Cause{Outcome: explain.OutcomeRefused, Text: "account hule930: the limit of … per second is used"}},
		{"stream cut", `"Status":200,"Reason":"stream cut: unexpected EOF","FirstEvent":90`,
			explain.Cause{Outcome: explain.OutcomeFailed, Text: "stream cut: unexpected EOF"}},
		{"failed by the server", `"Status":500,"Reason":"answered"`, explain.Cause{Outcome: explain.OutcomeFailed, Text: "a server's own status 500"}},
		{"abandoned", `"Status":503,"Reason":"the caller has gone: wait for a model"`,
			explain.Cause{Outcome: explain.OutcomeAbandoned, Text: "the caller has gone: wait for a model"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			counts := explain.Causes(read(c, ended(1, test.fields)))
			c.Assert(counts, qt.DeepEquals, []explain.Count{{Route: "r", Cause: test.want, Count: 1, Share: 1}})
		})
	}
}

func TestRead(t *testing.T) {
	onTime := `"Status":200,"Reason":"answered","FirstEvent":90`
	t.Run("lines that are not log lines are counted", func(t *testing.T) {
		c := qt.New(t)
		log := read(c, "Tuesday", "{}", ended(1, onTime), `{"broken`)
		c.Assert(log.Lines, qt.HasLen, 1)
		c.Assert(log.Skipped, qt.Equals, 3)
	})
	t.Run("equal causes are counted together, the most frequent first", func(t *testing.T) {
		c := qt.New(t)
		counts := explain.Causes(read(c,
			ended(1, `"Status":503,"Reason":"m1: the servers are full, about 1.2s"`), ended(1, onTime), ended(2, onTime),
			ended(3, `"Status":503,"Reason":"m2: the servers are full, about 90ms"`), ended(4, onTime),
		))
		c.Assert(counts, qt.HasLen, 2)
		c.Assert(counts[0].Count, qt.Equals, 3)
		c.Assert(counts[1].Count, qt.Equals, 2)
		c.Assert(counts[1].Share, qt.Equals, 0.4)
	})
	t.Run("outcomes by window", func(t *testing.T) {
		c := qt.New(t)
		var out strings.Builder
		log := read(c, ended(1, onTime), ended(1, `"Status":503,"Reason":"no holder answers"`), ended(4, onTime))
		c.Assert(explain.WriteWindows(&out, log, 2*time.Second), qt.IsNil)
		rows := strings.Split(strings.TrimSpace(out.String()), "\n")
		c.Assert(rows, qt.HasLen, 3)
		c.Assert(strings.Fields(rows[1])[:4], qt.DeepEquals, []string{"15:22:00.0", "2", "1", "0"})
		c.Assert(strings.HasSuffix(rows[1], "no holder answers"), qt.IsTrue)
	})
	t.Run("all lines that contain the ID of a request, from all hosts, in order of time", func(t *testing.T) {
		c := qt.New(t)
		const order = `{"time":"2026-01-07T15:22:02.000Z","Daemon":"edge-2","Need":"abc","message":"asked"}`
		log := explain.Merge(read(c, ended(3, onTime+`,"Request":"abc"`), ended(3, onTime+`,"Request":"other"`)), read(c, order))
		var out strings.Builder
		c.Assert(explain.WriteRequest(&out, log, "abc"), qt.IsNil)
		rows := strings.Split(strings.TrimSpace(out.String()), "\n")
		c.Assert(rows, qt.HasLen, 2)
		c.Assert(rows[0], qt.Equals, order)
		var unknown *explain.ErrUnknownRequest
		c.Assert(explain.WriteRequest(&out, log, "none"), qt.ErrorAs, &unknown)
	})
}
