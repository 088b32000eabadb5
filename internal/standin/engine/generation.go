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

// Request is a request to generate tokens.
type Request struct {
	// ID identifies the request; a resumed request keeps its ID.
	ID       string
	Artifact azurehitch.Artifact
	Priority int
	Tokens   int
	// From is the position of the first token to generate; 0 starts a new run.
	From int
	// Body is the body of the request. Its digest is the first token.
	Body []byte
}

// ErrNotLoaded reports that a request was not run, since its artifact is not ready.
type ErrNotLoaded struct{ Artifact azurehitch.Artifact }

// Error implements error.
func (e *ErrNotLoaded) Error() string { return e.Artifact.String() + " is not loaded" }

// ErrCancelled reports that a request was cancelled, by its caller or for an unload.
var ErrCancelled = errors.New("request was cancelled")

// ErrLeaving reports that a request was not run, since the server is shutting down.
var ErrLeaving = errors.New("server is leaving")

// Generation is the state of a request from which it can be resumed. Exports and imports transfer
// it in place of a KV cache.
type Generation struct {
	ID     string
	Digest string
	Tokens int
	// Position is the number of tokens generated so far.
	Position int
}

// Run is an admitted request.
type Run struct {
	engine    *Engine
	request   Request
	placement *placement
	state     *Generation
	// ctx is done when the request has been cancelled or has ended.
	ctx    context.Context
	cancel context.CancelFunc
}

// Begin counts a request as active on its placement and waits for a slot. The caller
// must call End on the run that it returns. The error is *ErrNotLoaded, ErrLeaving or
// ErrCancelled.
func (e *Engine) Begin(ctx context.Context, request Request) (*Run, error) {
	r, err := e.addRun(request)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	if err := e.slots.acquire(r.ctx, request.Priority); err != nil {
		e.removeRun(r)
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

func (e *Engine) addRun(request Request) (*Run, error) {
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
	r.ctx, r.cancel = context.WithCancel(context.Background())
	e.runs[r] = true
	return r, nil
}

func (e *Engine) removeRun(r *Run) {
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

// End ends the run and releases its slot.
func (r *Run) End() {
	r.engine.slots.release()
	r.engine.removeRun(r)
}

// Digest returns the first token of the answer to a body.
func Digest(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// Tokens returns the number of tokens of the complete answer.
func (r *Run) Tokens() int { return r.state.Tokens }

// Token generates the token at a position. Answers are deterministic, so that tests can
// check resumed requests.
func (r *Run) Token(ctx context.Context, position int) (string, error) {
	if err := r.engine.clock.Sleep(ctx, r.engine.options.TokenInterval); err != nil {
		return "", err
	}
	if r.ctx.Err() != nil {
		return "", ErrCancelled
	}
	r.engine.mu.Lock()
	r.state.Position = max(r.state.Position, position+1)
	r.engine.mu.Unlock()
	return TokenText(r.state.Digest, position), nil
}

// Text generates the complete answer.
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

// TokenText returns the token at a position of the answer to the body with the given
// digest.
func TokenText(digest string, position int) string {
	if position == 0 {
		return digest
	}
	return fmt.Sprintf(" t%d", position)
}

// Export returns the state of a request, so that another engine can resume it.
func (e *Engine) Export(id string) (Generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.generations[id]
	if !ok {
		return Generation{}, false
	}
	return *state, true
}

// Import stores the state of a request of another engine, so that this engine can
// resume it.
func (e *Engine) Import(state Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generations[state.ID] = &state
}
