package connpool_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
)

// cannedDialer opens connections on which a text comes as the answer to whatever is sent.
type cannedDialer struct{ text []byte }

// Dial implements connpool.Dialer.
func (d cannedDialer) Dial(context.Context, string) (net.Conn, error) {
	return &cannedConn{answer: bytes.NewReader(d.text)}, nil
}

// cannedConn is a connection of a cannedDialer.
type cannedConn struct {
	net.Conn
	answer io.Reader
}

// Read implements net.Conn.
func (c *cannedConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

// Write implements net.Conn.
func (c *cannedConn) Write(p []byte) (int, error) { return len(p), nil }

// SetDeadline implements net.Conn.
func (c *cannedConn) SetDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *cannedConn) Close() error { return nil }

// reading is what a reader makes of an answer.
type reading struct {
	status int
	fields http.Header
	body   string
}

// readByPool reads an answer with an exchange. It returns false for bytes that are no whole answer.
func readByPool(text []byte) (reading, bool) {
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits()).WithDialer(cannedDialer{text})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	exchange, err := pool.Do(ctx, "server", connpool.Request{Method: "GET", URI: "/x", Host: "h"}, connpool.Options{Fresh: true})
	if err != nil {
		return reading{}, false
	}
	defer exchange.Close()
	got := reading{status: exchange.Header.StatusCode(), fields: http.Header{}}
	for name, value := range exchange.Header.All() {
		got.fields.Add(string(name), string(value))
	}
	body, err := exchange.ReadWhole(1 << 20)
	got.body = string(body)
	return got, err == nil
}

// readByNetHTTP reads an answer with the standard library.
func readByNetHTTP(text []byte) (reading, error) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return reading{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reading{status: response.StatusCode, fields: response.Header, body: string(body)}, err
}

// soundAnswers are answers of which TestSecondReader changes one byte.
var soundAnswers = map[string]string{
	"with a length":     "HTTP/1.1 200 OK\r\nX-Id: a-1\r\nX-Signature: 00ff\r\nContent-Length: 4\r\n\r\nbody",
	"in chunks":         "HTTP/1.1 200 OK\r\nX-Id: a-1\r\nX-Signature: 00ff\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"without a length":  "HTTP/1.1 200 OK\r\nX-Id: a-1\r\nX-Signature: 00ff\r\n\r\nbody",
	"of an old version": "HTTP/1.0 200 OK\r\nX-Id: a-1\r\nX-Signature: 00ff\r\nContent-Length: 4\r\n\r\nbody",
	"a close announced": "HTTP/1.1 200 OK\r\nX-Id: a-1\r\nX-Signature: 00ff\r\nConnection: close\r\n\r\nbody",
}

// TestSecondReader puts each byte in each place of the head of a sound answer. What is then taken for an answer must be
// one for the standard library too, with the same status, fields and body.
func TestSecondReader(t *testing.T) {
	for name, sound := range soundAnswers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			head := strings.Index(sound, "\r\n\r\n") + len("\r\n\r\n")
			for at := range head {
				for b := range 256 {
					text := []byte(sound)
					text[at] = byte(b)
					assertSameReading(c, text)
				}
			}
		})
	}
}

// framingFields are not passed on.
var framingFields = []string{"Content-Length", "Transfer-Encoding", "Connection", "Trailer"}

// assertSameReading checks that bytes which are taken for an answer are one for the standard library.
func assertSameReading(c *qt.C, text []byte) {
	c.Helper()
	got, ok := readByPool(text)
	if !ok {
		return
	}
	want, err := readByNetHTTP(text)
	if !c.Check(err, qt.IsNil, qt.Commentf("taken for an answer: %q", text)) {
		return
	}
	for _, name := range framingFields {
		got.fields.Del(name)
		want.fields.Del(name)
	}
	if want.fields.Get("Content-Type") == "" {
		// The HTTP library adds a type to an answer without one.
		got.fields.Del("Content-Type")
	}
	c.Check(got.status, qt.Equals, want.status, qt.Commentf("%q", text))
	c.Check(got.fields, qt.DeepEquals, want.fields, qt.Commentf("%q", text))
	c.Check(got.body, qt.Equals, want.body, qt.Commentf("%q", text))
}
