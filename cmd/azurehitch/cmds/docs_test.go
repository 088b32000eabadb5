package cmds

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/daemon/settings"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

const root = "../../.."

func readFile(c *qt.C, path string) string {
	c.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	c.Assert(err, qt.IsNil)
	return string(text)
}

// constants returns the string values of the constants of a type in a source file.
func constants(c *qt.C, path, typeName string) []string {
	c.Helper()
	pattern := regexp.MustCompile(`\b` + typeName + `\s+= "([^"]+)"`)
	var values []string
	for _, match := range pattern.FindAllStringSubmatch(readFile(c, path), -1) {
		values = append(values, match[1])
	}
	c.Assert(len(values) > 0, qt.IsTrue)
	return values
}

// assertDocumented checks that a page names each of the names as code.
func assertDocumented(c *qt.C, page string, names []string) {
	c.Helper()
	text := readFile(c, page)
	for _, name := range names {
		c.Check(strings.Contains(text, "`"+name+"`"), qt.IsTrue, qt.Commentf("%s does not name %s", page, name))
	}
}

// TestDocs checks that the pages of the documentation name each flag, table field, variable,
// code and point of the proofs.
func TestDocs(t *testing.T) {
	c := qt.New(t)
	c.Run("settings", func(c *qt.C) {
		s := settings.Default()
		for _, flag := range serveFlags(&s) {
			name := flag.Names()[0]
			variable := envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
			assertDocumented(c, "docs/settings.md", []string{"--" + name, variable})
		}
	})
	c.Run("tables", func(c *qt.C) {
		for _, value := range []any{
			tables.Caller{}, tables.Route{}, tables.Pool{}, tables.BackendServer{}, tables.Model{}, tables.ModelVersion{},
			tables.Adapter{}, tables.Call{},
		} {
			var fields []string
			for _, field := range reflect.VisibleFields(reflect.TypeOf(value)) {
				fields = append(fields, field.Name)
			}
			assertDocumented(c, "docs/configuration.md", fields)
		}
	})
	c.Run("variables", func(c *qt.C) {
		assertDocumented(c, "docs/metrics.md", constants(c, "internal/telemetry/metrics/metrics.go", "Name"))
	})
	c.Run("refusal codes", func(c *qt.C) {
		assertDocumented(c, "docs/api.md", constants(c, "refusal.go", "RefusalCode"))
	})
	c.Run("failure codes", func(c *qt.C) {
		assertDocumented(c, "docs/admin-api.md", constants(c, "internal/admin/operator/api.go", "FailureCode"))
	})
	c.Run("proofs", func(c *qt.C) {
		pattern := regexp.MustCompile(`(?m)^(?:prove|specify) (\w+)`)
		var points []string
		for _, match := range pattern.FindAllStringSubmatch(readFile(c, "_scripts/prove.sh"), -1) {
			points = append(points, match[1])
		}
		assertDocumented(c, "docs/proofs.md", points)
	})
}

func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errs strings.Builder
	code = Run(append([]string{"azurehitch"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

func TestCommandLine(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		about string
		args  []string
		code  int
		want  string
	}{
		{"no name", []string{"serve"}, ExitUsage, `--name: "" is not allowed`},
		{"unknown flag", []string{"serve", "--nothing"}, ExitUsage, "nothing"},
		{"setting out of range", []string{"serve", "--name", "a", "--log-service", "127.0.0.1:1", "--host-list", "127.0.0.1:1",
			"--weight-store", "127.0.0.1:1", "--max-timeout", "0s"}, ExitUsage, "--max-timeout: 0s is not allowed: from 1s to 24h0m0s"},
		{"file is missing", []string{"config", "check", "--routes", "nowhere.json"}, ExitFailure, "--routes: open nowhere.json"},
		{"no daemon answers", []string{"daemons", "--admin", "127.0.0.1:1"}, ExitFailure, "got no answer"},
		{"no address of a gateway", []string{"accounts"}, ExitUsage, "metrics address"},
		{"no gateway answers", []string{"accounts", "127.0.0.1:1"}, ExitFailure, "read the accounts of 127.0.0.1:1"},
		{"base is missing", []string{"config", "publish"}, ExitUsage, "base"},
	} {
		c.Run(test.about, func(c *qt.C) {
			code, _, stderr := runCommand(test.args...)
			c.Assert(stderr, qt.Contains, test.want)
			c.Assert(code, qt.Equals, test.code)
		})
	}
	c.Run("help names each environment variable", func(c *qt.C) {
		code, help, _ := runCommand("serve", "--help")
		c.Assert(code, qt.Equals, ExitSuccess)
		s := settings.Default()
		for _, flag := range serveFlags(&s) {
			visible, ok := flag.(cli.DocGenerationFlag)
			c.Assert(ok, qt.IsTrue)
			for _, variable := range visible.GetEnvVars() {
				c.Check(help, qt.Contains, variable)
			}
		}
	})
}
