package passthrough_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// longPause is a pause of a sound server after which the gateway has looked for another one.
	longPause = 1800 * time.Millisecond
	// closeLimit is the time within which a server must learn that it is no longer needed.
	closeLimit = 400 * time.Millisecond
)

// step is a part of the response of a server. The server sends the text after the pause.
type step struct {
	pause time.Duration
	text  string
}

// newPausingBackend starts a server that sends a response in steps to each request. If the gateway
// closes the connection before the last step, the server sends to the closed channel.
func newPausingBackend(t *testing.T, steps ...step) *backend {
	t.Helper()
	b := &backend{closed: make(chan struct{}, 10)}
	b.address = listen(t, func(conn net.Conn) {
		b.playAnswer(conn, func(*http.Request) []step { return steps })
	})
	return b
}

// playAnswer sends the steps of the response to one request.
func (b *backend) playAnswer(conn net.Conn, answer func(request *http.Request) []step) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.heads = append(b.heads, request.Header.Get("X-Server")+" "+request.Header.Get("X-Last"))
	b.mu.Unlock()
	for _, s := range answer(request) {
		_ = conn.SetReadDeadline(time.Now().Add(s.pause))
		var failed net.Error
		if _, err := reader.ReadByte(); !errors.As(err, &failed) || !failed.Timeout() {
			b.closed <- struct{}{}
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(s.text, "%ID%", request.Header.Get("X-Id"))); err != nil {
			return
		}
	}
}

// pausingStream is the response of a sound server that pauses after the second of three events.
func pausingStream() []step {
	return []step{{0, streamHead + chunk(firstEvent) + chunk(secondEvent)}, {longPause, chunk(thirdEvent) + streamEnd}}
}

// slowRoute is a resumable route with time for several pauses.
func slowRoute() azurehitch.PathRoute {
	route := resumable
	route.Timeout = 6 * time.Second
	return route
}

// assertWholeStream checks that the caller got the three events and the end.
func (g *gateway) assertWholeStream(got answer) {
	g.Helper()
	g.Check(got.body, qt.Equals, threeEvents)
	g.Assert(got.cut, qt.IsFalse)
}

// assertClosed checks that the gateway soon closes its connection to a server.
func (g *gateway) assertClosed(b *backend, within time.Duration) {
	g.Helper()
	select {
	case <-b.closed:
	case <-time.After(within):
		g.Fatalf("the connection to the server is open after %v", within)
	}
}

