package check

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"azurehitch"
	"azurehitch/internal/account/directory"
)

// checkRoutes finds routes that never match or contradict themselves.
func (c *checker) checkRoutes(table azurehitch.RoutingTable) {
	names, places := map[string]int{}, map[string]int{}
	for i, r := range table.Routes {
		at := c.element("", "Routes", i)
		c.require(r.Name != "", at, "Name", "is missing")
		if first, ok := names[r.Name]; ok && r.Name != "" {
			c.add(at, "Name", "%q is also the name of %s", r.Name, c.element("", "Routes", first))
		}
		names[r.Name] = i
		c.checkMatch(at, r)
		place := strings.ToLower(r.Host) + " " + r.PathPrefix
		if first, ok := places[place]; ok {
			c.add(at, "PathPrefix", "never matches: %s has the same host and path", c.element("", "Routes", first))
		} else {
			places[place] = i
		}
		c.checkTargets(at, r, table.Services)
		c.checkTimes(at, r)
	}
}

func (c *checker) checkMatch(at string, r azurehitch.PathRoute) {
	c.require(r.Host != "", at, "Host", "is missing: the route never matches")
	c.require(!strings.ContainsAny(r.Host, "/ "), at, "Host", "%q is no host: the route never matches", r.Host)
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/"):
		c.add(at, "PathPrefix", "%q does not begin with a slash: the route never matches", r.PathPrefix)
	case strings.ContainsAny(r.PathPrefix, "?#"):
		c.add(at, "PathPrefix", "%q is more than a path: the route never matches", r.PathPrefix)
	case !strings.HasSuffix(r.PathPrefix, "/"):
		c.add(at, "PathPrefix", "%q does not end with a slash: it would match a part of a name", r.PathPrefix)
	}
}

func (c *checker) checkTargets(at string, r azurehitch.PathRoute, services map[string]azurehitch.BackendService) {
	positive := 0
	for i, t := range r.Targets {
		target, field := c.element(at, "Targets", i), "Weight"
		if c.doc.lines[target] == 0 {
			// The route names its only service without a list of targets.
			target, field = at, "Service"
		}
		if _, ok := services[t.Service]; !ok {
			c.add(target, "Service", "%q is no service of this configuration", t.Service)
		}
		if t.Weight > 0 {
			positive++
			continue
		}
		c.add(target, field, "is %d: the service gets no requests", t.Weight)
	}
	c.require(positive > 0, at, "Targets", "has no positive weight: the first service gets all requests")
}

func (c *checker) checkTimes(at string, r azurehitch.PathRoute) {
	c.require(r.Timeout > 0, at, "Timeout", "is missing or not positive: all requests are refused")
	c.require(r.Objective >= 0, at, "Objective", "is negative")
	c.require(r.Timeout <= 0 || r.Objective <= r.Timeout, at, "Objective", "%v is longer than the timeout of %v", r.Objective, r.Timeout)
	c.require(r.MaxPause >= 0, at, "MaxPause", "is negative")
	c.require(r.Timeout <= 0 || r.MaxPause <= r.Timeout, at, "MaxPause", "%v is longer than the timeout of %v", r.MaxPause, r.Timeout)
	c.require(r.Priority >= 0, at, "Priority", "is negative; 0 is the most urgent one")
}

// checkServices finds services without capacity.
func (c *checker) checkServices(table azurehitch.RoutingTable) {
	list, name := c.path("", "Services"), c.decoder.FieldName("Name")
	for _, s := range slices.SortedFunc(maps.Values(table.Services), func(a, b azurehitch.BackendService) int {
		return cmp.Compare(a.Name, b.Name)
	}) {
		at := c.doc.element(list, name, s.Name)
		c.require(s.Name != "", at, "Name", "is missing")
		c.require(s.MaxConnections >= 0, at, "MaxConnections", "is negative")
		c.require(!s.HedgeShare.IsInvalid, at, "HedgeShare", "is not a number from 0 to 1: no requests are hedged")
		if s.Engine != nil {
			c.checkEngine(at, *s.Engine)
		}
	}
}

func (c *checker) checkEngine(service string, e azurehitch.EngineLimits) {
	at := c.path(service, "Engine")
	c.require(e.Slots > 0, at, "Slots", "is missing or not positive: its servers run no requests")
	c.require(e.Memory > 0, at, "Memory", "is missing or not positive: its servers load no models")
	c.require(e.HostMemory >= 0, at, "HostMemory", "is negative")
	c.require(e.Disk >= 0, at, "Disk", "is negative")
	c.require(e.AdapterSlots >= 0, at, "AdapterSlots", "is negative")
	c.require(e.RemoteLoadsPerSecond >= 0, at, "RemoteLoadsPerSecond", "is negative")
	c.require(len(e.Models) > 0, at, "Models", "is empty: its servers run no requests")
	list, name := c.path(at, "Models"), c.decoder.FieldName("Name")
	for _, model := range slices.Sorted(maps.Keys(e.Models)) {
		m, at := e.Models[model], c.doc.element(list, name, model)
		c.require(model != "", at, "Name", "is missing")
		c.require(m.Memory > 0, at, "Memory", "is missing or not positive")
		c.require(e.Memory <= 0 || m.Memory <= e.Memory, at, "Memory", "is more than a server has: the model is never loaded")
		c.require(m.AdapterMemory >= 0, at, "AdapterMemory", "is negative")
		c.require(m.RemoteLoad >= 0, at, "RemoteLoad", "is negative")
		c.require(m.DiskLoad >= 0, at, "DiskLoad", "is negative")
		c.require(m.MemoryLoad >= 0, at, "MemoryLoad", "is negative")
	}
}

// checkLimits finds limits that contradict each other. 0 is a limit that is not set.
func (c *checker) checkLimits(l azurehitch.CallerLimits) {
	at := c.path("", "Limits")
	c.require(l.MaxHeaderBytes >= 0, at, "MaxHeaderBytes", "is negative")
	c.require(l.MaxBodyBytes >= 0, at, "MaxBodyBytes", "is negative")
	c.require(l.MaxBodyBytes <= 0 || l.MaxHeaderBytes <= l.MaxBodyBytes, at, "MaxHeaderBytes",
		"%d is more than the %d of a body", l.MaxHeaderBytes, l.MaxBodyBytes)
	c.require(l.HeaderTimeout >= 0, at, "HeaderTimeout", "is negative")
	c.require(l.IdleTimeout >= 0, at, "IdleTimeout", "is negative")
}

// checkAccounts finds entries of accounts that don't grant what they state.
func (c *checker) checkAccounts(entries []azurehitch.AccountEntry) {
	reasons := map[int][]string{}
	for _, fault := range directory.New(entries).Faults() {
		if !slices.Contains(reasons[fault.Position], fault.Reason) {
			reasons[fault.Position] = append(reasons[fault.Position], fault.Reason)
		}
	}
	for _, e := range entries {
		if a := e.Allowance; a.Invalid == "" && a.PerSecond == 0 && a.Burst > 0 {
			reasons[e.Position] = append(reasons[e.Position], "has a burst without a rate, which limits nothing")
		}
		if len(reasons[e.Position]) > 0 {
			c.report(c.element("", "Accounts", e.Position), strings.Join(reasons[e.Position], "; "))
		}
	}
}
