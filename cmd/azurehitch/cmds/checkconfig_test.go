package cmds

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"azurehitch/internal/configuration/check"

	qt "github.com/frankban/quicktest"
)

const checkedConfiguration = `{"version":7,
"routes":[{"name":"web","hostname":"a.example","path_prefix":"/x/","route_kind":"idempotent","timeout_ms":900,"service":"web","max_attempts":2}],
"services":[{"name":"web","max_conns":50}]}`

// TestCheckConfig guards against an exit code by which a script would send a configuration with errors.
func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		qt.New(t).Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	sound := file("sound.json", checkedConfiguration)
	newer := file("newer.json", `{"version":8,`+checkedConfiguration[len(`{"version":7,`):len(checkedConfiguration)-2]+`,{"name":"more"}]}`)
	wrong := file("wrong.json", `{"version":7,"routes":[{"name":"web","timeout_ms":"x"}]}`)
	broken := file("broken.json", "{\n\n{")
	for _, test := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no errors", []string{sound}, ExitSuccess, "version 7: 0 errors, 0 differences\n"},
		{"errors", []string{wrong}, ExitFailure, "wrong.json:1: routes[0].timeout_ms: is string"},
		{"not JSON", []string{broken}, ExitUsage, "broken.json: line 3: "},
		{"no file", []string{filepath.Join(dir, "none.json")}, ExitUsage, "none.json"},
		{"no name", nil, ExitUsage, "needs the name of one file"},
		{"two names", []string{sound, newer}, ExitUsage, "needs the name of one file"},
		{"unknown flag", []string{"--nothing", sound}, ExitUsage, "nothing"},
		{"no errors, differences", []string{"--current", sound, newer}, ExitSuccess, "+ services[\"more\"]\n"},
		{"flags behind the file", []string{newer, "--current", sound}, ExitSuccess, "+ services[\"more\"]\n"},
		{"differences that were asked for", []string{"--differences-exit", "--current", sound, newer}, ExitDifferences, "1 differences"},
		{"no differences, the version is not higher", []string{"--differences-exit", "--current", sound, sound}, ExitFailure, "sound.json:1: version: 7 is not higher than 7"},
		{"current is missing", []string{"--current", filepath.Join(dir, "none.json"), sound}, ExitUsage, "none.json"},
		{"current can't be decoded", []string{"--current", wrong, sound}, ExitUsage, "wrong.json"},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(append([]string{"check-config"}, test.args...)...)
			qt.New(t).Assert(stdout+stderr, qt.Contains, test.want)
			qt.New(t).Assert(code, qt.Equals, test.code)
		})
	}
	t.Run("as JSON", func(t *testing.T) {
		c := qt.New(t)
		code, stdout, _ := runCommand("check-config", "--json", "--current", sound, wrong)
		c.Assert(code, qt.Equals, ExitFailure)
		var report checkReport
		c.Assert(json.Unmarshal([]byte(stdout), &report), qt.IsNil)
		c.Assert(report.Version, qt.Equals, int64(7))
		c.Assert(len(report.Problems) > 3, qt.IsTrue)
		c.Assert(report.Differences[len(report.Differences)-1], qt.Equals, check.Difference{Kind: check.DifferenceRemoved, Field: `services["web"]`})
	})
}
