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

// The limits of values in the tables.
const (
	MaxNameBytes           = 128
	MinLeaseDuration       = time.Second
	MaxLeaseDuration       = 5 * time.Minute
	MaxQueueLimit          = 1_000_000
	keyDigestBytes         = 32
	reservedNameCharacters = ":@/"
)

// checker collects the mistakes that the checks of a configuration find.
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

func (c *checker) checkName(place, name string) {
	switch {
	case name == "":
		c.add(place, "is missing")
	case len(name) > MaxNameBytes:
		c.add(place, "is longer than %d bytes", MaxNameBytes)
	case strings.ContainsAny(name, reservedNameCharacters) || strings.TrimSpace(name) != name:
		c.add(place, "%q contains one of %q or outer blanks", name, reservedNameCharacters)
	}
}

// checkUniqueName checks a name and adds it to seen. A name that seen already contains is a mistake.
func (c *checker) checkUniqueName(seen map[string]bool, place, name string) {
	c.checkName(place, name)
	c.require(!seen[name], place, "%q stands twice", name)
	seen[name] = true
}

// validate returns all mistakes in a decoded configuration.
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
		place := fmt.Sprintf("Routes.Callers[%d]", i)
		c.checkUniqueName(names, place+".Name", caller.Name)
		digest, err := hex.DecodeString(caller.KeySHA256)
		c.require(err == nil && len(digest) == keyDigestBytes, place+".KeySHA256", "is not a SHA-256 digest in hexadecimal")
		c.require(!digests[caller.KeySHA256], place+".KeySHA256", "two callers have the same key")
		digests[caller.KeySHA256] = true
		c.require(caller.Tier == TierPaid || caller.Tier == TierTrial, place+".Tier", "%q is neither Paid nor Trial", caller.Tier)
		c.require(caller.RequestsPerSecond > 0, place+".RequestsPerSecond", "is missing or not positive")
		c.require(caller.Burst > 0, place+".Burst", "is missing or not positive")
	}
}

func (c *checker) checkPools(table PoolTable) {
	names, servers := map[string]bool{}, map[string]bool{}
	for i, pool := range table.Pools {
		place := fmt.Sprintf("Pools.Pools[%d]", i)
		c.checkUniqueName(names, place+".Name", pool.Name)
		c.checkServers(servers, place, pool)
		c.checkLimits(place, pool)
		switch pool.Kind {
		case PoolKindModels:
			c.checkModels(place, pool)
		case PoolKindService:
			c.checkCalls(place, pool)
		default:
			c.add(place+".Kind", "%q is neither Models nor Service", pool.Kind)
		}
	}
}

func (c *checker) checkServers(seen map[string]bool, place string, pool Pool) {
	c.require(len(pool.BackendServers) > 0, place+".BackendServers", "is empty")
	for i, server := range pool.BackendServers {
		place := fmt.Sprintf("%s.BackendServers[%d]", place, i)
		c.checkUniqueName(seen, place+".Name", server.Name)
		c.checkName(place+".FailureDomain", server.FailureDomain)
		c.require(isIPAddress(server.Address), place+".Address", "%q is not an IP number and port", server.Address)
		if pool.Kind == PoolKindModels {
			c.checkEngine(place, server)
		}
	}
}

func (c *checker) checkEngine(place string, server BackendServer) {
	c.require(server.AcceleratorMemory > 0, place+".AcceleratorMemory", "is missing")
	switch server.FencingToken {
	case TokenIgnored, TokenChecked, TokenKept:
	default:
		c.add(place+".FencingToken", "%q is none of Ignored, Checked and Kept", server.FencingToken)
	}
}

// isIPAddress reports whether an address is an IP address with a port.
func isIPAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

func (c *checker) checkLimits(place string, pool Pool) {
	c.require(pool.ConcurrentRequests > 0, place+".ConcurrentRequests", "is missing or not positive")
	c.require(pool.PromisedToPaid >= 0, place+".PromisedToPaid", "is negative")
	c.require(pool.PromisedToPaid <= pool.ConcurrentRequests, place+".PromisedToPaid",
		"promises %d requests, and the pool has capacity for %d", pool.PromisedToPaid, pool.ConcurrentRequests)
	c.require(pool.QueueLimit > 0 && pool.QueueLimit <= MaxQueueLimit, place+".QueueLimit", "is not between 1 and %d", MaxQueueLimit)
}

