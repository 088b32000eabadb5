package members_test

import (
	"encoding/json"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/members"

	qt "github.com/frankban/quicktest"
)

// fixedClock returns a fixed time that the test sets.
type fixedClock struct {
	azurehitch.SystemClock
	now time.Time
}

// Now implements azurehitch.Clock.
func (f *fixedClock) Now() time.Time { return f.now }

func records(t *testing.T, list ...members.Member) []azurehitch.KeyedRecord {
	t.Helper()
	var result []azurehitch.KeyedRecord
	for _, m := range list {
		value, err := json.Marshal(m)
		qt.New(t).Assert(err, qt.IsNil)
		result = append(result, azurehitch.KeyedRecord{Key: m.Name, Value: value})
	}
	return result
}

// TestStrongDaemons checks which daemons run on hosts with enough processor time and bandwidth to be
// preferred as lease holders.
func TestStrongDaemons(t *testing.T) {
	small := members.Member{Name: "small", Processor: 0.2, Bandwidth: 10_000_000}
	fast := members.Member{Name: "fast", Processor: 0.8, Bandwidth: 10_000_000}
	large := members.Member{Name: "large", Processor: 0.8, Bandwidth: 200_000_000}
	for _, test := range []struct {
		name   string
		self   members.Member
		others []members.Member
		want   []string
	}{
		{"both processor time and bandwidth are required", small, []members.Member{fast, large}, []string{"large"}},
		{"equal hosts are all strong", members.Member{Name: "a"}, []members.Member{{Name: "b"}}, []string{"a", "b"}},
		{"a single host is strong", small, nil, []string{"small"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory := members.New(nil, "members", test.self, &fixedClock{}, nil)
			directory.Apply(records(t, test.others...), time.Time{})
			qt.New(t).Assert(directory.StrongDaemons(), qt.DeepEquals, test.want)
		})
	}
}

// TestIsIncomplete checks that a directory counts as incomplete until some time after the first read
// of all entries.
func TestIsIncomplete(t *testing.T) {
	c := qt.New(t)
	clock := &fixedClock{now: time.Unix(1000, 0)}
	directory := members.New(nil, "members", members.Member{Name: "a"}, clock, nil)
	c.Assert(directory.IsIncomplete(), qt.IsTrue)
	directory.Replace(nil, clock.now)
	c.Assert(directory.IsIncomplete(), qt.IsTrue)
	clock.now = clock.now.Add(time.Second)
	c.Assert(directory.IsIncomplete(), qt.IsFalse)
}

func TestIsRestart(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed []members.Member
		want   bool
	}{
		{"no daemon has run before", nil, false},
		{"others have run before", []members.Member{{Name: "b"}}, false},
		{"an earlier process of the daemon has run", []members.Member{{Name: "a", Incarnation: "1"}, {Name: "b"}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			directory := members.New(nil, "members", members.Member{Name: "a", Incarnation: "2"}, &fixedClock{}, nil)
			c.Assert(directory.IsRestart(), qt.IsTrue, qt.Commentf("not known before the first list"))
			directory.Replace(records(t, test.listed...), time.Unix(1000, 0))
			c.Assert(directory.IsRestart(), qt.Equals, test.want)
			directory.Replace(records(t, members.Member{Name: "a", Incarnation: "2"}), time.Unix(1001, 0))
			c.Assert(directory.IsRestart(), qt.Equals, test.want)
		})
	}
}

// TestMixedServices checks that a daemon takes over the services that entries list as mixed when it starts, and
// forgets them only when it is told to.
func TestMixedServices(t *testing.T) {
	const service = "llm"
	mixed := func(name string) members.Member { return members.Member{Name: name, MixedServices: []string{service}} }
	for _, test := range []struct {
		name      string
		listed    []members.Member
		wasMixed  bool
		listsSelf bool
		other     bool
	}{
		{"no daemon has seen several versions", []members.Member{{Name: "a"}, {Name: "b"}}, false, false, false},
		{"an earlier process of the daemon has", []members.Member{mixed("a")}, true, true, false},
		{"another daemon has", []members.Member{{Name: "a"}, mixed("b")}, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			directory := members.New(nil, "members", members.Member{Name: "a"}, &fixedClock{}, nil)
			c.Assert(directory.WasMixed(service), qt.IsTrue, qt.Commentf("before the first list"))
			directory.SetMixedServices([]string{"early"})
			directory.Replace(records(t, test.listed...), time.Unix(1000, 0))
			c.Assert(directory.WasMixed(service), qt.Equals, test.wasMixed)
			self, other := directory.ListsMixed(service)
			c.Assert([]bool{self, other}, qt.DeepEquals, []bool{test.listsSelf, test.other})
			directory.SetMixedServices(nil)
			self, _ = directory.ListsMixed(service)
			c.Assert(self, qt.IsFalse)
		})
	}
}
