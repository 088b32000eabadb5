package swapholder

import (
	"sync"

	"azurehitch"
)

// unansweredOrders holds, for each server, the token of the last order without an answer that the server may
// not have read yet. It is safe for concurrent use.
type unansweredOrders struct {
	mu     sync.Mutex
	tokens map[azurehitch.ServerIdentity]int64
}

func newUnansweredOrders() *unansweredOrders {
	return &unansweredOrders{tokens: map[azurehitch.ServerIdentity]int64{}}
}

// add records an order without an answer.
func (u *unansweredOrders) add(server azurehitch.ServerIdentity, token int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens[server] = token
}

// remove records that a server has read all orders.
func (u *unansweredOrders) remove(server azurehitch.ServerIdentity) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.tokens, server)
}

// removeOf records that a server has read all orders under a token.
func (u *unansweredOrders) removeOf(server azurehitch.ServerIdentity, token int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tokens[server] == token {
		delete(u.tokens, server)
	}
}

// hasFormer reports whether a server may not have read an order under another token than the given one.
func (u *unansweredOrders) hasFormer(server azurehitch.ServerIdentity, token int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	former, ok := u.tokens[server]
	return ok && former != token
}
