package passthrough_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/passthrough"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/standin/hookconn"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// testProtocol is an azurehitch.ExchangeProtocol that uses header fields such as X-Id and
// X-Not-Run.
type testProtocol struct{}

// ReadRequest implements azurehitch.ExchangeProtocol.
func (testProtocol) ReadRequest(h azurehitch.Header) azurehitch.CallerRequest {
	ms, _ := strconv.Atoi(h.Get("X-Left"))
	credential := azurehitch.Credential{Key: h.Get("X-Key")}
	if n := len(h.Values("X-Key")); n == 0 {
		credential.Fault = azurehitch.CredentialMissing
	} else if n > 1 {
		credential = azurehitch.Credential{Fault: azurehitch.CredentialRepeated}
	}
	return azurehitch.CallerRequest{Credential: credential, ID: h.Get("X-Id"), Resumes: h.Get("X-Resumes"), LastEvent: h.Get("X-Last"), TimeLeft: time.Duration(ms) * time.Millisecond, SharedParts: []string{"part"}}
}

// WriteAttempt implements azurehitch.ExchangeProtocol.
func (testProtocol) WriteAttempt(h azurehitch.Header, attempt azurehitch.Attempt) {
	h.Delete("X-Ours")
	h.Set("X-Server", attempt.Server.ID)
	if attempt.HasAccounts {
		h.Delete("X-Key")
		h.Set("X-Account", attempt.Account)
	}
	if attempt.LastEvent != "" {
		h.Set("X-Last", attempt.LastEvent)
	}
}

// ReadAnswer implements azurehitch.ExchangeProtocol.
func (testProtocol) ReadAnswer(h azurehitch.Header) azurehitch.ServerAnswer {
	backoff, _ := strconv.Atoi(h.Get("X-Rest"))
	rateLimit, _ := strconv.ParseFloat(h.Get("X-Limit"), 64)
	maxRejections, _ := strconv.Atoi(h.Get("X-Brittle"))
	return azurehitch.ServerAnswer{
		ID: h.Get("X-Id"), NotRun: h.Get("X-Not-Run") != "", Signed: h.Get("X-Signature") != "", Encoded: h.Get("Content-Encoding") != "",
		ServerNotice: azurehitch.ServerNotice{
			ShuttingDown: h.Get("X-Leaving") != "", Backoff: time.Duration(backoff) * time.Millisecond, RateLimit: rateLimit,
			Brittle: h.Get("X-Brittle") != "", MaxRejections: maxRejections,
		},
	}
}

// WriteRefusal implements azurehitch.ExchangeProtocol.
func (testProtocol) WriteRefusal(h azurehitch.Header, _ azurehitch.CallerRequest, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", "1")
	}
}

// testBudget is a RetryBudget that is unlimited until isSpent is set.
type testBudget struct {
	isSpent bool
	// charged is the number of retries that were charged and not refunded.
	charged atomic.Int64
	// earnedFor is the service of the last request.
	earnedFor atomic.Value
}

// Earn implements passthrough.RetryBudget.
func (b *testBudget) Earn(service string) { b.earnedFor.Store(service) }

// Spend implements passthrough.RetryBudget.
func (b *testBudget) Spend(string) (azurehitch.RetryCharge, bool) {
	if b.isSpent {
		return nil, false
	}
	b.charged.Add(1)
	return &testCharge{budget: b}, true
}

// testCharge is a RetryCharge of a testBudget.
type testCharge struct {
	budget    *testBudget
	isSettled atomic.Bool
}

// Sent implements azurehitch.RetryCharge.
func (c *testCharge) Sent() { c.isSettled.Store(true) }

// Refund implements azurehitch.RetryCharge.
func (c *testCharge) Refund() {
	if !c.isSettled.Swap(true) {
		c.budget.charged.Add(-1)
	}
}

// sequencePlacer places each attempt on the next server of a list.
type sequencePlacer struct {
	mu      sync.Mutex
	servers []string
	next    int
	// tier is the CacheTier of all choices; empty means that no load was needed.
	tier azurehitch.CacheTier
	// versions are the software versions of the servers; empty means unknown versions.
	versions []string
	// avoided is place.Request.Avoid of the last call of Place.
	avoided []string
	// bound is place.Request.SoftwareVersion of the last call of Place, and timeLeft what was left until
	// its deadline.
	bound    azurehitch.VersionBound
	timeLeft time.Duration
	// service is the name of place.Request.Service of the last call of Place.
	service string
	// onPlace is called with the number of each call of Place; nil does nothing.
	onPlace func(n int)
}

