package connpool

import (
	"context"
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

// watchSilence reports a server to the Dialer if it sends nothing for silenceTime before stop is called. A new
// connection needs no watch: its dial has just shown that the server is reached.
func (p *Pool) watchSilence(address string) (stop func()) {
	suspecter, ok := p.dialer.(pathSuspecter)
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(silenceTime, func() { suspecter.Suspect(address) })
	return func() { timer.Stop() }
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