func (c *checker) checkModels(place string, pool Pool) {
	c.require(pool.IdleTimeout > 0, place+".IdleTimeout", "is missing or not positive")
	c.require(pool.ColdStartPrice >= 0, place+".ColdStartPrice", "is negative")
	lease := pool.LeaseDuration.Std()
	c.require(lease >= MinLeaseDuration && lease <= MaxLeaseDuration, place+".LeaseDuration",
		"is not between %v and %v", MinLeaseDuration, MaxLeaseDuration)
	var memory azurehitch.ByteSize
	for _, server := range pool.BackendServers {
		memory += server.AcceleratorMemory
	}
	c.require(pool.PromisedMemoryToPaid >= 0 && pool.PromisedMemoryToPaid <= memory, place+".PromisedMemoryToPaid",
		"promises %v, and the pool has %v", pool.PromisedMemoryToPaid, memory)
	c.require(len(pool.Calls) == 0, place+".Calls", "a pool of models has no calls")
	names := map[string]bool{}
	for i, model := range pool.Models {
		place := fmt.Sprintf("%s.Models[%d]", place, i)
		c.checkUniqueName(names, place+".Name", model.Name)
		c.require(model.MaxReplicas > 0, place+".MaxReplicas", "is missing or not positive")
		c.require(model.MaxReplicas <= len(pool.BackendServers), place+".MaxReplicas",
			"promises %d replicas on %d backend servers", model.MaxReplicas, len(pool.BackendServers))
		c.checkVersions(place, pool, model)
	}
}

func (c *checker) checkVersions(place string, pool Pool, model Model) {
	var largest azurehitch.ByteSize
	for _, server := range pool.BackendServers {
		largest = max(largest, server.AcceleratorMemory)
	}
	c.require(len(model.Versions) > 0, place+".Versions", "is empty")
	versions := map[string]bool{}
	for i, version := range model.Versions {
		place := fmt.Sprintf("%s.Versions[%d]", place, i)
		c.checkUniqueName(versions, place+".Version", version.Version)
		c.require(version.Memory > 0, place+".Memory", "is missing")
		c.require(version.Memory <= largest, place+".Memory", "%v is more than any backend server of the pool has", version.Memory)
	}
	adapters := map[string]bool{}
	for i, adapter := range model.Adapters {
		place := fmt.Sprintf("%s.Adapters[%d]", place, i)
		c.checkUniqueName(adapters, place+".Name", adapter.Name)
		c.require(adapter.Memory > 0, place+".Memory", "is missing")
	}
}

func (c *checker) checkCalls(place string, pool Pool) {
	c.require(len(pool.Models) == 0, place+".Models", "a pool of a service has no models")
	for i, call := range pool.Calls {
		place := fmt.Sprintf("%s.Calls[%d]", place, i)
		c.require(call.Method != "", place+".Method", "is missing")
		c.require(strings.HasPrefix(call.PathPrefix, "/"), place+".PathPrefix", "does not begin with /")
	}
}

func (c *checker) checkRoutes(configuration Configuration) {
	names := map[string]bool{}
	callers := map[string]bool{}
	for _, caller := range configuration.Routes.Callers {
		callers[caller.Name] = true
	}
	for i, route := range configuration.Routes.Routes {
		place := fmt.Sprintf("Routes.Routes[%d]", i)
		c.checkUniqueName(names, place+".Name", route.Name)
		c.require(len(route.Callers) > 0, place+".Callers", "is empty")
		for j, name := range route.Callers {
			c.require(callers[name], fmt.Sprintf("%s.Callers[%d]", place, j), "no caller is named %q", name)
		}
		c.checkTarget(place, route, configuration.Pools)
	}
}

func (c *checker) checkTarget(place string, route Route, pools PoolTable) {
	pool, ok := pools.Pool(route.Pool)
	if !ok {
		c.add(place+".Pool", "no pool is named %q", route.Pool)
		return
	}
	if pool.Kind == PoolKindService {
		c.require(route.Model == "" && len(route.Adapters) == 0 && len(route.Versions) == 0, place, "a route to a service names no model")
		c.require(strings.HasPrefix(route.PathPrefix, "/") && !strings.HasPrefix(route.PathPrefix, "/v1"), place+".PathPrefix",
			"does not begin with /, or begins with /v1, which is the completions API")
		return
	}
	c.require(route.PathPrefix == "", place+".PathPrefix", "a route to models has no path prefix")
	model, ok := pool.Model(route.Model)
	if !ok {
		c.add(place+".Model", "pool %q has no model named %q", route.Pool, route.Model)
		return
	}
	c.require(len(route.Versions) > 0, place+".Versions", "is empty")
	for j, version := range route.Versions {
		known := slices.ContainsFunc(model.Versions, func(v ModelVersion) bool { return v.Version == version })
		c.require(known, fmt.Sprintf("%s.Versions[%d]", place, j), "model %q has no version %q", model.Name, version)
	}
	for j, adapter := range route.Adapters {
		known := slices.ContainsFunc(model.Adapters, func(a Adapter) bool { return a.Name == adapter })
		c.require(known, fmt.Sprintf("%s.Adapters[%d]", place, j), "model %q has no adapter %q", model.Name, adapter)
	}
}
