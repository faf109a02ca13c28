// Package calibrator estimates the hit rate of cache map entries by their age.
package calibrator

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// AgeClass is a logarithmic class of the age of a cache map entry.
type AgeClass int

const (
	classes = 10
	ageUnit = 200 * time.Millisecond // upper bound of the first class

	initialHitRate = 0.9
	// minHitRate is above 0 so that entries of a class are still used and the
	// estimate can rise again.
	minHitRate = 0.3
	// updateWeight is the weight of one observation in the moving average.
	updateWeight = 0.02
)

// ClassOf returns the class of an entry that was added age ago.
func ClassOf(age time.Duration) AgeClass {
	return AgeClass(min(bits.Len(uint(age/ageUnit)), classes-1))
}

// Calibrator holds a moving average of the hit rate of each age class. It is
// safe for concurrent use.
type Calibrator struct {
	hitRates [classes]atomic.Uint64 // bits of a float64
}

// New returns a calibrator with an initial hit rate for all classes.
func New() *Calibrator {
	c := &Calibrator{}
	for class := range c.hitRates {
		c.hitRates[class].Store(math.Float64bits(initialHitRate))
	}
	return c
}

// HitRate returns the expected share, from 0 to 1, of a prefix that is still
// cached if its entry is of the given class.
func (c *Calibrator) HitRate(class AgeClass) float64 {
	return math.Float64frombits(c.hitRates[class].Load())
}

// Update adds an observation: the share, from 0 to 1, of a prefix that was
// cached. One of two concurrent updates may be lost.
func (c *Calibrator) Update(class AgeClass, share float64) {
	old := c.HitRate(class)
	c.hitRates[class].Store(math.Float64bits(max(minHitRate, old+updateWeight*(share-old))))
}
