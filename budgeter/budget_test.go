package budgeter_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/budgeter"
)

// In any window, the retries of all instances together must not exceed what the rule allows
// for the requests of that window, or of the one that begins half a window earlier.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := budgeter.Rule{Ratio: rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "ratio"), ExtraRetries: 12, WindowMillis: int(window.Milliseconds())}
		pause := rapid.SampledFrom([]int{20, 300, 900}).Draw(t, "longest pause")
		now := time.Unix(1000, 0)
		instances := rapid.IntRange(1, 4).Draw(t, "instances")
		var budgets []*budgeter.Budget
		for range instances {
			budget := budgeter.New(rule, 1/float64(instances), func() time.Time { return now })
			budgets = append(budgets, budget)
		}
		reserved := make([]int, instances)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, pause).Draw(t, "pause")) * time.Millisecond)
			instance := rapid.IntRange(0, instances-1).Draw(t, "instance")
			budget := budgets[instance]
			switch step := rapid.SampledFrom([]string{"request", "retry", "reserve", "spend", "cancel"}).Draw(t, "step"); {
			case step == "request":
				budget.RecordRequest()
				requests = append(requests, now)
			case step == "retry" && budget.TryRetry():
				retries = append(retries, now)
			case step == "reserve" && budget.Reserve():
				reserved[instance]++
			case step == "spend" && reserved[instance] > 0:
				reserved[instance]--
				if budget.Spend() {
					retries = append(retries, now)
				}
			case step == "cancel" && reserved[instance] > 0:
				reserved[instance]--
				budget.Cancel()
			}
		}
		for _, at := range slices.Concat(retries, requests) {
			for _, from := range []time.Time{at, at.Add(1), at.Add(-window), at.Add(-window - 1), at.Add(window / 2), at.Add(window/2 + 1), at.Add(-window/2 - 1)} {
				allowed := rule.Ratio*float64(max(within(requests, from), within(requests, from.Add(-window/2)))) + rule.ExtraRetries
				assert.Assert(t, float64(within(retries, from)) <= allowed, "%d retries, %.1f allowed", within(retries, from), allowed)
			}
		}
	})
}

const window = 10 * time.Second

// within returns the number of times in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(from.Add(window)) {
			count++
		}
	}
	return count
}

// A retry must count against the budget until the window has passed.
func TestRetryCountsForWholeWindow(t *testing.T) {
	now := time.Now()
	budget := budgeter.New(budgeter.Rule{ExtraRetries: 2, WindowMillis: 10000}, 1, func() time.Time { return now })
	assert.Assert(t, budget.TryRetry())
	assert.Assert(t, budget.TryRetry())
	assert.Assert(t, !budget.TryRetry())
	now = now.Add(11 * time.Second)
	assert.Assert(t, budget.TryRetry())
}

// Guards against the extra retries of two windows within the time of one.
func TestRetryCountsUntilTheWindowHasPassed(t *testing.T) {
	const step = window / 100
	now := time.Now()
	budget := budgeter.New(budgeter.Rule{ExtraRetries: 1, WindowMillis: int(window.Milliseconds())}, 1, func() time.Time { return now })
	now = now.Add(step - time.Millisecond)
	assert.Assert(t, budget.TryRetry())
	now = now.Add(window - time.Millisecond)
	assert.Assert(t, !budget.TryRetry())
}

// Requests must not allow retries that fall into a window without them: seed
// 12198589523180520881 of TestBudgetHoldsInEveryWindow found 18 retries for 23
// requests.
func TestOldRequestsAllowNoBurst(t *testing.T) {
	now := time.Now()
	rule := budgeter.Rule{Ratio: 0.2, ExtraRetries: 12, WindowMillis: 10000}
	budget := budgeter.New(rule, 1, func() time.Time { return now })
	for range 100 {
		budget.RecordRequest()
	}
	now = now.Add(8500 * time.Millisecond)
	retries := 0
	for range 100 {
		if budget.TryRetry() {
			retries++
		}
	}
	assert.Equal(t, retries, int(rule.ExtraRetries))
}

// A clock that jumps back must not bring back the retries that were taken.
func TestClockJumpsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := budgeter.New(budgeter.Rule{ExtraRetries: 1, WindowMillis: 10000}, 1, func() time.Time { return now })
	now = now.Add(time.Minute)
	assert.Assert(t, budget.TryRetry())
	now = now.Add(-time.Hour)
	assert.Assert(t, !budget.TryRetry())
	now = now.Add(time.Hour + 11*time.Second)
	assert.Assert(t, budget.TryRetry())
}

// Guards against retries that are reserved in several windows and sent in one.
func TestReservedRetriesFillTheBudget(t *testing.T) {
	now := time.Now()
	budget := budgeter.New(budgeter.Rule{ExtraRetries: 2, WindowMillis: 10000}, 1, func() time.Time { return now })
	assert.Assert(t, budget.Reserve() && budget.Reserve())
	now = now.Add(11 * time.Second)
	assert.Assert(t, !budget.Reserve() && !budget.TryRetry())
	assert.Assert(t, budget.Spend())
	budget.Cancel()
	assert.Assert(t, budget.Reserve())
	assert.Assert(t, budget.Spend())
	assert.Assert(t, !budget.Reserve())
}

// Guards against a retry that is sent long after the requests that allowed it.
func TestReservationEndsWithItsRequests(t *testing.T) {
	now := time.Now()
	budget := budgeter.New(budgeter.Rule{Ratio: 2, WindowMillis: 10000}, 1, func() time.Time { return now })
	budget.RecordRequest()
	assert.Assert(t, budget.Reserve())
	now = now.Add(12 * time.Second)
	assert.Assert(t, !budget.Spend())
	budget.RecordRequest()
	assert.Assert(t, budget.TryRetry())
}

// Guards against more retries than a window allows while requests and retries go on, and
// against less than half of them.
func TestSteadyRetriesStayWithinTheRatio(t *testing.T) {
	begun := time.Now()
	now := begun
	budget := budgeter.New(budgeter.Rule{Ratio: 0.2, WindowMillis: 10000}, 0, func() time.Time { return now })
	var retries []time.Time
	for now.Before(begun.Add(3 * window)) {
		now = now.Add(time.Millisecond)
		budget.RecordRequest()
		for budget.TryRetry() {
			retries = append(retries, now)
		}
	}
	for from := begun; !from.After(begun.Add(2 * window)); from = from.Add(window / 20) {
		count := within(retries, from)
		assert.Assert(t, count >= 1000 && count <= 2000, "%d retries for 10000 requests", count)
	}
}
