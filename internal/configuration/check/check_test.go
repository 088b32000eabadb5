package check_test

import (
	"fmt"
	"strings"
	"testing"

	"azurehitch/internal/configuration/check"
	"azurehitch/platform"

	qt "github.com/frankban/quicktest"
)

// sound is a configuration without errors. Each of its lines has one entry.
const sound = `{"version": 7,
"routes": [
{"name":"web","hostname":"a.example","path_prefix":"/x/","route_kind":"idempotent","timeout_ms":900,"slo_ms":100,"service":"web","max_attempts":2},
{"name":"llm","hostname":"a.example","path_prefix":"/y/","route_kind":"streaming","timeout_ms":9000,"slo_ms":400,"itl_target_ms":90,"split":[{"service":"llm","weight":9},{"service":"web","weight":1}],"max_attempts":1,"public":true}
],
"services": [
{"name":"web","max_conns":50,"hedge_share":0.02},
{"name":"llm","engine":{"slots":8,"weights_mb":1000,"loads_per_s":2,"models":[{"name":"m","weights_mb":500,"load_time_s":6}]}}
],
"tenants": [
{"name":"t1","api_keys":["k1","k2"],"priority":1,"rate_per_s":10,"burst":10},
{"name":"t2","api_keys":["k3"]}
],
"limits": {"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000}
}`

// findings returns the problems of a text, each with its line and field.
func findings(c *qt.C, text string) []string {
	c.Helper()
	_, problems, err := check.Check(platform.Routing{}, []byte(text))
	c.Assert(err, qt.IsNil)
	found := []string{}
	for _, p := range problems {
		found = append(found, fmt.Sprintf("%d %s: %s", p.Line, p.Field, p.Reason))
	}
	return found
}

// TestFaults guards against a configuration with a fault that is sent. Each fault is found at its field, and once.
func TestFaults(t *testing.T) {
	for _, test := range []struct{ old, fault, want string }{
		{``, ``, ``},
		{`"version": 7,`, ``, "1 version: configuration has no version"},
		{`"version": 7`, `"version": "7"`, "1 version: is string"},
		{`"timeout_ms":900,`, `"timeout_ms":"900",`, "3 routes[0].timeout_ms: is string"},
		{`"timeout_ms":900,`, `"timeout_ms":900,"timeout_ms":901,`, "3 routes[0].timeout_ms: is there more than once"},
		{`"timeout_ms":900,`, ``, "3 routes[0].timeout_ms: is missing"},
		{`"timeout_ms":900,`, `"timeout_ms":0,`, "3 routes[0].timeout_ms: is missing or not positive"},
		{`"slo_ms":100`, `"slo_ms":1000`, "3 routes[0].slo_ms: 1s is longer than the timeout of 900ms"},
		{`"slo_ms":100`, `"slo_ms":-1`, "3 routes[0].slo_ms: is negative"},
		{`"itl_target_ms":90,`, `"itl_target_ms":9001,`, "4 routes[1].itl_target_ms: 9.001s is longer"},
		{`"max_attempts":2`, `"max_attempts":0`, "3 routes[0].max_attempts: is 0"},
		{`"max_attempts":2`, `"max_attempts":2,"priority":-1`, "3 routes[0].priority: is negative"},
		{`"idempotent"`, `"idempotant"`, `3 routes[0].route_kind: "idempotant" is no kind`},
		{`"public":true`, `"public":"yes"`, "4 routes[1].public: is neither"},
		{`"/y/"`, `"/x/"`, "4 routes[1].path_prefix: never matches: routes[0] has the same"},
		{`"a.example","path_prefix":"/y/"`, `"A.Example","path_prefix":"/x/"`, "4 routes[1].path_prefix: never matches"},
		{`"/x/"`, `"x/"`, `3 routes[0].path_prefix: "x/" does not begin with a slash`},
		{`"/x/"`, `"/x"`, `3 routes[0].path_prefix: "/x" does not end with a slash`},
		{`"/x/"`, `"/x/?a/"`, "3 routes[0].path_prefix: \"/x/?a/\" is more than a path"},
		{`"hostname":"a.example","path_prefix":"/x/"`, `"path_prefix":"/x/"`, "3 routes[0].hostname: is missing"},
		{`"a.example","path_prefix":"/x/"`, `"http://a.example","path_prefix":"/x/"`, "3 routes[0].hostname: \"http://a.example\" is no host"},
		{`"name":"web","hostname"`, `"name":"llm","hostname"`, `4 routes[1].name: "llm" is also the name of routes[0]`},
		{`"name":"web","hostname"`, `"hostname"`, "3 routes[0].name: is missing"},
		{`"service":"web","max`, `"service":"wbe","max`, `3 routes[0].service: "wbe" is no service`},
		{`{"service":"web","weight":1}`, `{"service":"wbe","weight":1}`, `4 routes[1].split[1].service: "wbe" is no service`},
		{`"weight":1}`, `"weight":0}`, "4 routes[1].split[1].weight: is 0"},
		{`"max_conns":50`, `"max_conns":-1`, "7 services[0].max_conns: is negative"},
		{`"hedge_share":0.02`, `"hedge_share":2`, "7 services[0].hedge_share: is not a number from 0 to 1"},
		{`"hedge_share":0.02`, `"hedge_share":"0.02"`, "7 services[0].hedge_share: is not a number from 0 to 1"},
		{`"slots":8`, `"slots":0`, "8 services[1].engine.slots: is missing"},
		{`"weights_mb":1000`, `"weights_mb":100`, "8 services[1].engine.models[0].weights_mb: is more than a server has"},
		{`"load_time_s":6`, `"load_time_s":-6`, "8 services[1].engine.models[0].load_time_s: is negative"},
		{`"models":[{"name":"m","weights_mb":500,"load_time_s":6}]`, `"models":[]`, "8 services[1].engine.models: is empty"},
		{`["k3"]`, `["k2"]`, "12 tenants[1]: has a key that another account has too"},
		{`["k3"]`, `[]`, "12 tenants[1]: has no keys"},
		{`"rate_per_s":10`, `"rate_per_s":-10`, "11 tenants[0]: has a rate that is no number"},
		{`"burst":10`, `"burst":-10`, "11 tenants[0]: has a burst that is no number"},
		{`"rate_per_s":10,`, ``, "11 tenants[0]: has a burst without a rate"},
		{`"max_body_bytes":4194304`, `"max_body_bytes":4096`, "14 limits.max_header_bytes: 16384 is more than the 4096 of a body"},
		{`"header_timeout_ms":3000`, `"header_timeout_ms":-1`, "14 limits.header_timeout_ms: is negative"},
	} {
		t.Run(test.fault+" "+test.want, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(sound, test.old), qt.IsTrue)
			got := findings(c, strings.Replace(sound, test.old, test.fault, 1))
			if test.want == "" {
				c.Assert(got, qt.HasLen, 0)
				return
			}
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0], qt.Contains, test.want)
		})
	}
}

