package connpool

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Field is an HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Request is an HTTP/1.1 request. Its parts are sent unchanged. The header field Host, and
// Content-Length if needed, are sent in addition to Fields.
type Request struct {
	Method string
	// URI is the path with the query.
	URI    string
	Host   string
	Fields []Field
	Body   []byte
	// Source is the body in place of Body; nil for none.
	Source Source
}

// Source is a body that its owner releases once all requests that retain it have been sent.
type Source interface {
	io.WriterTo
	// Len returns the size of the body.
	Len() int
	// Release is called once when the body is needed no longer for the request, whether it was sent or not.
	Release()
}

// bodyLen returns the size of the body.
func (r *Request) bodyLen() int {
	if r.Source != nil {
		return r.Source.Len()
	}
	return len(r.Body)
}

// release releases the body.
func (r *Request) release() {
	if r.Source != nil {
		r.Source.Release()
	}
}

// Add appends a header field.
func (r *Request) Add(name, value string) {
	r.Fields = append(r.Fields, Field{Name: name, Value: value})
}

// hasContentLength reports whether the request is sent with a Content-Length field. A GET or HEAD
// request without a body needs none.
func (r *Request) hasContentLength() bool {
	return r.bodyLen() > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead
}

// errLineBreak is returned for a request that would end a line of its head early.
var errLineBreak = errors.New("the head of the request contains a line break")

// check returns errLineBreak if a part of the head can't be sent unchanged. Such a part would become header
// fields or a request of its own at the server.
func (r *Request) check() error {
	isOdd := hasLineBreak(r.Method) || hasLineBreak(r.URI) || hasLineBreak(r.Host)
	for _, f := range r.Fields {
		isOdd = isOdd || hasLineBreak(f.Name) || hasLineBreak(f.Value)
	}
	if isOdd {
		return errLineBreak
	}
	return nil
}

func hasLineBreak(text string) bool { return strings.ContainsAny(text, "\r\n\x00") }

func (r *Request) write(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, writeBufferBytes)
	// A bufio.Writer keeps its first error for Flush.
	_, _ = buffered.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\n")
	writeField(buffered, fasthttp.HeaderHost, r.Host)
	for _, f := range r.Fields {
		writeField(buffered, f.Name, f.Value)
	}
	if r.hasContentLength() {
		writeField(buffered, fasthttp.HeaderContentLength, strconv.Itoa(r.bodyLen()))
	}
	_, _ = buffered.WriteString("\r\n")
	if r.Source == nil {
		_, _ = buffered.Write(r.Body)
	} else if _, err := r.Source.WriteTo(buffered); err != nil {
		return err
	}
	return buffered.Flush()
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name + ": " + value + "\r\n")
}
