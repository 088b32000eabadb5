package swapholder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// noticingEngine answers with notices, and may deny that a lease still holds when an order would
// go out.
type noticingEngine struct {
	engine
	reportNotice azurehitch.ServerNotice
	reportErr    error
	orderNotice  azurehitch.ServerNotice
	// connected is called between the decision to send an order and its first byte.
	connected func()
}

// Report implements azurehitch.EngineControl.
func (e *noticingEngine) Report(ctx context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	report, err := e.engine.Report(ctx, server)
	report.Notice = e.reportNotice
	if e.reportErr != nil {
		err = e.reportErr
	}
	return report, err
}

// Order implements azurehitch.EngineControl.
func (e *noticingEngine) Order(
	ctx context.Context, server azurehitch.ServerIdentity, order azurehitch.SwapOrder, mayOrder func() bool,
) (azurehitch.OrderResult, error) {
	if e.connected != nil {
		e.connected()
	}
	result, err := e.engine.Order(ctx, server, order, mayOrder)
	result.Notice = e.orderNotice
	return result, err
}

// lease is a lease whose validity a test ends.
type lease struct {
	mu    sync.Mutex
	ended bool
}

func (l *lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

// Token is that of the lease.
func (l *lease) Token(string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 7, !l.ended
}

// noticesOf returns what a holder hears from an engine while a model is asked for.
func noticesOf(t *testing.T, e azurehitch.EngineControl) []azurehitch.ServerNotice {
	t.Helper()
	var mu sync.Mutex
	var notices []azurehitch.ServerNotice
	set := newSet(e, (&lease{}).Token)
	set.Noticed = func(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice) {
		mu.Lock()
		defer mu.Unlock()
		if server.ID == "s" && notice != (azurehitch.ServerNotice{}) {
			notices = append(notices, notice)
		}
	}
	askFor(t, set, 800*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	return notices
}

// TestNotices answers servers that leave, or turn away, with what a holder hears from them.
func TestNotices(t *testing.T) {
	leaving := azurehitch.ServerNotice{Leaving: true}
	rest := azurehitch.ServerNotice{Rest: time.Second}
	for _, test := range []struct {
		name   string
		engine *noticingEngine
		want   azurehitch.ServerNotice
	}{
		{"in a report", &noticingEngine{reportNotice: leaving}, leaving},
		{"in the refusal of a report", &noticingEngine{reportNotice: rest, reportErr: errors.New("full")}, rest},
		{"in the answer to an order", &noticingEngine{orderNotice: leaving}, leaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			notices := noticesOf(t, test.engine)
			c.Assert(len(notices) > 0, qt.IsTrue)
			c.Assert(notices[0], qt.Equals, test.want)
		})
	}
}

// TestLapsedAtSend freezes a holder between its decision and the first byte of the order, for
// longer than its lease: nothing goes out.
func TestLapsedAtSend(t *testing.T) {
	c := qt.New(t)
	l := &lease{}
	e := &noticingEngine{connected: l.end}
	askFor(t, newSet(e, l.Token), 800*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Assert(e.sent, qt.Equals, 0)
}

// TestSettle gives a lease back while an order is on its way: others hear of it only when that has
// ended.
func TestSettle(t *testing.T) {
	c := qt.New(t)
	arrived, answered := make(chan struct{}), make(chan struct{})
	once := sync.OnceFunc(func() {
		close(arrived)
		<-answered
	})
	l := &lease{}
	set := newSet(&noticingEngine{connected: once}, l.Token)
	settled := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		<-arrived
		l.end()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		c.Check(set.Settle(ctx, "llm"), qt.IsNotNil, qt.Commentf("an order is on its way"))
		close(answered)
		settled <- set.Settle(context.Background(), "llm")
		return nil
	})
	askFor(t, set, 300*time.Millisecond)
	c.Assert(<-settled, qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
}
