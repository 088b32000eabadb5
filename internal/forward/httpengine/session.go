// Package httpengine implements the client side of the protocol of model engines over HTTP.
//
// # Usage
//
//	session, err := httpengine.Dialer{}.Dial(ctx, "127.0.0.1:7001")
//	defer session.Close()
//	state, err := session.State(ctx)
//	err = session.Order(ctx, order)
package httpengine

import (
	"context"
	"encoding/json"
	"net/http"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"
	"azurehitch/internal/transport/pinnedhttp"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const statusInsufficientStorage = 507

// Dialer implements azurehitch.EngineDialer.
type Dialer struct {
	// Agent is the name of the calling process, sent as User-Agent.
	Agent string
}

// Dial implements azurehitch.EngineDialer.
func (d Dialer) Dial(ctx context.Context, address string) (azurehitch.EngineSession, error) {
	conn, err := pinnedhttp.DialControl(ctx, address)
	if err != nil {
		return nil, err
	}
	return &session{conn: conn, agent: d.Agent, address: address}, nil
}

type session struct {
	conn    *pinnedhttp.Conn
	agent   string
	address string
}

// stateReport is the JSON form in which an engine reports its azurehitch.EngineState.
type stateReport struct {
	Name        string
	Incarnation string
	Memory      azurehitch.ByteSize
	Leaving     bool
	Placements  []azurehitch.Placement
	Cached      []cachedCheckpoint
}

type cachedCheckpoint struct {
	Artifact azurehitch.Artifact
	Tier     azurehitch.CacheTier
}

func (r stateReport) toState() azurehitch.EngineState {
	state := azurehitch.EngineState{
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Memory:      r.Memory,
		Leaving:     r.Leaving,
		Placements:  r.Placements,
		Cached:      map[azurehitch.Artifact]azurehitch.CacheTier{},
	}
	for _, c := range r.Cached {
		state.Cached[c.Artifact] = c.Tier
	}
	return state
}

// State implements azurehitch.EngineSession.
func (s *session) State(ctx context.Context) (azurehitch.EngineState, error) {
	status, body, err := s.call(ctx, http.MethodGet, "/v1/state", nil)
	if err != nil {
		return azurehitch.EngineState{}, err
	}
	if status != http.StatusOK {
		return azurehitch.EngineState{}, errors.Errorf("state of %s: status %d", s.address, status)
	}
	var report stateReport
	if err := json.Unmarshal(body, &report); err != nil {
		return azurehitch.EngineState{}, errors.Wrap(err, "decode engine state")
	}
	return report.toState(), nil
}

// Order implements azurehitch.EngineSession.
func (s *session) Order(ctx context.Context, order azurehitch.EngineOrder) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	status, body, err := s.call(ctx, http.MethodPost, "/v1/orders", encoded)
	if err != nil {
		return &azurehitch.ErrOrder{Failure: azurehitch.OrderFailureUnknown, Server: s.address, Cause: err}
	}
	if status == http.StatusOK {
		return nil
	}
	var reason jsonhttp.ErrorBody
	if err := json.Unmarshal(body, &reason); err != nil {
		reason.Reason = "no reason given"
	}
	return &azurehitch.ErrOrder{Failure: failureOf(status), Server: s.address, Cause: errors.New(reason.Reason)}
}

// Close implements azurehitch.EngineSession.
func (s *session) Close() error { return s.conn.Close() }

// failureOf returns the failure that an engine reports by an HTTP status.
func failureOf(status int) azurehitch.OrderFailure {
	switch status {
	case http.StatusConflict:
		return azurehitch.OrderFailureStaleToken
	case statusInsufficientStorage:
		return azurehitch.OrderFailureOutOfMemory
	case http.StatusServiceUnavailable:
		return azurehitch.OrderFailureLeaving
	case http.StatusBadRequest, http.StatusNotFound:
		return azurehitch.OrderFailureInvalid
	}
	return azurehitch.OrderFailureUnknown
}

func (s *session) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.address + path)
	req.Header.SetMethod(method)
	req.Header.SetUserAgent(s.agent)
	req.SetBody(body)
	if err := s.conn.Do(ctx, req, resp); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
