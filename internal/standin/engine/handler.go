package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	"azurehitch"
	"azurehitch/internal/standin/fault"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The headers of the engine's protocol.
const (
	HeaderModel      = "X-Engine-Model"
	HeaderVersion    = "X-Engine-Version"
	HeaderAdapter    = "X-Engine-Adapter"
	HeaderPriority   = "X-Engine-Priority"
	HeaderRequestID  = "X-Request-Id"
	HeaderResumeFrom = "X-Engine-Resume-From"
	// HeaderNotRun is set in an answer to a request that was not run; its value is the
	// reason.
	HeaderNotRun = "X-Not-Run"
)

const (
	defaultTokens             = 16
	maxRequestTime            = 10 * time.Minute
	statusInsufficientStorage = 507
)

// StateReport is the JSON answer to GET /v1/state, an azurehitch.EngineState.
type StateReport struct {
	Name        string
	Incarnation string
	Memory      azurehitch.ByteSize
	Leaving     bool
	Placements  []azurehitch.Placement
	Cached      []CachedCheckpoint
}

// CachedCheckpoint is a checkpoint with its cache tier.
type CachedCheckpoint struct {
	Artifact azurehitch.Artifact
	Tier     azurehitch.CacheTier
}

// connections maps each connection to the incarnation of the engine at its first request. A restart
// closes the connections to earlier incarnations.
type connections struct {
	mu           sync.Mutex
	incarnations map[uint64]string
}

func (c *connections) isCurrent(conn uint64, incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnations == nil {
		c.incarnations = map[uint64]string{}
	}
	known, ok := c.incarnations[conn]
	if !ok {
		c.incarnations[conn] = incarnation
		return true
	}
	return known == incarnation
}

type completionRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// NewHandler serves an engine over HTTP.
func NewHandler(e *Engine, faults *fault.Set) fasthttp.RequestHandler {
	var conns connections
	return func(ctx *fasthttp.RequestCtx) {
		if !conns.isCurrent(ctx.ConnID(), e.Incarnation()) {
			fault.DropConnection(ctx)
			return
		}
		switch path := string(ctx.Path()); path {
		case "/v1/state":
			serveState(ctx, e)
		case "/v1/orders":
			serveOrder(ctx, e)
		case "/v1/journal":
			jsonhttp.Write(ctx, fasthttp.StatusOK, e.Journal())
		case "/v1/leaving":
			var leaving bool
			if jsonhttp.Read(ctx, &leaving) {
				e.SetLeaving(leaving)
			}
		case "/v1/kv":
			serveKV(ctx, e)
		case "/v1/restart":
			e.Restart()
		case "/v1/chat/completions", "/v1/completions":
			serveCompletion(ctx, e, faults, path == "/v1/chat/completions")
		default:
			jsonhttp.WriteError(ctx, fasthttp.StatusNotFound, "NotFound", path)
		}
	}
}

// serveKV exports the state of a request by its ID (GET) or imports it (POST).
func serveKV(ctx *fasthttp.RequestCtx, e *Engine) {
	if ctx.IsPost() {
		var state Generation
		if jsonhttp.Read(ctx, &state) {
			e.Import(state)
		}
		return
	}
	id := string(ctx.QueryArgs().Peek("id"))
	state, ok := e.Export(id)
	if !ok {
		jsonhttp.WriteError(ctx, fasthttp.StatusNotFound, "NotFound", id)
		return
	}
	jsonhttp.Write(ctx, fasthttp.StatusOK, state)
}

func serveState(ctx *fasthttp.RequestCtx, e *Engine) {
	state := e.State()
	report := StateReport{
		Name:        state.Name,
		Incarnation: state.Incarnation,
		Memory:      state.Memory,
		Leaving:     state.Leaving,
		Placements:  state.Placements,
	}
	for artifact, tier := range state.Cached {
		report.Cached = append(report.Cached, CachedCheckpoint{Artifact: artifact, Tier: tier})
	}
	jsonhttp.Write(ctx, fasthttp.StatusOK, report)
}

func serveOrder(ctx *fasthttp.RequestCtx, e *Engine) {
	var order azurehitch.EngineOrder
	if !jsonhttp.Read(ctx, &order) {
		return
	}
	limited, cancel := context.WithTimeout(jsonhttp.Context(ctx), maxRequestTime)
	defer cancel()
	err := e.Order(limited, "", order)
	var failed *azurehitch.ErrOrder
	switch {
	case err == nil:
		jsonhttp.Write(ctx, fasthttp.StatusOK, order)
	case errors.As(err, &failed):
		jsonhttp.WriteError(ctx, orderStatus(failed.Failure), string(failed.Failure), failed.Cause.Error())
	default:
		jsonhttp.WriteError(ctx, fasthttp.StatusBadRequest, "InvalidOrder", err.Error())
	}
}

