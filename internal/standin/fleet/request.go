package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Answer is the response that a caller received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Whole is false if the connection failed before the end of the body.
	Whole bool
}

// Request is a request of a caller.
type Request struct {
	Method  string
	Path    string
	Key     string
	Headers map[string]string
	Body    []byte
}

// Do sends a request to a daemon over a new connection.
func (f *Fleet) Do(ctx context.Context, daemon int, request Request) (Answer, error) {
	return Send(ctx, f.Daemons[daemon].Addresses().Callers, request)
}

// Chat sends a chat completion to a daemon.
func (f *Fleet) Chat(ctx context.Context, daemon int, key, body string) (Answer, error) {
	return f.Do(ctx, daemon, Request{Method: http.MethodPost, Path: "/v1/chat/completions", Key: key, Body: []byte(body)})
}

// Send sends a request to an address over a new connection. A body that is cut is no
// error: Whole is false then.
func Send(ctx context.Context, address string, r Request) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "build request")
	}
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	for name, value := range r.Headers {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Whole: err == nil}, nil
}

// Eventually polls a condition until it is true or the time limit is over, and reports
// whether it was true.
func Eventually(limit time.Duration, condition func() bool) bool {
	const pollInterval = 10 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return condition()
}
