package passthrough

import (
	"strings"

	"azurehitch/internal/memory/requestbody"
	"azurehitch/internal/transport/connpool"

	"github.com/valyala/fasthttp"
)

// requestHeader is the azurehitch.Header of a caller's request.
type requestHeader struct{ header *fasthttp.RequestHeader }

// Get implements azurehitch.Header.
func (h requestHeader) Get(name string) string { return string(h.header.Peek(name)) }

// Values implements azurehitch.Header.
func (h requestHeader) Values(name string) []string { return texts(h.header.PeekAll(name)) }

// Set implements azurehitch.Header.
func (h requestHeader) Set(name, value string) { h.header.Set(name, value) }

// Delete implements azurehitch.Header.
func (h requestHeader) Delete(name string) { h.header.Del(name) }

// responseHeader is the azurehitch.Header of a response.
type responseHeader struct{ header *fasthttp.ResponseHeader }

// Get implements azurehitch.Header.
func (h responseHeader) Get(name string) string { return string(h.header.Peek(name)) }

// Values implements azurehitch.Header.
func (h responseHeader) Values(name string) []string { return texts(h.header.PeekAll(name)) }

// Set implements azurehitch.Header.
func (h responseHeader) Set(name, value string) { h.header.Set(name, value) }

// Delete implements azurehitch.Header.
func (h responseHeader) Delete(name string) { h.header.Del(name) }

func texts(values [][]byte) []string {
	var list []string
	for _, value := range values {
		list = append(list, string(value))
	}
	return list
}

// attemptHeader is the azurehitch.Header of a request to a backend server.
type attemptHeader struct{ request *connpool.Request }

// Get implements azurehitch.Header.
func (h attemptHeader) Get(name string) string {
	for _, f := range h.request.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Values implements azurehitch.Header.
func (h attemptHeader) Values(name string) []string {
	var list []string
	for _, f := range h.request.Fields {
		if strings.EqualFold(f.Name, name) {
			list = append(list, f.Value)
		}
	}
	return list
}

// Set implements azurehitch.Header.
func (h attemptHeader) Set(name, value string) {
	h.Delete(name)
	h.request.Add(name, value)
}

// Delete implements azurehitch.Header.
func (h attemptHeader) Delete(name string) {
	remaining := h.request.Fields[:0]
	for _, f := range h.request.Fields {
		if !strings.EqualFold(f.Name, name) {
			remaining = append(remaining, f)
		}
	}
	h.request.Fields = remaining
}

// isHopByHop reports whether a header field applies to a single connection and is not passed on. It
// includes Host and Content-Length, because other code sets these two fields.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect", "host":
		return true
	}
	return false
}

// connectionFields returns the lower-case field names listed in the value of a Connection field;
// these fields are hop-by-hop too.
func connectionFields(connection string) map[string]bool {
	names := map[string]bool{}
	for _, name := range strings.Split(connection, ",") {
		if name = strings.ToLower(strings.TrimSpace(name)); name != "" {
			names[name] = true
		}
	}
	return names
}

// attemptRequest copies a caller's request: method, path, query and body unchanged, and all
// end-to-end header fields. The body must be retained for it.
func attemptRequest(from *fasthttp.Request, body *requestbody.Body) connpool.Request {
	request := connpool.Request{
		Method: string(from.Header.Method()),
		URI:    string(from.Header.RequestURI()),
		Host:   string(from.Header.Host()),
	}
	if body != nil {
		request.Source = body
	}
	dropped := connectionFields(string(from.Header.Peek(fasthttp.HeaderConnection)))
	for name, value := range from.Header.All() {
		if field := string(name); !isHopByHop(field) && !dropped[strings.ToLower(field)] {
			request.Add(field, string(value))
		}
	}
	return request
}

// copyAnswerHead copies the status and the end-to-end header fields of a server's response.
func copyAnswerHead(to, from *fasthttp.ResponseHeader) {
	to.SetStatusCode(from.StatusCode())
	to.SetNoDefaultContentType(true)
	dropped := connectionFields(string(from.Peek(fasthttp.HeaderConnection)))
	for name, value := range from.All() {
		if field := string(name); !isHopByHop(field) && !dropped[strings.ToLower(field)] {
			to.AddBytesKV(name, value)
		}
	}
}