func orderStatus(failure azurehitch.OrderFailure) int {
	switch failure {
	case azurehitch.OrderFailureStaleToken:
		return fasthttp.StatusConflict
	case azurehitch.OrderFailureOutOfMemory:
		return statusInsufficientStorage
	case azurehitch.OrderFailureLeaving:
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusInternalServerError
}

func serveCompletion(ctx *fasthttp.RequestCtx, e *Engine, faults *fault.Set, chat bool) {
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		jsonhttp.WriteError(ctx, fasthttp.StatusBadRequest, "InvalidBody", err.Error())
		return
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultTokens
	}
	run, err := e.Begin(jsonhttp.Context(ctx), requestFrom(ctx, body))
	if err != nil {
		writeNotRun(ctx, err)
		return
	}
	if body.Stream {
		cutFault, cut := faults.Take(fault.KindCutStream, string(ctx.UserAgent()), string(ctx.Method()), string(ctx.Path()))
		s := &tokenStream{run: run, chat: chat, position: run.request.From, cut: cut, cutAfter: cutFault.After}
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(s, -1)
		return
	}
	defer run.End()
	text, err := run.Text(ctx)
	if errors.Is(err, ErrCancelled) {
		writeNotRun(ctx, err)
		return
	}
	if err != nil {
		jsonhttp.WriteError(ctx, fasthttp.StatusInternalServerError, "Failed", err.Error())
		return
	}
	ctx.SetContentType("application/json")
	answer := completeAnswer(run, text, chat)
	if _, cut := faults.Take(fault.KindCutBody, string(ctx.UserAgent()), string(ctx.Method()), string(ctx.Path())); cut {
		truncated := io.MultiReader(strings.NewReader(answer[:len(answer)/2]), iotest.ErrReader(errStreamCut))
		ctx.SetBodyStream(truncated, len(answer))
		return
	}
	fmt.Fprint(ctx, answer)
}

func requestFrom(ctx *fasthttp.RequestCtx, body completionRequest) Request {
	header := &ctx.Request.Header
	priority, _ := strconv.Atoi(string(header.Peek(HeaderPriority)))
	from, _ := strconv.Atoi(string(header.Peek(HeaderResumeFrom)))
	return Request{
		ID: string(header.Peek(HeaderRequestID)),
		Artifact: azurehitch.Artifact{
			Model:   string(header.Peek(HeaderModel)),
			Version: string(header.Peek(HeaderVersion)),
			Adapter: string(header.Peek(HeaderAdapter)),
		},
		Priority: priority,
		Tokens:   body.MaxTokens,
		From:     from,
		Body:     ctx.PostBody(),
	}
}

func writeNotRun(ctx *fasthttp.RequestCtx, err error) {
	var notLoaded *ErrNotLoaded
	status, reason := fasthttp.StatusTooManyRequests, "Busy"
	switch {
	case errors.As(err, &notLoaded):
		status, reason = fasthttp.StatusConflict, "NotLoaded"
	case errors.Is(err, ErrCancelled):
		status, reason = fasthttp.StatusServiceUnavailable, "Cancelled"
	case errors.Is(err, ErrLeaving):
		status, reason = fasthttp.StatusServiceUnavailable, "Leaving"
	}
	ctx.Response.Header.Set(HeaderNotRun, reason)
	jsonhttp.WriteError(ctx, status, reason, err.Error())
}

func completeAnswer(run *Run, text string, chat bool) string {
	content, _ := json.Marshal(text)
	choice := fmt.Sprintf(`{"index":0,"finish_reason":"stop","text":%s}`, content)
	object := "text_completion"
	if chat {
		choice = fmt.Sprintf(`{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":%s}}`, content)
		object = "chat.completion"
	}
	return fmt.Sprintf(`{"id":%q,"object":%q,"model":%q,"choices":[%s],"usage":{"completion_tokens":%d}}`,
		run.request.ID, object, run.request.Artifact, choice, run.Tokens())
}

var errStreamCut = errors.New("stream cut by fault")

// tokenStream is a body with the answer as server-sent events. When Read fails, the HTTP
// server closes the connection before the end of the body.
type tokenStream struct {
	run  *Run
	chat bool
	// position is the position of the next token.
	position int
	pending  bytes.Buffer
	// cut is true if KindCutStream applies to the request: Read then fails after cutAfter events.
	cut      bool
	cutAfter int
	sent     int
	done     bool
}

// Read implements io.Reader. It generates one event at a time.
func (s *tokenStream) Read(p []byte) (int, error) {
	if s.pending.Len() == 0 {
		if s.done {
			return s.pending.Read(p)
		}
		if s.cut && s.sent >= s.cutAfter {
			return 0, errStreamCut
		}
		if err := s.writeEvent(); err != nil {
			return 0, err
		}
	}
	return s.pending.Read(p)
}

func (s *tokenStream) writeEvent() error {
	if s.position >= s.run.Tokens() {
		s.pending.WriteString("data: [DONE]\n\n")
		s.done = true
		return nil
	}
	token, err := s.run.Token(context.Background(), s.position)
	if err != nil {
		return err
	}
	content, _ := json.Marshal(token)
	delta := fmt.Sprintf(`{"index":0,"text":%s}`, content)
	if s.chat {
		delta = fmt.Sprintf(`{"index":0,"delta":{"content":%s}}`, content)
	}
	w := bufio.NewWriter(&s.pending)
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[%s]}\n\n", s.position, s.run.request.ID, delta)
	s.position++
	s.sent++
	return w.Flush()
}

// Close ends the run. The HTTP server also calls it when the caller has disconnected.
func (s *tokenStream) Close() error {
	s.run.End()
	return nil
}
