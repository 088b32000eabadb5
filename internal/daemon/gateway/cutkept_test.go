package gateway_test

import (
	"testing"

	"azurehitch/internal/standin/serverlink"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestRequestOnKeptConnectionAtCutEndsWithoutAnswer guards against a whole request that is sent on a kept connection to a
// server, as its daemon is cut from all servers, and gets neither an answer nor a refusal before its caller leaves.
func TestRequestOnKeptConnectionAtCutEndsWithoutAnswer(t *testing.T) {
	const callers, warmUps = 4, 3
	withCutFleet(t, func(f *cutFleet) {
		for _, kind := range cutKinds() {
			var warm, group errgroup.Group
			sent := make([]*cutCaller, callers)
			for i := range sent {
				sent[i] = &cutCaller{fleet: f, daemon: f.daemons[0], name: kind.name + string(rune('a'+i))}
				warm.Go(func() error {
					for range warmUps {
						sent[i].send(kind)
					}
					return nil
				})
			}
			f.Assert(warm.Wait(), qt.IsNil)
			f.daemons[0].setLink(serverlink.Hanging)
			for _, caller := range sent {
				group.Go(func() error {
					try := caller.send(kind)
					f.Check(try.status, qt.Not(qt.Equals), 0, qt.Commentf("%s: %v", try.id, try.err))
					caller.close()
					return nil
				})
			}
			f.Assert(group.Wait(), qt.IsNil)
			f.daemons[0].setLink(serverlink.Up)
			f.awaitServing(f.daemons[0])
		}
	})
}
