// Package hosts is a stand-in for the platform's list of hosts.
//
// # Usage
//
//	GET    /v1/hosts        the list, without changes newer than the lag, with an entity tag
//	PUT    /v1/hosts/NAME   add or change an entry
//	DELETE /v1/hosts/NAME   remove an entry
package hosts

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

const hostPrefix = "/v1/hosts/"

// List is a list of hosts in memory. It implements azurehitch.HostList.
type List struct {
	clock azurehitch.Clock
	// lag is the delay until a change becomes visible.
	lag time.Duration
	mu  sync.Mutex
	// versions are the visible version of the list and the later ones, oldest first. Each change
	// adds a version.
	versions []version
}

// version is the content of the list from the time of a change on.
type version struct {
	since time.Time
	hosts map[string]azurehitch.Host
}

// New returns an empty list whose changes become visible after lag.
func New(clock azurehitch.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag, versions: []version{{}}}
}

// Put adds or changes an entry.
func (l *List) Put(host azurehitch.Host) {
	l.change(func(hosts map[string]azurehitch.Host) { hosts[host.Name] = host })
}

// Remove removes an entry.
func (l *List) Remove(name string) {
	l.change(func(hosts map[string]azurehitch.Host) { delete(hosts, name) })
}

// Hosts implements azurehitch.HostList.
func (l *List) Hosts(context.Context) ([]azurehitch.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleUntil := l.clock.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(visibleUntil) {
		l.versions = l.versions[1:]
	}
	hosts := l.versions[0].hosts
	names := slices.Sorted(maps.Keys(hosts))
	listing := make([]azurehitch.Host, 0, len(names))
	for _, name := range names {
		listing = append(listing, hosts[name])
	}
	return listing, nil
}

func (l *List) change(edit func(map[string]azurehitch.Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := maps.Clone(l.versions[len(l.versions)-1].hosts)
	if hosts == nil {
		hosts = map[string]azurehitch.Host{}
	}
	edit(hosts)
	l.versions = append(l.versions, version{since: l.clock.Now(), hosts: hosts})
}

// NewHandler serves a list over HTTP.
func NewHandler(list *List) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		name, hasName := strings.CutPrefix(string(ctx.Path()), hostPrefix)
		switch {
		case hasName && ctx.IsPut():
			var host azurehitch.Host
			if jsonhttp.Read(ctx, &host) {
				host.Name = name
				list.Put(host)
				jsonhttp.Write(ctx, fasthttp.StatusOK, host)
			}
		case hasName && ctx.IsDelete():
			list.Remove(name)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		case string(ctx.Path()) == "/v1/hosts":
			serveList(ctx, list)
		default:
			jsonhttp.WriteError(ctx, fasthttp.StatusNotFound, "NotFound", string(ctx.Path()))
		}
	}
}

func serveList(ctx *fasthttp.RequestCtx, list *List) {
	// List.Hosts never fails.
	listing, _ := list.Hosts(ctx)
	jsonhttp.Write(ctx, fasthttp.StatusOK, listing)
	tag := strconv.FormatUint(xxhash.Sum64(ctx.Response.Body()), 16)
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}
