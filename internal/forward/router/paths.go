package router

import (
	"cmp"
	"slices"
	"strings"

	"azurehitch"
	"azurehitch/internal/account/directory"

	"github.com/cespare/xxhash/v2"
)

// PathIndex finds the route for a host and a path. It is immutable.
type PathIndex struct {
	Table azurehitch.RoutingTable
	// Accounts finds the accounts of the table.
	Accounts *directory.Index
	// hosts holds the routes by lower-case host, longest path prefix first.
	hosts map[string][]azurehitch.PathRoute
}

// NewPathIndex returns the index of a table.
func NewPathIndex(table azurehitch.RoutingTable) *PathIndex {
	x := &PathIndex{Table: table, Accounts: directory.New(table.Accounts), hosts: map[string][]azurehitch.PathRoute{}}
	for _, r := range table.Routes {
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b azurehitch.PathRoute) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return x
}

// Route returns the route of a host with the longest matching path prefix, and false if there is
// none. The port of the host is ignored unless the table has routes for that port.
func (x *PathIndex) Route(host, path string) (azurehitch.PathRoute, bool) {
	host = strings.ToLower(host)
	routes, ok := x.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = x.hosts[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return azurehitch.PathRoute{}, false
}

// Services returns the services to which requests on a route may be sent: those of the targets that ChooseService
// can choose.
func Services(route azurehitch.PathRoute) []string {
	var services []string
	for _, t := range route.Targets {
		if t.Weight > 0 {
			services = append(services, t.Service)
		}
	}
	if len(services) == 0 {
		return []string{route.Targets[0].Service}
	}
	return services
}

// ChooseService chooses a target of the route by weight and returns its service. The choice depends
// on the hash of the request ID, so that each attempt of a request goes to the same service. If no
// weight is positive, it returns the first target.
func ChooseService(route azurehitch.PathRoute, requestID string) string {
	total := 0
	for _, t := range route.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return route.Targets[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range route.Targets {
		if point -= max(t.Weight, 0); point < 0 {
			return t.Service
		}
	}
	return route.Targets[0].Service
}