// TestFaultsAtOnce guards against errors that show only after others are corrected, and against one that is shown twice.
func TestFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer(
		`"version": 7,`, "", `"timeout_ms":900,`, `"timeout_ms":[900],`, `"slots":8`, "\"slots\":{\n}", `"max_conns":50`, `"max_conns":true`,
		`"/y/"`, `"/x/"`, `["k3"]`, `["k1","k2"]`, `"weights_mb":1000,`, "",
	).Replace(sound)
	c := qt.New(t)
	got := findings(c, text)
	for i, want := range []string{
		"1 version", "3 routes[0].timeout_ms: is array", "4 routes[1].path_prefix", "7 services[0].max_conns: is bool",
		"8 services[1].engine.slots: is object", "8 services[1].engine.weights_mb", "13 tenants[1]: has a key",
	} {
		c.Assert(got[i], qt.Contains, want)
	}
	c.Assert(got, qt.HasLen, 7, qt.Commentf("%s", strings.Join(got, "\n")))
}

// TestSyntax guards against a text that is not JSON and for which no line is shown.
func TestSyntax(t *testing.T) {
	for text, want := range map[string]string{"": "line 1", "{\n\"version\":\n,}": "line 3", "[": "line 1", sound + "]": "line 15"} {
		_, _, err := check.Check(platform.Routing{}, []byte(text))
		qt.New(t).Assert(err, qt.ErrorMatches, want+": .*")
	}
}

// TestCompare guards against a change that goes unnoticed, and against keys that are shown.
func TestCompare(t *testing.T) {
	next := strings.NewReplacer(
		`"timeout_ms":900,`, `"timeout_ms":800,`, `"name":"llm","hostname"`, `"name":"chat","hostname"`, `"hedge_share":0.02`, `"hedge_share":0`,
		`"weights_mb":500,"load_time_s":6`, `"weights_mb":400,"load_time_s":6`, `["k3"]`, `["k4"]`, `"max_header_bytes":16384,`, ``,
		`{"name":"t1","api_keys":["k1","k2"]`, `{"name":"t1","api_keys":["k2","k1"]`,
	).Replace(sound)
	c := qt.New(t)
	decoder := platform.Routing{}
	current, _, err := check.Check(decoder, []byte(sound))
	c.Assert(err, qt.IsNil)
	table, problems, err := check.Check(decoder, []byte(next))
	c.Assert(err, qt.IsNil)
	c.Assert(problems, qt.HasLen, 0)
	c.Assert(check.Compare(decoder, current, current), qt.HasLen, 0)
	var got []string
	for _, d := range check.Compare(decoder, current, table) {
		got = append(got, strings.TrimSpace(fmt.Sprint(d.Kind, " ", d.Field, " ", d.Old, " ", d.New)))
		c.Assert(strings.Contains(d.Old+d.New, "k4"), qt.IsFalse)
	}
	for i, want := range []string{
		`Changed limits.max_header_bytes 16384 none`, `Added routes["chat"]`, `Removed routes["llm"]`, `Changed routes["web"].timeout_ms 900ms 800ms`,
		`Changed services["llm"].engine.models["m"].weights_mb 500000000 bytes 400000000 bytes`, `Changed services["web"].hedge_share 0.02 0`,
		`Changed tenants["t2"].api_keys 1 keys`,
	} {
		c.Assert(got[i], qt.Contains, want, qt.Commentf("%s", strings.Join(got, "\n")))
	}
	c.Assert(got, qt.HasLen, 7)

	// A table whose version is not higher does not come into force.
	for version, want := range map[string]int{"6": 1, "7": 1, "8": 0} {
		text := []byte(strings.Replace(next, `"version": 7`, `"version": `+version, 1))
		table, _, err := check.Check(decoder, text)
		c.Assert(err, qt.IsNil)
		c.Assert(check.Version(decoder, text, table, current), qt.HasLen, want)
	}
}
