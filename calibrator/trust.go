// Package calibrator learns how far guesses about caches can be trusted.
package calibrator

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// AgeClass is the evidence that a guess rests on: the age class of a holder.
type AgeClass int

const (
	// ages is the number of age classes of a holder.
	ages    = 10
	ageUnit = 200 * time.Millisecond

	start  = 0.9
	least  = 0.3 // so that a kind can still prove itself
	weight = 0.02
)

// ClassOf returns the kind of a guess that rests on a holder noted age ago.
func ClassOf(age time.Duration) AgeClass {
	return AgeClass(min(bits.Len(uint(age/ageUnit)), ages-1))
}

// Calibrator holds the share of each kind's guesses that came true lately. It may
// be used by many goroutines at once.
type Calibrator struct {
	shares [ages]atomic.Uint64 // bits of a float64
}

// New returns a trust that holds what is usual.
func New() *Calibrator {
	t := &Calibrator{}
	for kind := range t.shares {
		t.shares[kind].Store(math.Float64bits(start))
	}
	return t
}

// HitRate returns the expected share of a guess of kind that comes true.
func (t *Calibrator) HitRate(kind AgeClass) float64 {
	return math.Float64frombits(t.shares[kind].Load())
}

// Update takes in that a guess of kind came true by share, from 0 to 1. Of two
// that learn at the same moment one may be lost.
func (t *Calibrator) Update(kind AgeClass, share float64) {
	old := t.HitRate(kind)
	t.shares[kind].Store(math.Float64bits(max(least, old+weight*(share-old))))
}
