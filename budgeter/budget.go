// Package budgeter bounds retries to a share of the requests of a window.
package budgeter

import (
	"sync"
	"time"
)

// steps is the number of steps in which the window slides.
const steps = 10

// Rule bounds the retries of all instances together.
type Rule struct {
	// Ratio is the number of retries allowed for each request of a window.
	Ratio float64
	// MinRetries is the number of retries that a window allows besides.
	MinRetries float64
	// WindowMillis is the length of the window in milliseconds.
	WindowMillis int
}

// Default is the rule of the product's own interface: a tenth of the
// requests, and two a second besides.
func Default() Rule { return Rule{Ratio: 0.1, MinRetries: 20, WindowMillis: 10000} }

// Budget counts the retries of one instance that may still be made.
type Budget struct {
	rule  Rule
	now   func() time.Time
	start time.Time
	mu    sync.Mutex
	share float64
	slots [steps]slot
}

type slot struct {
	number          int64
	requests, spent float64
}

// New returns a budget by rule for the only instance.
func New(rule Rule, now func() time.Time) *Budget {
	return &Budget{rule: rule, now: now, start: now(), share: 1}
}

// SetInstances divides the slack among the given number of instances.
func (b *Budget) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = 1 / float64(max(instances, 1))
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot().requests++
}

// TryRetry takes one retry and reports whether there was one left.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot()
	requests, spent := 0.0, 0.0
	for _, past := range b.slots {
		if current.number-past.number < steps {
			requests += past.requests
			spent += past.spent
		}
	}
	if spent+1 > b.rule.Ratio*requests+b.rule.MinRetries*b.share {
		return false
	}
	current.spent++
	return true
}

func (b *Budget) slot() *slot {
	step := int64(b.rule.WindowMillis) / steps
	number := b.now().Sub(b.start).Milliseconds()/step + 1 // the time of day may jump
	current := &b.slots[number%steps]
	if current.number != number {
		*current = slot{number: number}
	}
	return current
}
