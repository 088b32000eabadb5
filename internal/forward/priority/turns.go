package priority

import "time"

// maxExcess bounds by how much the request of an account waits behind others.
const maxExcess = 10 * time.Second

// maxAhead bounds the turns that an account takes ahead of those that were served. Requests that are refused take turns
// too; without a bound, an account that was refused often would wait behind others long after its excess.
const maxAhead = 32

// Turns share the slots for which requests wait between accounts: each account takes one turn after the other,
// and an account that sends more than the others takes turns ahead of them (start-time fair queueing, with
// virtual time in requests). It is not safe for concurrent use.
type Turns struct {
	// current is the highest turn of a request that was served, and next the next turn of each account.
	current float64
	next    map[string]float64
}

// NewTurns returns the turns of requests for the same servers.
func NewTurns() *Turns { return &Turns{next: map[string]float64{}} }

// Reset forgets all turns. It is called when no request waits: what an account used then was taken from nobody.
func (t *Turns) Reset() {
	t.current = 0
	clear(t.next)
}

// Take returns the turn of the next request of an account.
func (t *Turns) Take(account string) float64 {
	turn := max(t.current, t.next[account])
	t.next[account] = min(turn+1, t.current+maxAhead)
	return turn
}

// Served records that a request with a turn was served.
func (t *Turns) Served(turn float64) { t.current = max(t.current, turn) }

// Excess returns by how much a request with a turn waits behind those of others, while the given number of other
// accounts wait and one request is served per interval: the time that their turns take up to this one.
func (t *Turns) Excess(turn float64, otherAccounts int, interval time.Duration) time.Duration {
	excess := max(turn-t.current, 0) * float64(otherAccounts) * float64(interval)
	return time.Duration(min(excess, float64(maxExcess)))
}
