package elector_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/elector"
)

// Guards against a number of hubs that stays too low or too high after instances
// started and stopped in any order. Every instance receives the messages of all.
func TestHubsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var electors []*elector.Elector
		hub := map[*elector.Elector]bool{}
		round := func() {
			now = now.Add(100 * time.Millisecond)
			announced := maps.Clone(hub) // as of the previous round
			for rank, self := range electors {
				otherHubs, outranking := 0, 0
				for i, other := range electors {
					if other == self || !announced[other] {
						continue
					}
					otherHubs++
					if i < rank {
						outranking++
					}
				}
				hub[self] = self.Decide(otherHubs, outranking, now)
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			if len(electors) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(electors)-1).Draw(t, "which")
				delete(hub, electors[i])
				electors = append(electors[:i:i], electors[i+1:]...)
			} else {
				electors = append(electors, elector.New())
			}
			for range rapid.IntRange(0, 5).Draw(t, "rounds") {
				round()
			}
		}
		for range 30 {
			round()
		}
		count := 0
		for _, isHub := range hub {
			if isHub {
				count++
			}
		}
		assert.Equal(t, count, min(elector.HubsPerDataCentre, len(electors)))
	})
}

// Guards against instances that all become hubs at once because they wait for
// the same time when there is no hub.
func TestHubsStartAtRandomTimes(t *testing.T) {
	now, hubs := time.Unix(1000, 0), 0
	var electors []*elector.Elector
	for range 40 {
		electors = append(electors, elector.New())
	}
	for _, instance := range electors {
		if instance.Decide(0, 0, now) {
			hubs++
		}
	}
	assert.Equal(t, hubs, 0)
	for _, instance := range electors {
		if instance.Decide(0, 0, now.Add(60*time.Millisecond)) {
			hubs++
		}
	}
	assert.Assert(t, hubs < 30, "%d of 40 became hubs within a fifth of the wait", hubs)
}
