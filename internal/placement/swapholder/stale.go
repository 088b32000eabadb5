package swapholder

import (
	"sync"

	"azurehitch"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/telemetry/logging"
)

// maxRaises is how often a process of a server can make this daemon raise its tokens. A sound server accepts the
// raised token; a faulty one may reject any.
const maxRaises = 3

// staleRefusals counts, for each process of a server, the orders that it has rejected because it has seen a
// higher token. It is safe for concurrent use.
type staleRefusals struct {
	mu     sync.Mutex
	counts map[azurehitch.ServerIdentity]int
}

func newStaleRefusals() *staleRefusals {
	return &staleRefusals{counts: map[azurehitch.ServerIdentity]int{}}
}

// add counts a rejected order of a server and returns the count.
func (s *staleRefusals) add(server azurehitch.ServerIdentity) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[server]++
	return s.counts[server]
}

// stepDown stops sending orders under a token that a server has rejected as stale. Either a later holder has
// claimed the lease, or tokens must rise above what the server has seen: the lease is no use until then.
// It does nothing if the server goes on rejecting tokens that were raised.
func (h *holder) stepDown(order swap.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokenStale {
		return
	}
	refusals := h.refusals.add(order.Server)
	h.tokenStale = refusals <= maxRaises
	h.Logs.Layer(logging.LayerLease).Warn().Str("Service", h.service).Int64("Token", h.token).
		Str("Server", order.Server.ID).Int("Refusals", refusals).Bool("StepsDown", h.tokenStale).Msg("a server has seen a higher token")
	if h.tokenStale {
		h.RaiseTokens(h.service, h.token)
	}
}
