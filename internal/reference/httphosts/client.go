// Package httphosts reads the platform's list of hosts over HTTP.
//
// # Usage
//
//	hosts := httphosts.NewClient("127.0.0.1:7000", "daemon-1")
//
// If the service sends entity tags, a list that has not changed is not transferred again.
package httphosts

import (
	"context"
	"net/http"
	"sync"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"
)

// Client implements azurehitch.HostList.
type Client struct {
	http *jsonhttp.Client

	mu sync.Mutex
	// entityTag is the entity tag of hosts, the list that was read last.
	entityTag string
	hosts     []azurehitch.Host
}

// NewClient returns a client of the list at an address.
func NewClient(address, agent string) *Client {
	return &Client{http: jsonhttp.NewClient(address, agent)}
}

// Hosts implements azurehitch.HostList. The caller must not modify the returned slice.
func (c *Client) Hosts(ctx context.Context) ([]azurehitch.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []azurehitch.Host
	tag, err := c.http.CallTagged(ctx, http.MethodGet, "/v1/hosts", c.entityTag, &hosts)
	if err != nil {
		return nil, err
	}
	if tag == "" || tag != c.entityTag {
		c.entityTag, c.hosts = tag, hosts
	}
	return c.hosts, nil
}
