package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// callersPerKind is the number of callers of each kind of request at each daemon, and callerPause how
	// long one waits between two requests.
	callersPerKind = 1
	callerPause    = 100 * time.Millisecond
)

// cutKind is a kind of request that callers send.
type cutKind struct {
	name        string
	service     string
	requestKind azurehitch.RequestKind
	maxAttempts int
}

func cutKinds() []cutKind {
	return []cutKind{
		{"repeatable", "calls", azurehitch.RequestKindIdempotent, 2},
		{"once", "calls", azurehitch.RequestKindNonIdempotent, 1},
		{"stream", "language", azurehitch.RequestKindStream, 2},
	}
}

func (k cutKind) path() string { return "/" + k.name + "/" }

func (k cutKind) isStream() bool { return k.requestKind == azurehitch.RequestKindStream }

// runCounter counts the runs of each request at all servers.
type runCounter struct {
	platformtest.DiscardRecorder
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

// Ran implements platformtest.Recorder.
func (r *runCounter) Ran(run platformtest.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.RequestID]++
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// firstTry is a request that a caller sent once, and its outcome.
type firstTry struct {
	kind   cutKind
	id     string
	sentAt time.Time
	daemon *linkedDaemon
	status int
	answer platformtest.Answer
	err    error
}

// isServed reports whether the caller has a whole answer of a server.
func (t firstTry) isServed() bool {
	return t.err == nil && t.status == http.StatusOK && t.answer.Whole && (!t.kind.isStream() || t.isWholeStream())
}

// isWholeStream reports whether all events of a stream came, in their order.
func (t firstTry) isWholeStream() bool {
	numbers, total, err := t.answer.Events(t.id)
	if err != nil || len(numbers) != total {
		return false
	}
	for i, n := range numbers {
		if n != i+1 {
			return false
		}
	}
	return total == cutStreamEvents
}

// cutCaller sends requests one after the other to a daemon, on a connection that it keeps while it can.
type cutCaller struct {
	fleet  *cutFleet
	daemon *linkedDaemon
	name   string
	sent   int
	conn   net.Conn
	client *platformtest.Caller
}

// send sends a new request, and waits for its answer as long as its time lasts.
func (c *cutCaller) send(kind cutKind) firstTry {
	c.sent++
	try := firstTry{kind: kind, id: fmt.Sprintf("%s-%d", c.name, c.sent), sentAt: time.Now(), daemon: c.daemon}
	request := platformtest.CallerRequest{
		ID: try.id, Method: http.MethodPost, Host: "a.example", URI: kind.path() + try.id, Body: "body", TimeLeft: cutTimeLeft,
	}
	if kind.isStream() {
		request.Model, request.Session, request.SharedParts = cutModel, try.id+"-session", []string{"shared"}
	}
	if try.answer, try.err = c.exchange(request); try.err != nil || try.answer.Close || !try.answer.Whole {
		c.close()
	}
	try.status = try.answer.Status
	return try
}

func (c *cutCaller) exchange(request platformtest.CallerRequest) (platformtest.Answer, error) {
	if c.conn == nil || c.client.IsClosed() {
		c.close()
		conn, err := net.DialTimeout("tcp", c.daemon.callers, time.Second)
		if err != nil {
			return platformtest.Answer{}, errors.Wrap(err, "connect to the daemon")
		}
		c.conn, c.client = conn, platformtest.NewCaller(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(request.TimeLeft)); err != nil {
		return platformtest.Answer{}, err
	}
	if err := c.client.Send(request); err != nil {
		return platformtest.Answer{}, err
	}
	return c.client.Receive(request)
}

func (c *cutCaller) close() {
	if c.conn != nil {
		// The caller doesn't use the connection any more.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// run sends requests of a kind until the context ends.
func (c *cutCaller) run(ctx context.Context, kind cutKind) []firstTry {
	defer c.close()
	var tries []firstTry
	for ctx.Err() == nil {
		tries = append(tries, c.send(kind))
		if sleep(ctx, callerPause) != nil {
			break
		}
	}
	return tries
}

// send sends requests of all kinds to all daemons until the context ends, and returns them.
func (f *cutFleet) send(ctx context.Context) []firstTry {
	var mu sync.Mutex
	var tries []firstTry
	var group errgroup.Group
	for i, d := range f.daemons {
		for _, kind := range cutKinds() {
			for k := range callersPerKind {
				caller := &cutCaller{fleet: f, daemon: d, name: fmt.Sprintf("%d-%s-%d", i, kind.name, k)}
				group.Go(func() error {
					sent := caller.run(ctx, kind)
					mu.Lock()
					defer mu.Unlock()
					tries = append(tries, sent...)
					return nil
				})
			}
		}
	}
	f.Assert(group.Wait(), qt.IsNil)
	return tries
}

// isRefusal reports whether a status states that a request was not run and never will be.
func isRefusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// assertPromises checks that no request ran more often than it may, that no answer is mixed and that no
// refused request has run.
func (f *cutFleet) assertPromises(tries []firstTry) {
	f.Helper()
	for _, try := range tries {
		runs := f.runs.count(try.id)
		f.Check(runs <= try.kind.maxAttempts, qt.IsTrue, qt.Commentf("%s ran %d times", try.id, runs))
		if try.err != nil {
			continue
		}
		f.Check(isRefusal(try.status) && !try.kind.mayRepeat() && runs > 0, qt.IsFalse, qt.Commentf("%s was refused and has run", try.id))
		f.Check(try.answer.Echoes, qt.IsTrue, qt.Commentf("%s has the answer of another request", try.id))
		if try.status == http.StatusOK {
			f.Check(try.answer.Signed && runs > 0, qt.IsTrue, qt.Commentf("%s has an answer without its run", try.id))
		}
	}
}

func (k cutKind) mayRepeat() bool { return k.requestKind != azurehitch.RequestKindNonIdempotent }
