package router_test

import (
	"fmt"
	"testing"

	"azurehitch"
	"azurehitch/internal/forward/router"

	qt "github.com/frankban/quicktest"
)

func TestPathIndex(t *testing.T) {
	index := router.NewPathIndex(azurehitch.RoutingTable{Version: 1, Routes: []azurehitch.PathRoute{
		{Name: "short", Host: "a.example", PathPrefix: "/notes/"},
		{Name: "long", Host: "a.example", PathPrefix: "/notes/daily/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}})
	for _, test := range []struct{ host, path, route string }{
		{"a.example", "/notes/x", "short"},
		{"a.example", "/notes/daily/x", "long"},
		{"a.example", "/notes/dailyx", "short"},
		{"A.Example:8080", "/notes/x", "short"},
		{"a.example", "/notes", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/notes/x", ""},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			route, ok := index.Route(test.host, test.path)
			c := qt.New(t)
			c.Assert(ok, qt.Equals, test.route != "")
			c.Assert(route.Name, qt.Equals, test.route)
		})
	}
}

func TestSplit(t *testing.T) {
	c := qt.New(t)
	route := azurehitch.PathRoute{Targets: []azurehitch.RouteTarget{{Service: "new", Weight: 10}, {Service: "old", Weight: 90}}}
	const requests = 2000
	newCount := 0
	for i := range requests {
		id := fmt.Sprintf("request-%d", i)
		service := router.ChooseService(route, id)
		c.Assert(router.ChooseService(route, id), qt.Equals, service)
		if service == "new" {
			newCount++
		}
	}
	c.Assert(newCount > requests/20 && newCount < requests/5, qt.IsTrue, qt.Commentf("%d of %d", newCount, requests))
}

// TestServices checks to which services requests on a route may be sent.
func TestServices(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets []azurehitch.RouteTarget
		want    []string
	}{
		{"one", []azurehitch.RouteTarget{{Service: "a", Weight: 1}}, []string{"a"}},
		{"those with a positive weight", []azurehitch.RouteTarget{{Service: "a", Weight: 1}, {Service: "b"}, {Service: "c", Weight: 2}}, []string{"a", "c"}},
		{"the first without any weight", []azurehitch.RouteTarget{{Service: "a"}, {Service: "b"}}, []string{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, router.Services(azurehitch.PathRoute{Targets: test.targets}), qt.DeepEquals, test.want)
		})
	}
}
