package passthrough_test

import (
	"context"
	"net"
	"testing"

	"azurehitch/internal/forward/place"
	"azurehitch/internal/transport/serverpath"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// noPath is a connpool.Dialer of a daemon that has no path to any server.
type noPath struct{}

// Dial implements connpool.Dialer.
func (noPath) Dial(_ context.Context, address string) (net.Conn, error) {
	return nil, &serverpath.ErrNoPath{Address: address, Cause: errors.New("no other daemon reaches it")}
}

// countedPlacer is a passthrough.Placer that counts the choices in progress.
type countedPlacer struct {
	*sequencePlacer
	begun int
	ended int
}

// Place implements passthrough.Placer.
func (p *countedPlacer) Place(ctx context.Context, request place.Request) (place.Choice, error) {
	choice, err := p.sequencePlacer.Place(ctx, request)
	if err != nil {
		return choice, err
	}
	p.begun++
	choice.End = func() { p.ended++ }
	return choice, nil
}

func TestRequestWithoutPathAccusesNoServer(t *testing.T) {
	first, second := newBackend(t, whole, 0), newBackend(t, whole, 0)
	withGateway(t, nonIdempotent, []*backend{first, first, first, first, first, second}, func(g *gateway) {
		placer := &countedPlacer{sequencePlacer: g.placer}
		g.server.Placer = placer
		g.server.Connections.WithPathDialer(noPath{})
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 503)
		g.Check(g.placer.avoided, qt.HasLen, 0, qt.Commentf("the holder would order loads at other servers"))
		g.Check(g.server.Breakers.IsOpen(first.address), qt.IsFalse)
		g.Check(placer.begun >= 2, qt.IsTrue)
		g.Check(placer.ended, qt.Equals, placer.begun)
		g.Check(g.quarantine.brokenOff, qt.HasLen, 0)
	})
}