// awaitRequest waits until a server has got a request.
func (g *gateway) awaitRequest(b *backend) {
	g.Helper()
	for end := time.Now().Add(5 * time.Second); len(b.requests()) == 0; time.Sleep(time.Millisecond) {
		g.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestSoundServerThatPauses checks streams whose server pauses for long, where no other server takes
// them over.
func TestSoundServerThatPauses(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []step
		// second are the steps of the second server; nil means that there is none.
		second []step
		// before is called before the request is sent, and during when the first server has it.
		before, during func(g *gateway)
		// attempts is the maximum number of servers of the route; 0 means two.
		attempts int
		// asked is how many requests the second server gets, and charged how many retries are charged.
		asked   int
		charged int64
	}{
		{name: "no other server is free", steps: pausingStream()},
		{name: "no other server is free, before the first event", steps: []step{{0, streamHead}, {longPause, chunk(threeEvents) + streamEnd}}},
		{name: "no other server is free, inside an event", steps: []step{
			{0, streamHead + chunk(firstEvent) + chunk("id: 2\nda")}, {longPause, chunk("ta: b\n\n") + chunk(thirdEvent) + streamEnd},
		}},
		{name: "no other server is free, two pauses", steps: []step{
			{0, streamHead + chunk(firstEvent)}, {longPause, chunk(secondEvent)}, {longPause, chunk(thirdEvent) + streamEnd},
		}},
		{
			name: "waiting requests are refused in a planned stop", steps: pausingStream(),
			during: func(g *gateway) { g.server.Drain(stopEndsIn(5 * time.Second)) },
		},
		{
			name: "the retry budget is spent", steps: pausingStream(), second: []step{{0, eventStream("200 OK", thirdEvent)}},
			before: func(g *gateway) { g.budget.isSpent = true },
		},
		{name: "one attempt", steps: pausingStream(), second: []step{{0, eventStream("200 OK", thirdEvent)}}, attempts: 1},
		{name: "the second server is full", steps: pausingStream(), second: []step{{0, notRun}}, asked: 1, charged: 1},
		{name: "the second server resets", steps: pausingStream(), second: []step{}, asked: 1, charged: 1},
		{name: "the second server does not answer", steps: pausingStream(), second: []step{{5 * time.Second, ""}}, asked: 1, charged: 1},
		{name: "the second server fails", steps: pausingStream(), second: []step{{0, eventStream("500 Oops", "data: bad\n\n")}}, asked: 1, charged: 1},
		{
			name: "the second server has another software version", steps: pausingStream(), second: []step{{0, eventStream("200 OK", thirdEvent)}},
			before: func(g *gateway) { g.placer.versions = []string{"v1", "v2"} },
		},
		{
			name: "the prompt is held meanwhile", steps: pausingStream(), second: []step{{0, eventStream("200 OK", thirdEvent)}},
			before: func(g *gateway) { g.quarantine.closesAfter = 1 },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			servers := []*backend{newPausingBackend(t, test.steps...)}
			if test.second != nil {
				servers = append(servers, newPausingBackend(t, test.second...))
			}
			route := slowRoute()
			if test.attempts > 0 {
				route.MaxAttempts = test.attempts
			}
			withGateway(t, route, servers, func(g *gateway) {
				if test.before != nil {
					test.before(g)
				}
				g.whileSending(func() {
					g.awaitRequest(servers[0])
					if test.during != nil {
						test.during(g)
					}
				})
				g.Assert(g.server.Breakers.IsOpen(servers[0].address), qt.IsFalse)
				if test.second != nil {
					g.Check(servers[1].requests(), qt.HasLen, test.asked)
				}
				g.Check(g.budget.charged.Load(), qt.Equals, test.charged)
			})
		})
	}
}

// TestSilentServerIsOneOfTheAttempts checks that a stream reaches no more servers than its route allows.
func TestSilentServerIsOneOfTheAttempts(t *testing.T) {
	begun := streamHead + chunk(firstEvent)
	for name, next := range map[string][]step{
		"the second server fails":              {{0, eventStream("500 Oops", "data: bad\n\n")}},
		"the second server takes over, paused": {{0, streamHead + chunk(secondEvent)}, {2 * longPause, chunk(thirdEvent) + streamEnd}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newPausingBackend(t, step{0, begun}, step{2 * longPause, chunk(secondEvent) + chunk(thirdEvent) + streamEnd})
			second, third := newPausingBackend(t, next...), newPausingBackend(t, next...)
			withGateway(t, slowRoute(), []*backend{first, second, third}, func(g *gateway) {
				g.whileSending(func() {})
				g.Assert(second.requests(), qt.HasLen, 1)
				g.Assert(third.requests(), qt.HasLen, 0)
			})
		})
	}
}

// whileSending sends a request, calls act meanwhile, and checks that the caller gets the whole stream.
func (g *gateway) whileSending(act func()) {
	g.Helper()
	g.assertWholeStream(g.sendDuring(act))
}

// sendDuring sends a request, calls act meanwhile, and returns the response.
func (g *gateway) sendDuring(act func()) answer {
	g.Helper()
	var group errgroup.Group
	var got answer
	group.Go(func() error {
		got = g.send("POST", "/x/y", "")
		return nil
	})
	act()
	g.Assert(group.Wait(), qt.IsNil)
	return got
}

