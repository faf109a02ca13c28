// Package budgeter limits retries to a fraction of the requests in a sliding
// window. Each instance keeps the rule with its own requests, so that all of them together
// keep it, too.
package budgeter

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps in which the window slides, halfSteps that of half
	// a window, and storedSteps the number of those that are stored.
	windowSteps = 100
	halfSteps   = windowSteps / 2
	storedSteps = windowSteps + halfSteps + 1
)

// Rule limits the retries of all instances together.
type Rule struct {
	// Ratio is the number of retries allowed for each request of a window, or of the
	// window that begins half a window earlier if that has more requests.
	Ratio float64
	// ExtraRetries is the number of retries allowed per window in addition to
	// those by Ratio.
	ExtraRetries float64
	// WindowMillis is the length of the window.
	WindowMillis int
}

// Default is the rule of the router's native interface: retries for a tenth of
// the requests, plus two a second.
func Default() Rule { return Rule{Ratio: 0.1, ExtraRetries: 20, WindowMillis: 10000} }

// Budget is the retry budget of one instance.
type Budget struct {
	rule  Rule
	now   func() time.Time
	start time.Time
	mu    sync.Mutex
	// share is the part of ExtraRetries that this instance may use.
	share    float64
	slots    [storedSteps]slot
	lastStep int64
	// reserved is the number of retries that were allowed and not sent yet.
	reserved float64
}

// slot counts the requests and retries of one step of the window.
type slot struct {
	step              int64
	requests, retries float64
}

// New returns a budget with the given rule for an instance that may use the given share of
// ExtraRetries.
func New(rule Rule, share float64, now func() time.Time) *Budget {
	return &Budget{rule: rule, share: share, now: now, start: now()}
}

// SetShare sets the share of ExtraRetries that this instance may use.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordRequest counts a request, which adds Ratio to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot().requests++
}

// TryRetry takes one retry that is sent at once from the budget and reports whether the
// budget allowed it.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spend()
}

// Reserve reports whether the budget allows another retry, and reserves it until Spend or
// Cancel is called.
func (b *Budget) Reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows() {
		return false
	}
	b.reserved++
	return true
}

// Spend reports whether a reserved retry may be sent now, and ends the reservation. The
// requests that allowed the reservation may be too long ago.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
	return b.spend()
}

// Cancel ends the reservation of a retry that is not sent.
func (b *Budget) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// spend counts a retry if the budget allows it. The caller holds the lock.
func (b *Budget) spend() bool {
	if !b.allows() {
		return false
	}
	b.currentSlot().retries++
	return true
}

// allows reports whether the budget allows another retry beside the reserved ones. It checks
// the windows that begin in each of the last steps, with the requests that are known by now.
// The mean of two windows' requests is not more than the larger number, for one instance and
// for the sum of all. The caller holds the lock.
func (b *Budget) allows() bool {
	current := b.currentSlot().step
	sums := b.requestSums(current)
	retries := 1 + b.reserved
	for age := range windowSteps + 1 {
		retries += b.slotAt(current - int64(age)).retries
		// The steps in which the windows begin and end count only in part.
		requests := sums.within(0, age-1) + sums.within(age-halfSteps+1, age+halfSteps-1)
		if retries > b.rule.Ratio*requests/2+b.rule.ExtraRetries*b.share {
			return false
		}
	}
	return true
}

// ageSums holds at each index the number of the requests of as many steps, the last ones.
type ageSums [storedSteps + 1]float64

// requestSums returns the sums of the requests until the step current. The caller holds the
// lock.
func (b *Budget) requestSums(current int64) *ageSums {
	var sums ageSums
	for age := range storedSteps {
		sums[age+1] = sums[age] + b.slotAt(current-int64(age)).requests
	}
	return &sums
}

// within returns the number of the requests of the steps with the ages from youngest to
// oldest. Steps to come have none.
func (s *ageSums) within(youngest, oldest int) float64 {
	if oldest < 0 {
		return 0
	}
	return s[min(oldest+1, storedSteps)] - s[max(youngest, 0)]
}

// slotAt returns the counts of a step, which are zero if they are not stored.
func (b *Budget) slotAt(step int64) slot {
	stored := b.slots[(step+storedSteps)%storedSteps]
	if stored.step != step {
		return slot{}
	}
	return stored
}

// currentSlot returns the slot of the current step, reset if it is from an earlier window.
func (b *Budget) currentSlot() *slot {
	length := time.Duration(b.rule.WindowMillis) * time.Millisecond / windowSteps
	step := int64(b.now().Sub(b.start)/length) + 1
	step = max(step, b.lastStep) // a clock that jumps back must not bring back retries
	b.lastStep = step
	current := &b.slots[step%storedSteps]
	if current.step != step {
		*current = slot{step: step}
	}
	return current
}
