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

const shutdownTimeout = 2 * time.Second

// ErrorBody is the JSON body of an error of the project's own HTTP interfaces.
type ErrorBody struct {
	Code   string
	Reason string
}

// Write answers with a status and a JSON body.
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

// WriteError answers with an ErrorBody.
func WriteError(ctx *fasthttp.RequestCtx, status int, code, reason string) {
	Write(ctx, status, ErrorBody{Code: code, Reason: reason})
}

// Read decodes the JSON body of a request. It answers 400 and returns false
// when the body does not fit.
func Read(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		WriteError(ctx, fasthttp.StatusBadRequest, "InvalidBody", err.Error())
		return false
	}
	return true
}

// Serve runs a server on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, server *fasthttp.Server) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return errors.Wrap(server.Serve(listener), "serve HTTP")
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.ShutdownWithContext(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return errors.Wrap(err, "shut down HTTP server")
		}
		return nil
	})
	return group.Wait()
}
