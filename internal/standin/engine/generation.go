package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"azurehitch"

	"github.com/pkg/errors"
)

// Request is one generation.
type Request struct {
	// ID identifies the request across resumes.
	ID       string
	Artifact azurehitch.Artifact
	Priority int
	Tokens   int
	// From is the position to resume at; 0 starts a new run.
	From int
	// Body is the body of the request, whose digest is the first token.
	Body []byte
}

// ErrNotLoaded is a request for an artifact that is not ready. It was not run.
type ErrNotLoaded struct{ Artifact azurehitch.Artifact }

// Error implements error.
func (e *ErrNotLoaded) Error() string { return e.Artifact.String() + " is not loaded" }

// ErrCancelled is a request that was cancelled to make room.
var ErrCancelled = errors.New("request was cancelled")

// ErrLeaving is a request to a server that leaves. It was not run.
var ErrLeaving = errors.New("server is leaving")

// Generation is the state of a request that a resume needs. It stands for the KV
// cache in exports and imports.
type Generation struct {
	ID       string
	Digest   string
	Tokens   int
	Position int
}

// Run is an admitted request.
type Run struct {
	engine    *Engine
	request   Request
	placement *placement
	state     *Generation
	// life ends when the request is cancelled.
	life   context.Context
	cancel context.CancelFunc
}

// Begin admits a request: it waits for a slot and books the request on its
// placement. Each run must be ended.
func (e *Engine) Begin(ctx context.Context, request Request) (*Run, error) {
	r, err := e.book(request)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	if err := e.slots.acquire(r.life, request.Priority); err != nil {
		e.unbook(r)
		return nil, ErrCancelled
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state, known := e.generations[request.ID]
	if !known || request.From == 0 {
		state = &Generation{ID: request.ID, Digest: Digest(request.Body), Tokens: request.Tokens}
		e.generations[request.ID] = state
		e.journal.Runs[request.ID]++
	}
	r.state = state
	return r, nil
}

func (e *Engine) book(request Request) (*Run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, ErrLeaving
	}
	p, ok := e.placements[request.Artifact]
	if !ok || p.State != azurehitch.PlacementReady {
		return nil, &ErrNotLoaded{Artifact: request.Artifact}
	}
	p.Active++
	r := &Run{engine: e, request: request, placement: p}
	r.life, r.cancel = context.WithCancel(context.Background())
	e.runs[r] = true
	return r, nil
}

func (e *Engine) unbook(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancel()
	r.placement.Active--
	delete(e.runs, r)
}

// cancelBelow cancels the requests of an artifact that have a lower priority.
func (e *Engine) cancelBelow(artifact azurehitch.Artifact, priority int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.runs {
		if r.request.Artifact == artifact && r.request.Priority < priority {
			r.cancel()
		}
	}
}

// End gives the slot back.
func (r *Run) End() {
	r.engine.slots.release()
	r.engine.unbook(r)
}

// Digest returns the first token of the answer to a body.
func Digest(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// Tokens is the number of tokens of the whole answer.
func (r *Run) Tokens() int { return r.state.Tokens }

// Token generates the token at a position. The answer of a request is the same
// each time, so that a resume can be checked.
func (r *Run) Token(ctx context.Context, position int) (string, error) {
	if err := r.engine.clock.Sleep(ctx, r.engine.options.TokenInterval); err != nil {
		return "", err
	}
	if r.life.Err() != nil {
		return "", ErrCancelled
	}
	r.engine.mu.Lock()
	r.state.Position = max(r.state.Position, position+1)
	r.engine.mu.Unlock()
	return TokenText(r.state.Digest, position), nil
}

// Text generates the whole answer.
func (r *Run) Text(ctx context.Context) (string, error) {
	var text strings.Builder
	for i := range r.Tokens() {
		token, err := r.Token(ctx, i)
		if err != nil {
			return "", err
		}
		text.WriteString(token)
	}
	return text.String(), nil
}

// TokenText is the token at a position of the answer to a body with a digest.
func TokenText(digest string, position int) string {
	if position == 0 {
		return digest
	}
	return fmt.Sprintf(" t%d", position)
}

// Export returns the state of a request, for another engine to go on with.
func (e *Engine) Export(id string) (Generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.generations[id]
	if !ok {
		return Generation{}, false
	}
	return *state, true
}

// Import takes over a request from another engine: it can be resumed here.
func (e *Engine) Import(state Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generations[state.ID] = &state
}
