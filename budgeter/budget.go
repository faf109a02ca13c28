// Package budgeter bounds retries to a share of the requests that succeed.
package budgeter

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	share    = 0.1 // retries earned by one success
	most     = 100 // retries saved up
	floor    = 2   // retries a second that are always allowed
	maxBurst = 10
)

// Budget counts retries that may still be made.
type Budget struct {
	mu     sync.Mutex
	earned float64
	always *rate.Limiter
}

// New returns a budget that allows a few retries a second from the start.
func New() *Budget {
	return &Budget{always: rate.NewLimiter(floor, maxBurst)}
}

// Earn counts a success.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(most, b.earned+share)
}

// Spend takes one retry and reports whether there was one left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	return b.always.Allow()
}
