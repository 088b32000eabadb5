package backend

import (
	"sync"

	"azurehitch/internal/proof/sabotage"
)

const (
	// retryRatio is the number of retries that each first attempt adds to the budget.
	retryRatio = 0.1
	// retryBurst is the maximum of the budget, in retries.
	retryBurst = 10
)

// RetryBudget limits retries to a fraction of the requests, so that retries do not prolong an
// overload.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// Spend reports whether a retry is within the budget, and if so charges it.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 && !sabotage.Active(sabotage.SkipBudget) {
		return false
	}
	b.tokens--
	return true
}
