// Package truster learns how far guesses about caches can be trusted.
package truster

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// Kind is the evidence that a guess rests on: the age class of a holder.
type Kind int

const (
	// ages is the number of age classes of a holder.
	ages    = 10
	ageUnit = 200 * time.Millisecond

	start  = 0.9
	least  = 0.3 // so that a kind can still prove itself
	weight = 0.02
)

// Holder returns the kind of a guess that rests on a holder noted age ago.
func Holder(age time.Duration) Kind {
	return Kind(min(bits.Len(uint(age/ageUnit)), ages-1))
}

// Trust holds the share of each kind's guesses that came true lately. It may
// be used by many goroutines at once.
type Trust struct {
	shares [ages]atomic.Uint64 // bits of a float64
}

// New returns a trust that holds what is usual.
func New() *Trust {
	t := &Trust{}
	for kind := range t.shares {
		t.shares[kind].Store(math.Float64bits(start))
	}
	return t
}

// Share returns the expected share of a guess of kind that comes true.
func (t *Trust) Share(kind Kind) float64 {
	return math.Float64frombits(t.shares[kind].Load())
}

// Learn takes in that a guess of kind came true by share, from 0 to 1. Of two
// that learn at the same moment one may be lost.
func (t *Trust) Learn(kind Kind, share float64) {
	old := t.Share(kind)
	t.shares[kind].Store(math.Float64bits(max(least, old+weight*(share-old))))
}
