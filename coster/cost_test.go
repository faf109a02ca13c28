package coster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/calibrator"
	"wisteriadrum/chooser"
	"wisteriadrum/coster"
	"wisteriadrum/hasher"
	"wisteriadrum/mapper"
	"wisteriadrum/permuter"
	"wisteriadrum/reporter"
	"wisteriadrum/tracker"
	"wisteriadrum/worker"
)

const prefillNanosPerByte = 2000

var startTime = time.Unix(1000, 0)

func tracks(cacheMap *mapper.Map, count int) []*tracker.Track {
	list := make([]*tracker.Track, count)
	for i := range list {
		list[i] = tracker.New(worker.Endpoint{Name: fmt.Sprint("engine-", i)}, i%2 == 0)
		list[i].ApplyReport(reporter.Report{Incarnation: "one"}, startTime, cacheMap.NewSlot)
	}
	return list
}

func query(chain hasher.Chain, list []*tracker.Track) chooser.Query {
	hashes := make([]uint64, len(list))
	for i, track := range list {
		hashes[i] = track.Hash
	}
	return chooser.Query{Order: permuter.New(hashes), Chain: chain, Now: startTime, Rand: rand.New(rand.NewPCG(1, 1)), PrefillNanosPerByte: prefillNanosPerByte}
}

// Instances with empty cache maps must choose the same endpoint for a prompt,
// whatever their random seeds are. Otherwise each computes the prefix at
// another endpoint.
func TestInstancesAgreeWithoutTalking(t *testing.T) {
	chain := hasher.New("w", "m", "v", string(make([]byte, 48000)), 4000)
	var chosen string
	for i := range 20 {
		cacheMap := mapper.New(1<<20, startTime)
		list := tracks(cacheMap, 40)
		q := query(chain, list)
		q.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		choice := coster.New(cacheMap, calibrator.New()).Choose(q, list)
		if chosen == "" {
			chosen = choice.Track.Endpoint.Name
		}
		assert.Equal(t, choice.Track.Endpoint.Name, chosen)
	}
}

// The holder of the prefix must be chosen, except while it is stopped or
// overloaded and after a restart, which empties its cache.
func TestHolderIsChosen(t *testing.T) {
	cacheMap := mapper.New(1<<20, startTime)
	list := tracks(cacheMap, 10)
	policy := coster.New(cacheMap, calibrator.New())
	chain := hasher.New("w", "m", "v", string(make([]byte, 48000)), 4000)
	for _, level := range chain.Levels() {
		cacheMap.Add(level, list[7].View().Slot, startTime)
	}
	assert.Equal(t, policy.Choose(query(chain, list), list).Track, list[7])
	other := hasher.New("other", "m", "v", string(make([]byte, 48000)), 4000)
	assert.Equal(t, policy.Choose(query(other, list), list).CachedLevels < 12, true, "the prefix of another workspace does not match")
	list[7].SetStopped(true)
	assert.Assert(t, policy.Choose(query(chain, list), list).Track != list[7])
	list[7].SetStopped(false)
	list[7].ApplyReport(reporter.Report{Incarnation: "one", Queue: 5_000_000}, startTime.Add(time.Millisecond), cacheMap.NewSlot)
	assert.Assert(t, policy.Choose(query(chain, list), list).Track != list[7], "the holder is overloaded")
	list[7].ApplyReport(reporter.Report{Incarnation: "two"}, startTime.Add(2*time.Millisecond), cacheMap.NewSlot)
	assert.Assert(t, policy.Choose(query(chain, list), list).Reason != "holder")
}

// BenchmarkDecision measures the time of one decision by the number of
// endpoints and of known prefixes.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{20, 60, 180, 440, 880} {
		for _, prefixes := range []int{1000, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("workers=%d/prefixes=%d", endpoints, prefixes), func(b *testing.B) {
				cacheMap := mapper.New(64<<20, startTime)
				list := tracks(cacheMap, endpoints)
				random := rand.New(rand.NewPCG(1, 1))
				for i := range prefixes {
					cacheMap.Add(uint64(i)*0x9e3779b97f4a7c15, list[i%endpoints].View().Slot, startTime)
				}
				policy := coster.New(cacheMap, calibrator.New())
				q := query(hasher.Chain{}, list)
				q.Rand = random
				b.ReportAllocs()
				for b.Loop() {
					levels := make([]uint64, 12)
					for i := range levels {
						levels[i] = random.Uint64N(uint64(prefixes)) * 0x9e3779b97f4a7c15
					}
					q.Chain = hasher.FromLevels(levels, 4000, 48400)
					policy.Choose(q, list)
				}
			})
		}
	}
}
