// Package permuter precomputes the rendezvous order of endpoints for a fixed
// number of buckets, so that the first endpoints for a key are found without a
// scan. It follows the permutation-based hashing described in "Distributor for
// Active-Active, N+1 Amphorae Setup", section "Hybrid, Permutation-based
// approach".
package permuter

import (
	"sort"

	"wisteriadrum/ranker"
)

const (
	buckets = 1 << 12
	// maxStored is the number of endpoints stored for each bucket.
	maxStored = 8
)

// Order holds the first endpoints of the permutation of each bucket. It is
// immutable.
type Order struct {
	first  [][maxStored]uint16
	stored int // endpoints stored for each bucket
}

// New returns the order of the endpoints with the given hashes. It depends only
// on the hashes, and adding or removing an endpoint moves few keys.
func New(hashes []uint64) *Order {
	o := &Order{first: make([][maxStored]uint16, buckets), stored: min(len(hashes), maxStored)}
	ranks := make([]uint64, len(hashes))
	for bucket := range o.first {
		for i, hash := range hashes {
			ranks[i] = ranker.Rank(uint64(bucket), hash)
		}
		best := selectBest(ranks, o.stored)
		for i, index := range best {
			o.first[bucket][i] = uint16(index)
		}
	}
	return o
}

// First returns the indices of the first endpoints for key in rendezvous order.
// It returns nil if o is nil.
func (o *Order) First(key uint64) []uint16 {
	if o == nil {
		return nil
	}
	// Uses the high bits because the cache map indexes by the low ones.
	return o.first[key>>52][:o.stored]
}

// selectBest returns the indices of the limit highest ranks, highest first.
func selectBest(ranks []uint64, limit int) []int {
	best := make([]int, 0, limit+1)
	for index := range ranks {
		position := sort.Search(len(best), func(i int) bool { return ranks[best[i]] < ranks[index] })
		if position == limit {
			continue
		}
		best = append(best, 0)
		copy(best[position+1:], best[position:])
		best[position] = index
		best = best[:min(len(best), limit)]
	}
	return best
}
