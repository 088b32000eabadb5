// Package httphosts reads the platform's list of hosts over HTTP.
//
// # Usage
//
//	hosts := httphosts.NewClient("127.0.0.1:7000", "daemon-1")
package httphosts

import (
	"context"
	"net/http"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"
)

// Client implements azurehitch.HostList.
type Client struct{ http *jsonhttp.Client }

// NewClient returns a client of the list at an address.
func NewClient(address, agent string) *Client {
	return &Client{http: jsonhttp.NewClient(address, agent)}
}

// Hosts implements azurehitch.HostList.
func (c *Client) Hosts(ctx context.Context) ([]azurehitch.Host, error) {
	var hosts []azurehitch.Host
	if err := c.http.Call(ctx, http.MethodGet, "/v1/hosts", nil, &hosts); err != nil {
		return nil, err
	}
	return hosts, nil
}