// Place implements passthrough.Placer. Without any servers, it waits for the context to end.
func (p *sequencePlacer) Place(ctx context.Context, request place.Request) (place.Choice, error) {
	if len(p.servers) == 0 {
		<-ctx.Done()
		return place.Choice{}, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next >= len(p.servers) {
		return place.Choice{}, azurehitch.Refuse(azurehitch.CodeNoCapacity, "no more servers").WithRetryAfter(time.Second)
	}
	p.next++
	if p.onPlace != nil {
		p.onPlace(p.next)
	}
	p.avoided, p.bound, p.timeLeft = request.Avoid, request.SoftwareVersion, time.Until(request.Deadline)
	p.service = request.Service.Name
	id := fmt.Sprintf("s%d", p.next-1)
	version := ""
	if len(p.versions) > 0 {
		version = p.versions[p.next-1]
	}
	return place.Choice{
		SoftwareVersion: version, Server: azurehitch.ServerIdentity{ID: id, Address: p.servers[p.next-1]}, Tier: p.tier, End: func() {},
	}, ctx.Err()
}

// backend is a fake backend server. It sends the same response to each request, and records the
// requests.
type backend struct {
	address string
	mu      sync.Mutex
	heads   []string
	headers []http.Header
	closed  chan struct{}
}

// newBackend starts a server that sends text to each request, in which %ID% stands for the id of
// the request. It closes the connection after keepOpen; if the caller closes it earlier, it sends
// to the closed channel.
func newBackend(t testing.TB, text string, keepOpen time.Duration) *backend {
	t.Helper()
	b := &backend{closed: make(chan struct{}, 10)}
	b.address = listen(t, func(conn net.Conn) { b.play(conn, text, keepOpen) })
	return b
}

// listen accepts connections and serves each in a goroutine until the test ends. It returns the
// address.
func listen(t testing.TB, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	var group errgroup.Group
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				serve(conn)
				return nil
			})
		}
	})
	return listener.Addr().String()
}

func (b *backend) play(conn net.Conn, text string, keepOpen time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(request.Body)
	b.mu.Lock()
	b.headers = append(b.headers, request.Header)
	b.heads = append(b.heads, request.Method+" "+request.RequestURI+" "+request.Header.Get("X-Server")+" "+
		request.Header.Get("X-Last")+" "+request.Header.Get("X-Ours")+" "+string(body))
	b.mu.Unlock()
	if _, err := io.WriteString(conn, strings.ReplaceAll(text, "%ID%", request.Header.Get("X-Id"))); err != nil {
		return
	}
	if keepOpen > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(keepOpen))
		var failed net.Error
		if _, err := reader.ReadByte(); err != nil && !(errors.As(err, &failed) && failed.Timeout()) {
			select {
			case b.closed <- struct{}{}:
			default:
				// Tests read only a few values, so the rest may be dropped.
			}
		}
	}
}

func (b *backend) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// gateway is a passthrough.Server under test.
type gateway struct {
	*qt.C
	placer     *sequencePlacer
	budget     *testBudget
	quarantine *testQuarantine
	streams    *testStreams
	server     *passthrough.Server
	address    string
	// routing is the configuration that the gateway has read.
	routing atomic.Pointer[router.PathIndex]
	mu      sync.Mutex
	// notices holds the notices of the servers, by server id.
	notices map[string][]azurehitch.ServerNotice
	// brittle holds what brittle servers stated and did.
	brittle    brittleEvents
	rejections *rejectbudget.Tracker
	// configurationAge is the age of the configuration.
	configurationAge atomic.Int64
}

func (g *gateway) recordNotice(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.notices == nil {
		g.notices = map[string][]azurehitch.ServerNotice{}
	}
	g.notices[server.ID] = append(g.notices[server.ID], notice)
}

// brittleEvents is a rejectbudget.Observer that records the events. A test sends one request at a time.
type brittleEvents struct {
	stated     []rejectbudget.Brittleness
	rejections int
}

// BrittlenessChanged implements rejectbudget.Observer.
func (b *brittleEvents) BrittlenessChanged(_ azurehitch.ServerIdentity, stated rejectbudget.Brittleness) {
	b.stated = append(b.stated, stated)
}

