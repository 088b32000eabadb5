package passthrough_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// testAllowances is an Allowances with a balance.
type testAllowances struct{ left float64 }

// Take implements passthrough.Allowances.
func (a *testAllowances) Take(_ context.Context, _ azurehitch.ClientAccount, cost float64) (func(), error) {
	if cost > a.left {
		return nil, azurehitch.Refuse(azurehitch.CodeAllowanceExceeded, "beyond the limit").WithRetryAfter(time.Second)
	}
	a.left -= cost
	return func() { a.left += cost }, nil
}

// withAccounts calls run with a gateway whose configuration has the accounts free, limited and faulty, with keys
// of the same names.
func withAccounts(t *testing.T, route azurehitch.PathRoute, backends []*backend, run func(g *gateway)) {
	t.Helper()
	withGateway(t, route, backends, func(g *gateway) {
		table := g.routing.Load().Table
		for name, allowance := range map[string]azurehitch.Allowance{"free": {}, "limited": {PerSecond: 1}, "faulty": {Invalid: "is no number"}} {
			table.Accounts = append(table.Accounts, azurehitch.AccountEntry{
				ClientAccount: azurehitch.ClientAccount{Name: name, Allowance: allowance}, Position: len(table.Accounts), Keys: []azurehitch.KeyHash{azurehitch.HashKey([]byte(name))},
			})
		}
		g.routing.Store(router.NewPathIndex(table))
		run(g)
	})
}

func key(name string) map[string]string { return map[string]string{"X-Key": name} }

