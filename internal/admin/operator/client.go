package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
)

// Client calls the administration API of one daemon.
type Client struct{ http *jsonhttp.Client }

// NewClient returns a client of the API at an address. An empty key sends none.
func NewClient(address, key string) *Client {
	client := jsonhttp.NewClient(address, "azurehitch")
	if key != "" {
		client = client.WithBearer(key)
	}
	return &Client{http: client}
}

// Check validates tables without publishing them. The error is an *ErrFailure if the daemon
// rejects them.
func (c *Client) Check(ctx context.Context, p Publication) error {
	return c.call(ctx, http.MethodPost, PathCheck, p, nil)
}

// Publish publishes tables. The error is an *ErrFailure if the daemon rejects them.
func (c *Client) Publish(ctx context.Context, p Publication) (Published, error) {
	var published Published
	err := c.call(ctx, http.MethodPost, PathConfiguration, p, &published)
	return published, err
}

// Tables returns the configuration in force.
func (c *Client) Tables(ctx context.Context) (Tables, error) {
	var tables Tables
	err := c.call(ctx, http.MethodGet, PathConfiguration, nil, &tables)
	return tables, err
}

// Daemons returns the state of each live daemon.
func (c *Client) Daemons(ctx context.Context) ([]DaemonStatus, error) {
	var statuses []DaemonStatus
	err := c.call(ctx, http.MethodGet, PathDaemons, nil, &statuses)
	return statuses, err
}

// Pools returns the state of the pools as the daemon knows it.
func (c *Client) Pools(ctx context.Context) ([]PoolStatus, error) {
	var statuses []PoolStatus
	err := c.call(ctx, http.MethodGet, PathPools, nil, &statuses)
	return statuses, err
}

// Drain starts a planned stop of the daemon.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, PathDrain, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	err := c.http.Call(ctx, method, path, in, out)
	var status *jsonhttp.ErrStatus
	if !errors.As(err, &status) {
		return err
	}
	failed := &ErrFailure{Status: status.Status}
	if err := json.Unmarshal(status.Body, &failed.Failure); err != nil {
		return status
	}
	return failed
}
