package connpool

import (
	"bufio"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Field is a field of a head.
type Field struct {
	Name  string
	Value string
}

// Request is a request as it is sent. Method, URI and body are sent as they are.
type Request struct {
	Method string
	// URI is the path with its query.
	URI    string
	Host   string
	Fields []Field
	Body   []byte
}

// Add adds a field.
func (r *Request) Add(name, value string) {
	r.Fields = append(r.Fields, Field{Name: name, Value: value})
}

// hasBody reports whether the head tells the length of the body.
func (r *Request) hasBody() bool {
	return len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead
}

// write sends the request.
func (r *Request) write(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, writeBufferBytes)
	// A bufio.Writer keeps its first error for Flush.
	_, _ = buffered.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\n")
	writeField(buffered, fasthttp.HeaderHost, r.Host)
	for _, f := range r.Fields {
		writeField(buffered, f.Name, f.Value)
	}
	if r.hasBody() {
		writeField(buffered, fasthttp.HeaderContentLength, strconv.Itoa(len(r.Body)))
	}
	_, _ = buffered.WriteString("\r\n")
	_, _ = buffered.Write(r.Body)
	return buffered.Flush()
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name + ": " + value + "\r\n")
}
