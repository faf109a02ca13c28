package rationer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/rationer"
)

var start = time.Unix(1000, 0)

// Guards against more requests in some 4 s than the endpoint takes and a burst, and
// against a wait that is too short, at any times and rates.
func TestNoMoreThanTheEndpointTakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		ration := rationer.New(perSecond, start)
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "millis")) * time.Millisecond)
			next, granted, retryAt := ration.Take(now)
			ration = next
			if granted {
				sent = append(sent, now)
			} else {
				assert.Assert(t, retryAt.After(now))
			}
		}
		for i, first := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Before(first.Add(4 * time.Second)) {
					count++
				}
			}
			assert.Assert(t, float64(count) <= 4*perSecond+max(1, perSecond)+1, "%d requests in 4 s at %f a second", count, perSecond)
		}
	})
}

// Guards against permits that nobody gets although instances ask for them as told.
func TestRationIsUsed(t *testing.T) {
	const instances, perSecond, seconds = 50, 5, 20
	ration := rationer.New(perSecond, start)
	askAt := make([]time.Time, instances)
	granted := 0
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(5 * time.Millisecond) {
		for i := range askAt {
			if now.Before(askAt[i]) {
				continue
			}
			next, ok, retryAt := ration.Take(now)
			ration, askAt[i] = next, retryAt
			if ok {
				granted++
			}
		}
	}
	assert.Assert(t, granted >= perSecond*seconds*9/10, "%d of %d permits", granted, perSecond*seconds)
}

// Guards against calls that do not count, a rate that changes at once for the past, and an
// endpoint that takes nothing and is never asked again.
func TestRates(t *testing.T) {
	ration, granted, _ := rationer.New(2, start).WithCall(start).Take(start)
	assert.Assert(t, !granted)
	_, granted, retryAt := ration.Take(start)
	assert.Assert(t, !granted)
	assert.Equal(t, retryAt, start.Add(time.Second), "the second one returns half a second after the first")
	_, granted, _ = ration.Take(start.Add(500 * time.Millisecond))
	assert.Assert(t, granted)
	ration = rationer.New(100, start).WithRate(100, start.Add(time.Minute)).WithRate(1, start.Add(time.Minute))
	ration, granted, _ = ration.Take(start.Add(time.Minute))
	assert.Assert(t, granted)
	_, granted, _ = ration.Take(start.Add(time.Minute))
	assert.Assert(t, !granted, "requests saved up at a higher rate are not sent")
	nothing, granted, _ := rationer.New(0, start).Take(start)
	assert.Assert(t, granted)
	_, granted, retryAt = nothing.Take(start)
	assert.Assert(t, !granted)
	assert.Equal(t, retryAt, start.Add(5*time.Second))
}
