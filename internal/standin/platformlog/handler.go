package platformlog

import (
	"context"
	"strconv"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/valyala/fasthttp"
)

const (
	streamPrefix  = "/v1/streams/"
	maxWait       = 30 * time.Second
	appendTimeout = 5 * time.Second
)

// AppendResponse is the answer to an append.
type AppendResponse struct{ Offset int64 }

// NewHandler serves a log over HTTP.
func NewHandler(log *Log) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		name, ok := strings.CutPrefix(path, streamPrefix)
		switch {
		case path == "/v1/streams":
			jsonhttp.Write(ctx, fasthttp.StatusOK, log.Streams())
		case !ok || name == "":
			jsonhttp.WriteError(ctx, fasthttp.StatusNotFound, "NotFound", path)
		case ctx.IsPost():
			serveAppend(ctx, log, name)
		default:
			serveRead(ctx, log, name)
		}
	}
}

func serveAppend(ctx *fasthttp.RequestCtx, log *Log, name string) {
	limited, cancel := context.WithTimeout(jsonhttp.Context(ctx), appendTimeout)
	defer cancel()
	offset, err := log.Append(limited, name, ctx.PostBody())
	if err != nil {
		jsonhttp.WriteError(ctx, fasthttp.StatusServiceUnavailable, "Unavailable", err.Error())
		return
	}
	jsonhttp.Write(ctx, fasthttp.StatusOK, AppendResponse{Offset: offset})
}

func serveRead(ctx *fasthttp.RequestCtx, log *Log, name string) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		jsonhttp.WriteError(ctx, fasthttp.StatusBadRequest, "InvalidOffset", err.Error())
		return
	}
	var wait azurehitch.Duration
	if text := ctx.QueryArgs().Peek("wait"); len(text) > 0 {
		if err := wait.UnmarshalText(text); err != nil {
			jsonhttp.WriteError(ctx, fasthttp.StatusBadRequest, "InvalidWait", err.Error())
			return
		}
	}
	batch, err := log.Read(ctx, name, from, min(wait.Std(), maxWait))
	if err != nil {
		jsonhttp.WriteError(ctx, fasthttp.StatusServiceUnavailable, "Unavailable", err.Error())
		return
	}
	jsonhttp.Write(ctx, fasthttp.StatusOK, batch)
}
