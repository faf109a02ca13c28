// Package comparer compares the answers of one endpoint with what the figures of its pool
// predict.
//
// It answers pools of endpoints of unequal speed, of which some are slow for less than a
// second at times, and of which one instance sees few answers. The logarithm of the ratio is
// the sum of a lasting deviation and a passing one. Both return to 0 without answers, the
// passing one within a second, and a Kalman filter finds them from the answers. One answer
// can be far off for another reason, such as cached parts that are lost, so it moves the
// ratio by a bounded step only.
package comparer

import (
	"math"
	"time"
)

const (
	// lastingTime and passingTime are the times after which the deviations have fallen to
	// 1/e without answers.
	lastingTime = 11 * time.Second
	passingTime = 400 * time.Millisecond
	// lastingVariance and passingVariance are their variances without answers.
	lastingVariance = 0.16
	passingVariance = 0.36
	// noise is the standard deviation of the logarithm of a long answer's time, and
	// noiseMillis that of the time, which matters for a short one.
	noise       = 0.3
	noiseMillis = 10.0
	// maxSurprise is the difference, in standard deviations, beyond which it counts less.
	maxSurprise = 0.8
)

// Comparer holds how the answers of an endpoint compare with the prediction. It is
// immutable; the zero value has seen no answers.
type Comparer struct {
	// lasting and passing are the estimates of the deviations.
	lasting, passing float64
	// lastingKnown and passingKnown are by how much the variances of the estimates are below
	// those without answers, and both is their covariance.
	lastingKnown, passingKnown, both float64
	// updatedAt is when these held, zero before the first answer.
	updatedAt time.Time
}

// New returns a comparer that has seen no answers.
func New() Comparer {
	return Comparer{}
}

// Ratio returns the expected ratio at now of the time of an answer to its prediction.
func (c Comparer) Ratio(now time.Time) float64 {
	c = c.advanced(now)
	return math.Exp(c.lasting + c.passing)
}

// WithAnswer returns a comparer that has also seen an answer at now, which took seen
// milliseconds and was predicted to take so many.
func (c Comparer) WithAnswer(seen, predicted float64, now time.Time) Comparer {
	if seen <= 0 || predicted <= 0 {
		return c
	}
	c = c.advanced(now)
	lasting, passing := lastingVariance-c.lastingKnown+c.both, passingVariance-c.passingKnown+c.both
	share := noiseMillis / predicted
	variance := lasting + passing + noise*noise + float64(share*share)
	surprise := math.Log(seen/predicted) - c.lasting - c.passing
	if bound := maxSurprise * math.Sqrt(variance); math.Abs(surprise) > bound {
		variance *= math.Abs(surprise) / bound
	}
	c.lasting += float64(lasting*surprise) / variance
	c.passing += float64(passing*surprise) / variance
	c.lastingKnown += float64(lasting*lasting) / variance
	c.passingKnown += float64(passing*passing) / variance
	c.both -= float64(lasting*passing) / variance
	return c
}

// advanced returns a comparer with what is still expected at now.
func (c Comparer) advanced(now time.Time) Comparer {
	if c.updatedAt.IsZero() {
		c.updatedAt = now
	}
	age := float64(max(0, now.Sub(c.updatedAt)))
	lasting, passing := math.Exp(-age/float64(lastingTime)), math.Exp(-age/float64(passingTime))
	c.lasting *= lasting
	c.passing *= passing
	c.lastingKnown *= lasting * lasting
	c.passingKnown *= passing * passing
	c.both *= lasting * passing
	c.updatedAt = c.updatedAt.Add(time.Duration(age))
	return c
}
