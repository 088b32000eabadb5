package tables

import (
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"azurehitch"
)

// The bounds of settings in the tables.
const (
	MaxNameBytes       = 128
	MinLeaseDuration   = time.Second
	MaxLeaseDuration   = 5 * time.Minute
	MaxQueueLimit      = 1_000_000
	keyDigestBytes     = 32
	reservedNameLetter = ":@/"
)

// checker collects mistakes.
type checker struct {
	mistakes []Mistake
}

func (c *checker) add(place, format string, args ...any) {
	c.mistakes = append(c.mistakes, Mistake{Place: place, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) require(ok bool, place, format string, args ...any) {
	if !ok {
		c.add(place, format, args...)
	}
}

func (c *checker) name(place, name string) {
	switch {
	case name == "":
		c.add(place, "is missing")
	case len(name) > MaxNameBytes:
		c.add(place, "is longer than %d bytes", MaxNameBytes)
	case strings.ContainsAny(name, reservedNameLetter) || strings.TrimSpace(name) != name:
		c.add(place, "%q contains one of %q or outer blanks", name, reservedNameLetter)
	}
}

// uniqueName checks a name and that it is new in the set.
func (c *checker) uniqueName(seen map[string]bool, place, name string) {
	c.name(place, name)
	c.require(!seen[name], place, "%q stands twice", name)
	seen[name] = true
}

func validate(configuration Configuration) []Mistake {
	c := &checker{}
	c.checkPools(configuration.Pools)
	c.checkCallers(configuration.Routes.Callers)
	c.checkRoutes(configuration)
	return c.mistakes
}

func (c *checker) checkCallers(callers []Caller) {
	names, digests := map[string]bool{}, map[string]bool{}
	for i, caller := range callers {
		at := fmt.Sprintf("Routes.Callers[%d]", i)
		c.uniqueName(names, at+".Name", caller.Name)
		digest, err := hex.DecodeString(caller.KeySHA256)
		c.require(err == nil && len(digest) == keyDigestBytes, at+".KeySHA256", "is not a SHA-256 digest in hexadecimal")
		c.require(!digests[caller.KeySHA256], at+".KeySHA256", "two callers have the same key")
		digests[caller.KeySHA256] = true
		c.require(caller.Tier == TierPaid || caller.Tier == TierTrial, at+".Tier", "%q is neither Paid nor Trial", caller.Tier)
		c.require(caller.RequestsPerSecond > 0, at+".RequestsPerSecond", "is missing or not positive")
		c.require(caller.Burst > 0, at+".Burst", "is missing or not positive")
	}
}

func (c *checker) checkPools(table PoolTable) {
	names, servers := map[string]bool{}, map[string]bool{}
	for i, pool := range table.Pools {
		at := fmt.Sprintf("Pools.Pools[%d]", i)
		c.uniqueName(names, at+".Name", pool.Name)
		c.checkServers(servers, at, pool)
		c.checkLimits(at, pool)
		switch pool.Kind {
		case PoolKindModels:
			c.checkModels(at, pool)
		case PoolKindService:
			c.checkCalls(at, pool)
		default:
			c.add(at+".Kind", "%q is neither Models nor Service", pool.Kind)
		}
	}
}

func (c *checker) checkServers(seen map[string]bool, at string, pool Pool) {
	c.require(len(pool.BackendServers) > 0, at+".BackendServers", "is empty")
	for i, server := range pool.BackendServers {
		at := fmt.Sprintf("%s.BackendServers[%d]", at, i)
		c.uniqueName(seen, at+".Name", server.Name)
		c.name(at+".FailureDomain", server.FailureDomain)
		c.require(isIPAddress(server.Address), at+".Address", "%q is not an IP number and port", server.Address)
		if pool.Kind == PoolKindModels {
			c.checkEngine(at, server)
		}
	}
}

func (c *checker) checkEngine(at string, server BackendServer) {
	c.require(server.AcceleratorMemory > 0, at+".AcceleratorMemory", "is missing")
	switch server.FencingToken {
	case TokenIgnored, TokenChecked, TokenKept:
	default:
		c.add(at+".FencingToken", "%q is none of Ignored, Checked and Kept", server.FencingToken)
	}
}

func isIPAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

func (c *checker) checkLimits(at string, pool Pool) {
	c.require(pool.ConcurrentRequests > 0, at+".ConcurrentRequests", "is missing or not positive")
	c.require(pool.PromisedToPaid >= 0, at+".PromisedToPaid", "is negative")
	c.require(pool.PromisedToPaid <= pool.ConcurrentRequests, at+".PromisedToPaid",
		"promises %d requests, and the pool has capacity for %d", pool.PromisedToPaid, pool.ConcurrentRequests)
	c.require(pool.QueueLimit > 0 && pool.QueueLimit <= MaxQueueLimit, at+".QueueLimit", "is not between 1 and %d", MaxQueueLimit)
}

func (c *checker) checkModels(at string, pool Pool) {
	c.require(pool.IdleTimeout > 0, at+".IdleTimeout", "is missing or not positive")
	c.require(pool.ColdStartPrice >= 0, at+".ColdStartPrice", "is negative")
	lease := pool.LeaseDuration.Std()
	c.require(lease >= MinLeaseDuration && lease <= MaxLeaseDuration, at+".LeaseDuration",
		"is not between %v and %v", MinLeaseDuration, MaxLeaseDuration)
	var memory azurehitch.ByteSize
	for _, server := range pool.BackendServers {
		memory += server.AcceleratorMemory
	}
	c.require(pool.PromisedMemoryToPaid >= 0 && pool.PromisedMemoryToPaid <= memory, at+".PromisedMemoryToPaid",
		"promises %v, and the pool has %v", pool.PromisedMemoryToPaid, memory)
	c.require(len(pool.Calls) == 0, at+".Calls", "a pool of models has no calls")
	names := map[string]bool{}
	for i, model := range pool.Models {
		at := fmt.Sprintf("%s.Models[%d]", at, i)
		c.uniqueName(names, at+".Name", model.Name)
		c.require(model.MaxReplicas > 0, at+".MaxReplicas", "is missing or not positive")
		c.require(model.MaxReplicas <= len(pool.BackendServers), at+".MaxReplicas",
			"promises %d replicas on %d backend servers", model.MaxReplicas, len(pool.BackendServers))
		c.checkVersions(at, pool, model)
	}
}

func (c *checker) checkVersions(at string, pool Pool, model Model) {
	var largest azurehitch.ByteSize
	for _, server := range pool.BackendServers {
		largest = max(largest, server.AcceleratorMemory)
	}
	c.require(len(model.Versions) > 0, at+".Versions", "is empty")
	versions := map[string]bool{}
	for i, version := range model.Versions {
		at := fmt.Sprintf("%s.Versions[%d]", at, i)
		c.uniqueName(versions, at+".Version", version.Version)
		c.require(version.Memory > 0, at+".Memory", "is missing")
		c.require(version.Memory <= largest, at+".Memory", "%v is more than any backend server of the pool has", version.Memory)
	}
	adapters := map[string]bool{}
	for i, adapter := range model.Adapters {
		at := fmt.Sprintf("%s.Adapters[%d]", at, i)
		c.uniqueName(adapters, at+".Name", adapter.Name)
		c.require(adapter.Memory > 0, at+".Memory", "is missing")
	}
}

func (c *checker) checkCalls(at string, pool Pool) {
	c.require(len(pool.Models) == 0, at+".Models", "a pool of a service has no models")
	for i, call := range pool.Calls {
		at := fmt.Sprintf("%s.Calls[%d]", at, i)
		c.require(call.Method != "", at+".Method", "is missing")
		c.require(strings.HasPrefix(call.PathPrefix, "/"), at+".PathPrefix", "does not begin with /")
	}
}

func (c *checker) checkRoutes(configuration Configuration) {
	names := map[string]bool{}
	callers := map[string]bool{}
	for _, caller := range configuration.Routes.Callers {
		callers[caller.Name] = true
	}
	for i, route := range configuration.Routes.Routes {
		at := fmt.Sprintf("Routes.Routes[%d]", i)
		c.uniqueName(names, at+".Name", route.Name)
		c.require(len(route.Callers) > 0, at+".Callers", "is empty")
		for j, name := range route.Callers {
			c.require(callers[name], fmt.Sprintf("%s.Callers[%d]", at, j), "no caller is named %q", name)
		}
		c.checkTarget(at, route, configuration.Pools)
	}
}

func (c *checker) checkTarget(at string, route Route, pools PoolTable) {
	pool, ok := pools.Pool(route.Pool)
	if !ok {
		c.add(at+".Pool", "no pool is named %q", route.Pool)
		return
	}
	if pool.Kind == PoolKindService {
		c.require(route.Model == "" && len(route.Adapters) == 0 && len(route.Versions) == 0, at, "a route to a service names no model")
		c.require(strings.HasPrefix(route.PathPrefix, "/") && !strings.HasPrefix(route.PathPrefix, "/v1"), at+".PathPrefix",
			"does not begin with /, or begins with /v1, which is the completions API")
		return
	}
	c.require(route.PathPrefix == "", at+".PathPrefix", "a route to models has no path prefix")
	model, ok := pool.Model(route.Model)
	if !ok {
		c.add(at+".Model", "pool %q has no model named %q", route.Pool, route.Model)
		return
	}
	c.require(len(route.Versions) > 0, at+".Versions", "is empty")
	for j, version := range route.Versions {
		known := slices.ContainsFunc(model.Versions, func(v ModelVersion) bool { return v.Version == version })
		c.require(known, fmt.Sprintf("%s.Versions[%d]", at, j), "model %q has no version %q", model.Name, version)
	}
	for j, adapter := range route.Adapters {
		known := slices.ContainsFunc(model.Adapters, func(a Adapter) bool { return a.Name == adapter })
		c.require(known, fmt.Sprintf("%s.Adapters[%d]", at, j), "model %q has no adapter %q", model.Name, adapter)
	}
}