// TestSoundServerIsLeftOnlyForAnEvent checks streams of a sound server that pauses while another server
// begins to answer and does not continue the stream.
func TestSoundServerIsLeftOnlyForAnEvent(t *testing.T) {
	for name, second := range map[string][]step{
		"the second server begins again":                  {{0, eventStream("200 OK", threeEvents)}},
		"the second server breaks off after the head":     {{0, streamHead}},
		"the second server is silent after the head":      {{0, streamHead}, {10 * time.Second, ""}},
		"the second server breaks off in the first event": {{0, streamHead + chunk("id: 3\nda")}},
		"the second server leaves out events":             {{0, eventStream("200 OK", "id: 7\ndata: x\n\n")}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := []*backend{newPausingBackend(t, pausingStream()...), newPausingBackend(t, second...)}
			withGateway(t, slowRoute(), servers, func(g *gateway) {
				g.whileSending(func() {})
			})
		})
	}
}

// TestSilentServerLeft checks streams that another server takes over while their server is silent.
func TestSilentServerLeft(t *testing.T) {
	rest := func(after time.Duration) []step { return []step{{after, eventStream("200 OK", thirdEvent)}} }
	t.Run("the stream moves, and the silent server learns it at once", func(t *testing.T) {
		t.Parallel()
		first, second := newPausingBackend(t, step{0, streamHead + chunk(firstEvent) + chunk(secondEvent)}, step{5 * time.Second, ""}), newPausingBackend(t, rest(0)...)
		withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
			g.whileSending(func() {
				g.awaitRequest(second)
				g.assertClosed(first, closeLimit)
			})
			g.Assert(second.requests(), qt.DeepEquals, []string{"s1 2"})
		})
	})
	t.Run("before the first event", func(t *testing.T) {
		t.Parallel()
		first, second := newPausingBackend(t, step{0, streamHead}, step{5 * time.Second, ""}), newPausingBackend(t, step{0, eventStream("200 OK", threeEvents)})
		withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
			g.whileSending(func() { g.awaitRequest(second) })
			g.Assert(second.requests(), qt.DeepEquals, []string{"s1 "})
		})
	})
	t.Run("a planned stop past the refusal of waiting requests", func(t *testing.T) {
		t.Parallel()
		first, second := newPausingBackend(t, step{0, streamHead + chunk(firstEvent) + chunk(secondEvent)}, step{5 * time.Second, ""}), newPausingBackend(t, rest(0)...)
		withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
			g.whileSending(func() {
				g.awaitRequest(first)
				g.server.Drain(stopEndsIn(5 * time.Second))
			})
		})
	})
	t.Run("the silent server goes on first: the second one is dropped", func(t *testing.T) {
		t.Parallel()
		first, second := newPausingBackend(t, pausingStream()...), newPausingBackend(t, rest(5*time.Second)...)
		withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
			g.whileSending(func() { g.awaitRequest(second) })
			g.assertClosed(second, closeLimit)
			g.assertEvidence(2)
		})
	})
	t.Run("the silent server ends meanwhile: the second one goes on", func(t *testing.T) {
		t.Parallel()
		first, second := newPausingBackend(t, step{0, streamHead + chunk(firstEvent) + chunk(secondEvent)}, step{1500 * time.Millisecond, ""}), newPausingBackend(t, rest(700*time.Millisecond)...)
		withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
			g.whileSending(func() { g.awaitRequest(second) })
			g.Assert(second.requests(), qt.HasLen, 1)
		})
	})
	t.Run("a server that is full is not asked again and again", func(t *testing.T) {
		t.Parallel()
		full := newPausingBackend(t, step{0, notRun})
		first := newPausingBackend(t, step{0, streamHead + chunk(firstEvent) + chunk(secondEvent)}, step{5 * time.Second, chunk(thirdEvent) + streamEnd})
		withGateway(t, slowRoute(), []*backend{first, full, full, full, full, full, full, full, full}, func(g *gateway) {
			g.whileSending(func() {})
			g.Assert(len(full.requests()) <= 3, qt.IsTrue, qt.Commentf("asked %d times", len(full.requests())))
		})
	})
	t.Run("a caller that leaves ends both", func(t *testing.T) {
		t.Parallel()
		first := newPausingBackend(t, step{0, streamHead + chunk(firstEvent)}, step{5 * time.Second, ""})
		second := newPausingBackend(t, step{5 * time.Second, ""})
		withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			var group errgroup.Group
			group.Go(func() error {
				g.sendUntil(ctx)
				return nil
			})
			g.awaitRequest(second)
			leave()
			g.assertClosed(first, closeLimit)
			g.assertClosed(second, closeLimit)
			g.Assert(group.Wait(), qt.IsNil)
		})
	})
}