// BrittleServerRejected implements rejectbudget.Observer.
func (b *brittleEvents) BrittleServerRejected(azurehitch.ServerIdentity) { b.rejections++ }

// discardLimits is a serverlimit.Observer that ignores all events.
type discardLimits struct{}

// LimitChanged implements serverlimit.Observer.
func (discardLimits) LimitChanged(azurehitch.ServerIdentity, float64) {}

// Limits of the gateway under test.
const (
	maxBufferedAnswer = 64 << 10
	maxAnswer         = 1 << 20
	maxEvent          = 128 << 10
	// maxConfigurationAge is the age from which on requests that need a key are refused.
	maxConfigurationAge = 5 * time.Second
	// answerMemory is the shared memory budget of all responses.
	answerMemory = 8 << 20
)

// withGateway calls run with a gateway that forwards requests for a route to backends.
func withGateway(t testing.TB, route azurehitch.PathRoute, backends []*backend, run func(g *gateway)) {
	t.Helper()
	withListener(t, route, backends, &hookconn.Listener{}, run)
}

// withListener calls run with a gateway that has a listener whose own Listener is set here.
func withListener(t testing.TB, route azurehitch.PathRoute, backends []*backend, hooked *hookconn.Listener, run func(g *gateway)) {
	t.Helper()
	c := qt.New(t)
	route.Name, route.Host, route.PathPrefix = "r", "a.example", "/x/"
	route.Targets = []azurehitch.RouteTarget{{Service: "llm", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 3 * time.Second
	}
	index := router.NewPathIndex(azurehitch.RoutingTable{Version: 1, Routes: []azurehitch.PathRoute{route}})
	placer := &sequencePlacer{}
	for _, b := range backends {
		placer.servers = append(placer.servers, b.address)
	}
	clock := azurehitch.SystemClock{}
	limits := connpool.DefaultLimits()
	limits.Memory = answerMemory * 5 / 2 // of which responses have two fifths
	backoffs := backoff.New("daemon-1", clock)
	g := &gateway{C: c, placer: placer, budget: &testBudget{}, quarantine: &testQuarantine{}, streams: &testStreams{}}
	g.rejections = rejectbudget.New(rejectbudget.Dependencies{
		Server: func(string) (azurehitch.FleetServer, bool) { return azurehitch.FleetServer{}, false }, Clock: clock, Observer: &g.brittle,
	})
	g.routing.Store(index)
	noticed := func(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice) { g.recordNotice(server, notice) }
	server := passthrough.NewServer(passthrough.Dependencies{
		Routing: g.routing.Load, Protocol: testProtocol{}, Placer: placer,
		Connections:     connpool.New(clock, limits),
		ConnectionShare: func(azurehitch.BackendService) int { return 0 },
		Breakers:        breaker.NewBreakers(clock), Backoffs: backoffs, Limits: serverlimit.New("daemon-1", nil, clock, discardLimits{}), OnNotice: noticed, Budget: g.budget, Clock: clock,
		ConfigurationAge: func() time.Duration { return time.Duration(g.configurationAge.Load()) },
		Quarantine:       g.quarantine, Streams: g.streams, Rejections: g.rejections,
		Logs: logging.Discard(), Metrics: metrics.New(),
	}, passthrough.Settings{
		MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, ReadTimeout: time.Second, IdleTimeout: time.Second, MaxConnections: 100,
		MaxBufferedAnswer: maxBufferedAnswer, MaxAnswer: maxAnswer, MaxEvent: maxEvent,
		MaxConfigurationAge: maxConfigurationAge,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	hooked.Listener = listener
	group.Go(func() error { return server.Serve(hooked) })
	g.server, g.address = server, listener.Addr().String()
	run(g)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.Check(server.Stop(ctx), qt.IsNil)
	c.Check(group.Wait(), qt.IsNil)
}

// answer is the response that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is true when the body was incomplete.
	cut bool
}

// send sends a request to the gateway. The X-Ours field must not reach a backend.
func (g *gateway) send(method, path, body string) answer {
	g.Helper()
	return g.sendWith(method, path, body, nil)
}

// sendWith sends a request with further header fields.
func (g *gateway) sendWith(method, path, body string, fields map[string]string) answer {
	g.Helper()
	request, err := http.NewRequest(method, "http://"+g.address+path, strings.NewReader(body))
	g.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Ours", "smuggled")
	for name, value := range fields {
		request.Header.Set(name, value)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	g.Assert(err, qt.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(content), cut: err != nil}
}
