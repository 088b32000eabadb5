// Package router finds the route and the pool for a request.
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

// Index has the callers, pools and routes of one configuration, arranged for lookup. It is
// immutable.
type Index struct {
	Configuration tables.Configuration

	// callers is keyed by the SHA-256 digest of the API key in hexadecimal.
	callers map[string]tables.Caller
	pools   map[string]tables.Pool
	models  map[modelKey][]tables.Route
	// services holds the routes to plain services by caller name, longest path prefix first. A
	// plain service is a backend that is no model engine.
	services map[string][]tables.Route
}

type modelKey struct {
	caller string
	model  string
}

// Target is the pool and the artifact for a request for a model.
type Target struct {
	Pool     tables.Pool
	Artifact azurehitch.Artifact
}

// ServiceTarget is the pool for a call to a plain service.
type ServiceTarget struct {
	Pool       tables.Pool
	Idempotent bool
}

// NewIndex returns the index of a configuration.
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

// Caller returns the caller to which an API key belongs.
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

// Model finds the route of a caller for a name of the form model[:adapter][@version]. If the name
// has no version, Model chooses the first version of the route. The error is an
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

// Service finds the route of a caller with the longest prefix of the path. The error is an
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

// isIdempotent reports whether the call of the pool with the longest matching path prefix is
// idempotent. It returns false if no call matches.
func isIdempotent(pool tables.Pool, method, path string) bool {
	idempotent, longest := false, -1
	for _, call := range pool.Calls {
		if call.Method == method && hasPathPrefix(path, call.PathPrefix) && len(call.PathPrefix) > longest {
			idempotent, longest = call.Idempotent, len(call.PathPrefix)
		}
	}
	return idempotent
}

// hasPathPrefix reports whether the path begins with the prefix as whole path segments.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Models returns the model names, with and without adapters, that a caller may request, sorted.
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
