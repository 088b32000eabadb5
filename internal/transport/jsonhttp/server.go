package jsonhttp

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// shutdownTimeout bounds the wait for requests in progress when a server is shut down.
const shutdownTimeout = 2 * time.Second

// ErrorBody is the JSON body of error responses of the project's own HTTP interfaces.
type ErrorBody struct {
	Code   string
	Reason string
}

// Write responds with a status and body as JSON.
func Write(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error("encode answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// WriteError responds with a status and an ErrorBody.
func WriteError(ctx *fasthttp.RequestCtx, status int, code, reason string) {
	Write(ctx, status, ErrorBody{Code: code, Reason: reason})
}

// Read decodes the JSON body of a request. If the body can't be decoded, it responds with status
// 400 and returns false.
func Read(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		WriteError(ctx, fasthttp.StatusBadRequest, "InvalidBody", err.Error())
		return false
	}
	return true
}

// lifetimeKey is the key of the user value of a request that holds the context of its server.
type lifetimeKey struct{}

// Context returns a context that ends when the server of a request, which Serve runs, is shut down.
// Contexts must be derived from it and not from the request itself: a goroutine of a derived context
// reads its parent when the server is shut down, and the server may already have reset the request.
func Context(ctx *fasthttp.RequestCtx) context.Context {
	if lifetime, ok := ctx.UserValue(lifetimeKey{}).(context.Context); ok {
		return lifetime
	}
	return context.Background()
}

// Serve runs a server on a listener until the context ends, and then shuts it down. Requests still
// in progress after shutdownTimeout are not an error.
func Serve(ctx context.Context, listener net.Listener, server *fasthttp.Server) error {
	group, ctx := errgroup.WithContext(ctx)
	handle := server.Handler
	server.Handler = func(request *fasthttp.RequestCtx) {
		request.SetUserValue(lifetimeKey{}, ctx)
		handle(request)
	}
	group.Go(func() error {
		return errors.Wrap(server.Serve(listener), "serve HTTP")
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.ShutdownWithContext(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return errors.Wrap(err, "shut down HTTP server")
		}
		return nil
	})
	return group.Wait()
}
