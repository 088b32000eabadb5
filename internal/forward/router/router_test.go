package router_test

import (
	"testing"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/router"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func configuration() tables.Configuration {
	return tables.Configuration{
		Version: 1,
		Routes: tables.RouteTable{
			Callers: []tables.Caller{{Name: "salon"}},
			Routes: []tables.Route{
				{Name: "notes", Callers: []string{"salon"}, Pool: "llm", Model: "note", Adapters: []string{"lash"}, Versions: []string{"2", "1"}},
				{Name: "beta", Callers: []string{"salon"}, Pool: "llm", Model: "note", Versions: []string{"3"}},
				{Name: "desk", Callers: []string{"salon"}, Pool: "desk", PathPrefix: "/booking"},
				{Name: "archive", Callers: []string{"salon"}, Pool: "archive", PathPrefix: "/booking/archive"},
			},
		},
		Pools: tables.PoolTable{Pools: []tables.Pool{
			{Name: "llm"},
			{Name: "desk", Calls: []tables.Call{
				{Method: "POST", PathPrefix: "/booking"},
				{Method: "POST", PathPrefix: "/booking/lookup", Idempotent: true},
			}},
			{Name: "archive"},
		}},
	}
}

func TestModel(t *testing.T) {
	c := qt.New(t)
	index := router.NewIndex(configuration())
	for _, test := range []struct {
		name string
		want string
	}{
		{"note", "note@2"},
		{"note@1", "note@1"},
		{"note:lash", "note:lash@2"},
		{"note@3", "note@3"},
		{"note:lash@3", ""},
		{"note@4", ""},
		{"note:brow", ""},
		{"", ""},
	} {
		c.Run(test.name, func(c *qt.C) {
			target, err := index.Model(tables.Caller{Name: "salon"}, test.name)
			if test.want != "" {
				c.Assert(err, qt.IsNil)
				c.Assert(target.Artifact.String(), qt.Equals, test.want)
				return
			}
			assertNoRoute(c, err)
		})
	}
	c.Run("another caller has no route", func(c *qt.C) {
		_, err := index.Model(tables.Caller{Name: "visitor"}, "note")
		assertNoRoute(c, err)
	})
}

func assertNoRoute(c *qt.C, err error) {
	c.Helper()
	var refused *azurehitch.ErrRefused
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, azurehitch.CodeRouteNotFound)
	c.Assert(refused.Run, qt.Equals, azurehitch.RunStateNotRun)
}

func TestService(t *testing.T) {
	c := qt.New(t)
	index := router.NewIndex(configuration())
	for _, test := range []struct {
		method, path string
		pool         string
		idempotent   bool
	}{
		{"POST", "/booking", "desk", false},
		{"POST", "/booking/lookup/7", "desk", true},
		{"GET", "/booking/lookup", "desk", false},
		{"GET", "/booking/archive/7", "archive", false},
	} {
		c.Run(test.method+test.path, func(c *qt.C) {
			target, err := index.Service(tables.Caller{Name: "salon"}, test.method, test.path)
			c.Assert(err, qt.IsNil)
			c.Assert(target.Pool.Name, qt.Equals, test.pool)
			c.Assert(target.Idempotent, qt.Equals, test.idempotent)
		})
	}
	_, err := index.Service(tables.Caller{Name: "salon"}, "GET", "/bookings")
	assertNoRoute(c, err)
}
