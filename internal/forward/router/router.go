// Package router matches requests with the table of routes.
//
// # Usage
//
//	index := router.NewIndex(configuration)
//	caller, ok := index.Caller(key)
//	target, err := index.Model(caller, "care-note:lash@3")
package router

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
)

// Index is the routes of one configuration, arranged for look-up. It is never
// changed.
type Index struct {
	Configuration tables.Configuration

	callers  map[string]tables.Caller
	pools    map[string]tables.Pool
	models   map[modelKey][]tables.Route
	services map[string][]tables.Route
}

type modelKey struct {
	caller string
	model  string
}

// Target is where a request for a model goes.
type Target struct {
	Pool     tables.Pool
	Artifact azurehitch.Artifact
}

// ServiceTarget is where a call of a plain service goes.
type ServiceTarget struct {
	Pool       tables.Pool
	Idempotent bool
}

// NewIndex arranges a configuration.
func NewIndex(configuration tables.Configuration) *Index {
	index := &Index{
		Configuration: configuration,
		callers:       map[string]tables.Caller{},
		pools:         map[string]tables.Pool{},
		models:        map[modelKey][]tables.Route{},
		services:      map[string][]tables.Route{},
	}
	for _, caller := range configuration.Routes.Callers {
		index.callers[caller.KeySHA256] = caller
	}
	for _, pool := range configuration.Pools.Pools {
		index.pools[pool.Name] = pool
	}
	for _, route := range configuration.Routes.Routes {
		index.addRoute(route)
	}
	for _, routes := range index.services {
		slices.SortStableFunc(routes, func(a, b tables.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return index
}

func (i *Index) addRoute(route tables.Route) {
	for _, caller := range route.Callers {
		if route.Model == "" {
			i.services[caller] = append(i.services[caller], route)
			continue
		}
		key := modelKey{caller: caller, model: route.Model}
		i.models[key] = append(i.models[key], route)
	}
}

// Caller returns the caller that has a key.
func (i *Index) Caller(key string) (tables.Caller, bool) {
	digest := sha256.Sum256([]byte(key))
	caller, ok := i.callers[hex.EncodeToString(digest[:])]
	return caller, ok
}

// Pool returns a pool by name.
func (i *Index) Pool(name string) (tables.Pool, bool) {
	pool, ok := i.pools[name]
	return pool, ok
}

// Model finds the route of a caller to model[:adapter][@version]. The error is an
// *azurehitch.ErrRefused.
func (i *Index) Model(caller tables.Caller, name string) (Target, error) {
	artifact := ParseArtifact(name)
	for _, route := range i.models[modelKey{caller: caller.Name, model: artifact.Model}] {
		found := artifact
		if found.Version == "" && len(route.Versions) > 0 {
			found.Version = route.Versions[0]
		}
		if !slices.Contains(route.Versions, found.Version) {
			continue
		}
		if found.Adapter != "" && !slices.Contains(route.Adapters, found.Adapter) {
			continue
		}
		if pool, ok := i.pools[route.Pool]; ok {
			return Target{Pool: pool, Artifact: found}, nil
		}
	}
	return Target{}, azurehitch.Refuse(azurehitch.CodeRouteNotFound, "no route leads to model %q", name)
}

// Service finds the route of a caller for a call. The error is an
// *azurehitch.ErrRefused.
func (i *Index) Service(caller tables.Caller, method, path string) (ServiceTarget, error) {
	for _, route := range i.services[caller.Name] {
		if !hasPathPrefix(path, route.PathPrefix) {
			continue
		}
		if pool, ok := i.pools[route.Pool]; ok {
			return ServiceTarget{Pool: pool, Idempotent: isIdempotent(pool, method, path)}, nil
		}
	}
	return ServiceTarget{}, azurehitch.Refuse(azurehitch.CodeRouteNotFound, "no route leads to %s", path)
}

// isIdempotent goes by the most exact call of the table that matches.
func isIdempotent(pool tables.Pool, method, path string) bool {
	idempotent, longest := false, -1
	for _, call := range pool.Calls {
		if call.Method == method && hasPathPrefix(path, call.PathPrefix) && len(call.PathPrefix) > longest {
			idempotent, longest = call.Idempotent, len(call.PathPrefix)
		}
	}
	return idempotent
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Models lists the names that a caller can ask for, in order.
func (i *Index) Models(caller tables.Caller) []string {
	names := map[string]bool{}
	for key, routes := range i.models {
		if key.caller != caller.Name {
			continue
		}
		for _, route := range routes {
			names[route.Model] = true
			for _, adapter := range route.Adapters {
				names[route.Model+":"+adapter] = true
			}
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// ParseArtifact splits model[:adapter][@version].
func ParseArtifact(name string) azurehitch.Artifact {
	rest, version, _ := strings.Cut(name, "@")
	model, adapter, _ := strings.Cut(rest, ":")
	return azurehitch.Artifact{Model: model, Adapter: adapter, Version: version}
}