func TestAuthentication(t *testing.T) {
	t.Run("a key is replaced by the name of its account", func(t *testing.T) {
		b := newBackend(t, whole, 0)
		withAccounts(t, idempotent, []*backend{b}, func(g *gateway) {
			g.Assert(g.sendWith("GET", "/x/y", "", map[string]string{"X-Key": "free", "X-Account": "forged"}).status, qt.Equals, 200)
			g.Assert(b.headers[0].Values("X-Account"), qt.DeepEquals, []string{"free"})
			g.Assert(b.headers[0].Values("X-Key"), qt.HasLen, 0)
		})
	})
	t.Run("without a valid key, no server gets the request", func(t *testing.T) {
		b := newBackend(t, whole, 0)
		withAccounts(t, idempotent, []*backend{b}, func(g *gateway) {
			for _, fields := range []map[string]string{nil, key("unknown"), key("")} {
				got := g.sendWith("GET", "/x/y", "", fields)
				g.Check(got.status, qt.Equals, 401)
				g.Check(got.header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
			}
			g.Assert(statusOf(g, "X-Key: free\r\nX-Key: free\r\n"), qt.Equals, 401)
			g.Assert(b.requests(), qt.HasLen, 0)
		})
	})
	t.Run("a key beyond the limit of the header is refused as a key", func(t *testing.T) {
		long := strings.Repeat("k", 100_000)
		withAccounts(t, idempotent, nil, func(g *gateway) {
			for _, connections := range []int{1, 20} {
				for range connections {
					g.Check(statusOfField(g, fasthttp.HeaderAuthorization, long), qt.Equals, 401)
				}
			}
			g.Check(statusOfField(g, "authorization", long), qt.Equals, 401)
			g.Check(statusOfField(g, "X-Other", long), qt.Equals, 431)
			index := g.routing.Swap(router.NewPathIndex(azurehitch.RoutingTable{}))
			g.Check(statusOfField(g, fasthttp.HeaderAuthorization, long), qt.Equals, 503)
			g.routing.Store(index)
		})
		withGateway(t, idempotent, nil, func(g *gateway) {
			g.Assert(statusOfField(g, fasthttp.HeaderAuthorization, long), qt.Equals, 431, qt.Commentf("without accounts"))
		})
	})
	t.Run("an unknown route is refused as such whatever the key", func(t *testing.T) {
		withAccounts(t, idempotent, nil, func(g *gateway) {
			g.Assert(g.send("GET", "/z/", "").status, qt.Equals, 404)
			g.Assert(g.sendWith("GET", "/z/", "", key("free")).status, qt.Equals, 404)
		})
	})
	t.Run("a public route needs no key, and states no account", func(t *testing.T) {
		b := newBackend(t, whole, 0)
		public := idempotent
		public.Public = true
		withAccounts(t, public, []*backend{b}, func(g *gateway) {
			g.Assert(g.sendWith("GET", "/x/y", "", map[string]string{"X-Account": "forged"}).status, qt.Equals, 200)
			g.Assert(b.headers[0].Get("X-Account"), qt.Equals, "")
		})
	})
	t.Run("without accounts, both fields pass", func(t *testing.T) {
		b := newBackend(t, whole, 0)
		withGateway(t, idempotent, []*backend{b}, func(g *gateway) {
			g.Assert(g.sendWith("GET", "/x/y", "", map[string]string{"X-Key": "any", "X-Account": "own"}).status, qt.Equals, 200)
			g.Assert(b.headers[0].Get("X-Account"), qt.Equals, "own")
			g.Assert(b.headers[0].Get("X-Key"), qt.Equals, "any")
		})
	})
}

// statusOfField sends a request with a header field.
func statusOfField(g *gateway, name, value string) int {
	return statusOf(g, "X-First: 1\r\n"+name+": Bearer "+value+"\r\n")
}

// statusOf sends a request with raw header fields, and returns the status of the answer.
func statusOf(g *gateway, fields string) int {
	conn, err := net.Dial("tcp", g.address)
	g.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write([]byte("GET /x/y HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" + fields + "\r\n"))
	g.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Assert(err, qt.IsNil)
	return response.StatusCode
}

func TestStaleConfiguration(t *testing.T) {
	for _, test := range []struct {
		name           string
		age            time.Duration
		public, hasKey bool
		status         int
	}{
		{"recent", maxConfigurationAge - time.Second, false, true, 200},
		{"too old for a known key", maxConfigurationAge + time.Second, false, true, 503},
		{"too old to know that a key is unknown", maxConfigurationAge + time.Second, false, false, 503},
		{"a public route needs no key", maxConfigurationAge + time.Second, true, false, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			route := idempotent
			route.Public = test.public
			withAccounts(t, route, []*backend{newBackend(t, whole, 0)}, func(g *gateway) {
				g.configurationAge.Store(int64(test.age))
				fields := key("unknown")
				if test.hasKey {
					fields = key("free")
				}
				got := g.sendWith("GET", "/x/y", "", fields)
				g.Assert(got.status, qt.Equals, test.status)
				g.Assert(got.header.Get("Retry-After") != "", qt.Equals, test.status == 503)
			})
		})
	}
}

// TestAllowances guards against requests beyond a limit that run, and against a charge for requests that no
// server has run.
func TestAllowances(t *testing.T) {
	for _, test := range []struct {
		name, account, answer string
		left                  float64
		status                int
		leftAfter             float64
	}{
		{"within the limit", "limited", whole, 1, http.StatusOK, 0},
		{"beyond the limit", "limited", whole, 0, http.StatusTooManyRequests, 0},
		{"not run: refunded", "limited", notRun, 1, http.StatusServiceUnavailable, 1},
		{"perhaps run: not refunded", "limited", silent, 1, http.StatusBadGateway, 0},
		{"no limit", "free", whole, 0, http.StatusOK, 0},
		{"a limit that can't be applied", "faulty", whole, 1, http.StatusTooManyRequests, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			withAccounts(t, nonIdempotent, []*backend{newBackend(t, test.answer, 0)}, func(g *gateway) {
				allowances := &testAllowances{left: test.left}
				g.server.Allowances = allowances
				got := g.sendWith("POST", "/x/y", "", key(test.account))
				g.Assert(got.status, qt.Equals, test.status)
				g.Assert(got.header.Get("Retry-After") != "", qt.Equals, test.status == 429 || test.status == 503)
				g.Assert(allowances.left, qt.Equals, test.leftAfter)
			})
		})
	}
}
