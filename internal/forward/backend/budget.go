package backend

import (
	"sync"

	"azurehitch/internal/proof/sabotage"
)

const (
	// retryRatio is the part of the requests that may be retries.
	retryRatio = 0.1
	// retryReserve is the number of retries that may be made at once.
	retryReserve = 10
)

// RetryBudget bounds retries to a part of the requests, so that retries do not
// keep up an overload.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryReserve)
}

// Spend reports whether a retry is within the budget, and takes it.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 && !sabotage.Active(sabotage.SkipBudget) {
		return false
	}
	b.tokens--
	return true
}
