package weights

import (
	"context"
	"net/http"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/valyala/fasthttp"
)

const maxLoadTime = 10 * time.Minute

// UsageReport is the answer to GET /v1/usage.
type UsageReport struct {
	Models   Usage
	Adapters Usage
}

// NewHandler serves a store over HTTP.
func NewHandler(store *Store) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch path := string(ctx.Path()); path {
		case "/v1/limits":
			limits, _ := store.Limits(ctx)
			jsonhttp.Write(ctx, fasthttp.StatusOK, limits)
		case "/v1/usage":
			models, adapters := store.Usage()
			jsonhttp.Write(ctx, fasthttp.StatusOK, UsageReport{Models: models, Adapters: adapters})
		case "/v1/slowdown":
			var factor float64
			if jsonhttp.Read(ctx, &factor) {
				store.SetSlowdown(factor)
			}
		case "/v1/loads":
			serveLoad(ctx, store)
		default:
			jsonhttp.WriteError(ctx, fasthttp.StatusNotFound, "NotFound", path)
		}
	}
}

func serveLoad(ctx *fasthttp.RequestCtx, store *Store) {
	var artifact azurehitch.Artifact
	if !jsonhttp.Read(ctx, &artifact) {
		return
	}
	limited, cancel := context.WithTimeout(jsonhttp.Context(ctx), maxLoadTime)
	defer cancel()
	if err := store.Load(limited, artifact); err != nil {
		jsonhttp.WriteError(ctx, fasthttp.StatusServiceUnavailable, "Unavailable", err.Error())
	}
}

// Client loads checkpoints from a store over HTTP.
type Client struct{ http *jsonhttp.Client }

// NewClient returns a client of the store at an address.
func NewClient(address, agent string) *Client {
	return &Client{http: jsonhttp.NewClient(address, agent)}
}

// Load loads a checkpoint and returns when it has been loaded.
func (c *Client) Load(ctx context.Context, artifact azurehitch.Artifact) error {
	limited, cancel := context.WithTimeout(ctx, maxLoadTime)
	defer cancel()
	return c.http.Call(limited, http.MethodPost, "/v1/loads", artifact, nil)
}
