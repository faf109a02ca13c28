package elector_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/elector"
)

// Whoever starts and ends, some time after the last change there are as many
// hubs as there should be, if every instance hears every other.
func TestHubsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var all []*elector.Elector
		hub := map[*elector.Elector]bool{}
		round := func() {
			now = now.Add(100 * time.Millisecond)
			heard := maps.Clone(hub) // what was told in the round before
			for at, one := range all {
				others, before := 0, 0
				for i, other := range all {
					if other == one || !heard[other] {
						continue
					}
					others++
					if i < at {
						before++
					}
				}
				hub[one] = one.Decide(others, before, now)
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			if len(all) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				delete(hub, all[i])
				all = append(all[:i:i], all[i+1:]...)
			} else {
				all = append(all, elector.New())
			}
			for range rapid.IntRange(0, 5).Draw(t, "rounds") {
				round()
			}
		}
		for range 30 {
			round()
		}
		count := 0
		for _, speaks := range hub {
			if speaks {
				count++
			}
		}
		assert.Equal(t, count, min(elector.HubsPerDataCentre, len(all)))
	})
}

// Those who hear no hub wait for unequal times, so that not all speak at once.
func TestOneSpeaksFirst(t *testing.T) {
	now, first := time.Unix(1000, 0), 0
	var all []*elector.Elector
	for range 40 {
		all = append(all, elector.New())
	}
	for _, one := range all {
		if one.Decide(0, 0, now) {
			first++
		}
	}
	assert.Equal(t, first, 0)
	for _, one := range all {
		if one.Decide(0, 0, now.Add(60*time.Millisecond)) {
			first++
		}
	}
	assert.Assert(t, first < 30, "%d of 40 spoke within a fifth of the wait", first)
}