func TestDeadlineForServerOfLongStreamIsNotPast(t *testing.T) {
	const eventGap = time.Second
	for name, last := range map[string]step{
		"its server breaks off":   {eventGap, ""},
		"its server falls silent": {5 * time.Second, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newPausingBackend(t, step{0, streamHead + chunk(firstEvent)}, step{eventGap, chunk("id: 1\ndata: more\n\n")}, step{eventGap, chunk(secondEvent)}, last)
			second := newPausingBackend(t, step{0, eventStream("200 OK", thirdEvent)})
			withGateway(t, slowRoute(), []*backend{first, second}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").cut, qt.IsFalse)
				g.placer.mu.Lock()
				defer g.placer.mu.Unlock()
				g.Assert(g.placer.timeLeft > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v left", g.placer.timeLeft))
				g.Assert(g.placer.timeLeft <= 2*time.Second, qt.IsTrue, qt.Commentf("%v left", g.placer.timeLeft))
			})
		})
	}
}

// TestEventAtTheMomentOfTakeover checks that streams are whole whose silent server sends an event while
// another server begins to answer.
func TestEventAtTheMomentOfTakeover(t *testing.T) {
	t.Parallel()
	const streams = 180
	server := newUnevenBackend(t, 1150*time.Millisecond, 150*time.Millisecond)
	servers := slices.Repeat([]*backend{server}, 2*streams)
	withGateway(t, slowRoute(), servers, func(g *gateway) {
		var group errgroup.Group
		group.SetLimit(streams / 3)
		for range streams {
			group.Go(func() error {
				got := g.send("POST", "/x/y", "")
				g.Check(got.body, qt.Equals, threeEvents)
				g.Check(got.cut, qt.IsFalse)
				return nil
			})
		}
		g.Assert(group.Wait(), qt.IsNil)
		moved := g.server.Metrics.Get(metrics.StreamsResumed)
		g.Assert(moved > 0 && moved < streams, qt.IsTrue, qt.Commentf("%d of %d streams moved", moved, streams))
	})
}

// newUnevenBackend starts a server that sends two events, pauses for the given time and up to spread
// more, and sends the third. It goes on with a stream after up to spread.
func newUnevenBackend(t *testing.T, pause, spread time.Duration) *backend {
	t.Helper()
	b := &backend{closed: make(chan struct{}, 1000)}
	b.address = listen(t, func(conn net.Conn) {
		b.playAnswer(conn, func(request *http.Request) []step {
			drawn := rand.N(spread)
			if request.Header.Get("X-Last") != "" {
				return []step{{drawn, closing(eventStream("200 OK", thirdEvent))}}
			}
			return []step{{0, closing(streamHead) + chunk(firstEvent) + chunk(secondEvent)}, {pause + drawn, chunk(thirdEvent) + streamEnd}}
		})
	})
	return b
}

// closing announces in the head of a response that its server closes the connection after it.
func closing(response string) string {
	return strings.Replace(response, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}

// sendUntil sends a request whose caller leaves when the context ends.
func (g *gateway) sendUntil(ctx context.Context) {
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+g.address+"/x/y", nil)
	g.Check(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("X-Id", "id-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	// The caller reads until it leaves.
	_, _ = io.Copy(io.Discard, response.Body)
}
