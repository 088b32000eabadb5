package passthrough

import (
	"fmt"

	"azurehitch/internal/memory/requestbody"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// fingerprint identifies what a request asks a server for. A request that its caller sends again has the same
// one, also on another connection and at another daemon: the hash covers the method, the host, the path with
// its query, the caller and the body, and none of the fields that differ from one try to the next.
func fingerprint(header *fasthttp.RequestHeader, caller []byte, body *requestbody.Body) string {
	hash := xxhash.New()
	for _, field := range [][]byte{
		header.Method(), header.Host(), header.RequestURI(), caller,
	} {
		// A hash never returns an error. The length keeps the fields apart.
		_, _ = fmt.Fprintf(hash, "%d\n", len(field))
		_, _ = hash.Write(field)
	}
	_, _ = fmt.Fprintf(hash, "%d\n", body.Len())
	_, _ = body.WriteTo(hash)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// callerIdentity returns what identifies the caller in the fingerprint. Where the configuration has accounts, it
// is the name of the account: the hash is no cryptographic one and appears in log lines, so it must not cover
// a key that the daemon checks, and a request keeps its fingerprint when a key is replaced.
func (r *request) callerIdentity() []byte {
	if r.hasAccounts {
		return []byte(r.account.Name)
	}
	return r.http.Request.Header.Peek(fasthttp.HeaderAuthorization)
}
