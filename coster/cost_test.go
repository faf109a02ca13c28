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

const perByte = 2000 // nanoseconds

var start = time.Unix(1000, 0)

func tracks(holders *mapper.Map, count int) []*tracker.Track {
	list := make([]*tracker.Track, count)
	for i := range list {
		list[i] = tracker.New(worker.Endpoint{Name: fmt.Sprint("engine-", i)}, i%2 == 0)
		list[i].ApplyReport(reporter.Report{Incarnation: "one"}, start, holders.NewSlot)
	}
	return list
}

func query(chain hasher.Chain, list []*tracker.Track) chooser.Query {
	hashes := make([]uint64, len(list))
	for i, track := range list {
		hashes[i] = track.Hash
	}
	return chooser.Query{Order: permuter.New(hashes), Chain: chain, Now: start, Rand: rand.New(rand.NewPCG(1, 1)), PrefillNanosPerByte: perByte}
}

// A fresh instance, which knows nothing, chooses what the others choose.
func TestInstancesAgreeWithoutTalking(t *testing.T) {
	chain := hasher.New("w", "m", "v", string(make([]byte, 48000)), 4000)
	var chosen string
	for i := range 20 {
		holders := mapper.New(1<<20, start)
		list := tracks(holders, 40)
		q := query(chain, list)
		q.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		choice := coster.New(holders, calibrator.New()).Choose(q, list)
		if chosen == "" {
			chosen = choice.Track.Endpoint.Name
		}
		assert.Equal(t, choice.Track.Endpoint.Name, chosen)
	}
}

// The holder of the prefix is chosen, but not while it is closed or overrun,
// nor once it has restarted.
func TestHolderIsChosen(t *testing.T) {
	holders := mapper.New(1<<20, start)
	list := tracks(holders, 10)
	policy := coster.New(holders, calibrator.New())
	chain := hasher.New("w", "m", "v", string(make([]byte, 48000)), 4000)
	for _, level := range chain.Levels() {
		holders.Add(level, list[7].View().Slot, start)
	}
	assert.Equal(t, policy.Choose(query(chain, list), list).Track, list[7])
	other := hasher.New("other", "m", "v", string(make([]byte, 48000)), 4000)
	assert.Equal(t, policy.Choose(query(other, list), list).CachedLevels < 12, true, "another workspace's prefix is no holder")
	list[7].SetStopped(true)
	assert.Assert(t, policy.Choose(query(chain, list), list).Track != list[7])
	list[7].SetStopped(false)
	list[7].ApplyReport(reporter.Report{Incarnation: "one", Queue: 5_000_000}, start.Add(time.Millisecond), holders.NewSlot)
	assert.Assert(t, policy.Choose(query(chain, list), list).Track != list[7], "it is overrun")
	list[7].ApplyReport(reporter.Report{Incarnation: "two"}, start.Add(2*time.Millisecond), holders.NewSlot)
	assert.Assert(t, policy.Choose(query(chain, list), list).Reason != "holder")
}

// BenchmarkDecision gives the time of one decision by the number of workers
// and of known prefixes.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{20, 60, 180, 440, 880} {
		for _, prefixes := range []int{1000, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("workers=%d/prefixes=%d", workers, prefixes), func(b *testing.B) {
				holders := mapper.New(64<<20, start)
				list := tracks(holders, workers)
				random := rand.New(rand.NewPCG(1, 1))
				for i := range prefixes {
					holders.Add(uint64(i)*0x9e3779b97f4a7c15, list[i%workers].View().Slot, start)
				}
				policy := coster.New(holders, calibrator.New())
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
