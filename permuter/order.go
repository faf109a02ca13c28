// Package permuter keeps endpoints in rendezvous order for a fixed number of
// buckets, so that finding the first ones for a key takes no scan. It follows
// the permutation-based hashing described in "Distributor for Active-Active,
// N+1 Amphorae Setup", section "Hybrid, Permutation-based approach".
package permuter

import (
	"sort"

	"wisteriadrum/ranker"
)

const (
	buckets = 1 << 12
	// kept is the length of the beginning of each permutation that is kept.
	kept = 8
)

// Order is the beginnings of the permutations. It is never modified.
type Order struct {
	firsts [][kept]uint16
	size   int
}

// New returns the order of endpoints, given by their hashes. It depends on the
// hashes alone, and a change of one endpoint moves few keys.
func New(hashes []uint64) *Order {
	o := &Order{firsts: make([][kept]uint16, buckets), size: min(len(hashes), kept)}
	ranks := make([]uint64, len(hashes))
	for bucket := range o.firsts {
		for i, hash := range hashes {
			ranks[i] = ranker.Rank(uint64(bucket), hash)
		}
		best := selectBest(ranks, o.size)
		for i, place := range best {
			o.firsts[bucket][i] = uint16(place)
		}
	}
	return o
}

// First returns the places of the first endpoints for key, the best first. An
// order that is nil has none.
func (o *Order) First(key uint64) []uint16 {
	if o == nil {
		return nil
	}
	// The high bits: the cache map uses the low ones.
	return o.firsts[key>>52][:o.size]
}

// selectBest returns the places of the highest ranks in order.
func selectBest(ranks []uint64, most int) []int {
	best := make([]int, 0, most+1)
	for place := range ranks {
		at := sort.Search(len(best), func(i int) bool { return ranks[best[i]] < ranks[place] })
		if at == most {
			continue
		}
		best = append(best, 0)
		copy(best[at+1:], best[at:])
		best[at] = place
		best = best[:min(len(best), most)]
	}
	return best
}
