package passthrough

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestNextEventID(t *testing.T) {
	const maxNumber = "9223372036854775807"
	for name, test := range map[string]struct {
		// before lists the ids that the caller has, separated by spaces.
		before, id string
		isNext     bool
	}{
		"any id begins a stream":            {"", "7", true},
		"no id begins a stream":             {"", "", true},
		"the next number":                   {"1 2", "3", true},
		"the same number":                   {"1 2", "2", false},
		"a smaller number":                  {"1 2", "1", false},
		"a greater number":                  {"1 2", "4", false},
		"a greater number, after gaps":      {"1 3 4", "6", true},
		"a greater number, after one event": {"1", "6", true},
		"no id":                             {"1 2", "", false},
		"a number after the greatest":       {"1 " + maxNumber, "-9223372036854775808", false},
		"a number out of range":             {"1 2", "9" + maxNumber, false},
		"another text":                      {"b a", "c", true},
		"the same text":                     {"b a", "a", false},
	} {
		t.Run(name, func(t *testing.T) {
			ids := eventIDs{}
			for _, id := range strings.Fields(test.before) {
				ids = ids.With(id)
			}
			qt.New(t).Assert(ids.checkNext(test.id) == nil, qt.Equals, test.isNext)
		})
	}
}

func TestEventID(t *testing.T) {
	c := qt.New(t)
	c.Assert(eventID([]byte("id: 7\ndata: id: 8\n\n")), qt.Equals, "7")
	c.Assert(eventID([]byte("weights: 2\r\nid:7\r\n\r\n")), qt.Equals, "7")
	c.Assert(eventID([]byte("data: a\n\n")), qt.Equals, "")
}
