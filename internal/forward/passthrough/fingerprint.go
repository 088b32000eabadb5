package passthrough

import (
	"fmt"

	"azurehitch/internal/memory/requestbody"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// fingerprint identifies what a request asks a server for. A request that its caller sends again has the same
// one, also on another connection and at another daemon: the hash covers the method, the host, the path with
// its query, the caller's credentials and the body, and none of the fields that differ from one try to the next.
func fingerprint(header *fasthttp.RequestHeader, body *requestbody.Body) string {
	hash := xxhash.New()
	for _, field := range [][]byte{
		header.Method(), header.Host(), header.RequestURI(), header.Peek(fasthttp.HeaderAuthorization),
	} {
		// A hash never returns an error. The length keeps the fields apart.
		_, _ = fmt.Fprintf(hash, "%d\n", len(field))
		_, _ = hash.Write(field)
	}
	_, _ = fmt.Fprintf(hash, "%d\n", body.Len())
	_, _ = body.WriteTo(hash)
	return fmt.Sprintf("%016x", hash.Sum64())
}
