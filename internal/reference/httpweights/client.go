// Package httpweights reads the limits of the platform's weight store over HTTP.
//
// # Usage
//
//	store := httpweights.NewClient("127.0.0.1:7000", "daemon-1")
package httpweights

import (
	"context"
	"net/http"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"
)

// Client implements azurehitch.WeightStore.
type Client struct{ http *jsonhttp.Client }

// NewClient returns a client of the store at an address.
func NewClient(address, agent string) *Client {
	return &Client{http: jsonhttp.NewClient(address, agent)}
}

// Limits implements azurehitch.WeightStore.
func (c *Client) Limits(ctx context.Context) (azurehitch.WeightStoreLimits, error) {
	var limits azurehitch.WeightStoreLimits
	if err := c.http.Call(ctx, http.MethodGet, "/v1/limits", nil, &limits); err != nil {
		return azurehitch.WeightStoreLimits{}, err
	}
	return limits, nil
}
