package connpool

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// silenceTime is how long a server may send nothing on a reused connection before its path is suspected.
	silenceTime = 300 * time.Millisecond
	// minSilence is how long a reused connection brings no response, before a canceled exchange counts as one
	// that timed out.
	minSilence = time.Second
)

// pathSuspecter is implemented by a Dialer that checks the path to a server whose connection is silent.
type pathSuspecter interface{ Suspect(address string) }

// awaitOnReused records that a response is awaited on a reused connection until stop is called, and reports the
// server to the Dialer each time that nothing has come for silenceTime. A new connection needs no watch: its dial has just
// shown that the server is reached.
func (p *Pool) awaitOnReused(address string, c *conn) (stop func()) {
	p.setAwaiting(address, c, true)
	suspecter, ok := p.dialer.(pathSuspecter)
	if !ok {
		return func() { p.setAwaiting(address, c, false) }
	}
	watch := watchSilence(func() { suspecter.Suspect(address) })
	return func() {
		watch.stop()
		p.setAwaiting(address, c, false)
	}
}

// silenceWatch calls a function each time that silenceTime has passed.
type silenceWatch struct {
	onSilence func()
	mu        sync.Mutex
	timer     *time.Timer
	isStopped bool
}

func watchSilence(onSilence func()) *silenceWatch {
	w := &silenceWatch{onSilence: onSilence}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTime, w.fire)
	return w
}

func (w *silenceWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return
	}
	w.onSilence()
	w.timer.Reset(silenceTime)
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
}

func (p *Pool) setAwaiting(address string, c *conn, isAwaiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	switch {
	case !ok:
	case isAwaiting:
		s.awaiting[c] = struct{}{}
	default:
		delete(s.awaiting, c)
	}
}

// CloseSilent closes the idle connections to a server whose path is blocked, and ends the exchanges that await a
// response on reused ones: only requests that may be repeated use these.
func (p *Pool) CloseSilent(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[address]; ok {
		s.closeSilent()
	}
}

// CloseAllSilent does so for all servers.
func (p *Pool) CloseAllSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.closeSilent()
	}
}

func (s *serverConns) closeSilent() {
	closeAll(s.idle)
	s.idle = nil
	for c := range s.awaiting {
		c.interrupt()
	}
}

// closeIfSilent closes the idle connections to a server after an exchange on one of them, begun at startedAt, has failed
// without a response in time: what silenced it may have silenced the others too, and each would cost a request its
// whole time.
func (p *Pool) closeIfSilent(ctx context.Context, address string, startedAt time.Time, err error) {
	if isTimeout(ctx, err) || p.clock.Now().Sub(startedAt) >= minSilence {
		p.CloseIdle(address)
	}
}

// isTimeout reports whether an exchange failed because its time was over, and not because it was canceled.
func isTimeout(ctx context.Context, err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(ctx.Err(), context.Canceled)
}
