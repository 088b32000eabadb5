// Package httphosts reads the platform's list of hosts over HTTP.
//
// # Usage
//
//	hosts := httphosts.NewClient("127.0.0.1:7000", "daemon-1")
//
// A list that has not changed is not sent again, if the service gives entity tags.
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

	mu    sync.Mutex
	tag   string
	hosts []azurehitch.Host
}

// NewClient returns a client of the list at an address.
func NewClient(address, agent string) *Client {
	return &Client{http: jsonhttp.NewClient(address, agent)}
}

// Hosts implements azurehitch.HostList. The list must not be changed.
func (c *Client) Hosts(ctx context.Context) ([]azurehitch.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []azurehitch.Host
	tag, err := c.http.CallTagged(ctx, http.MethodGet, "/v1/hosts", c.tag, &hosts)
	if err != nil {
		return nil, err
	}
	if tag == "" || tag != c.tag {
		c.tag, c.hosts = tag, hosts
	}
	return c.hosts, nil
}
