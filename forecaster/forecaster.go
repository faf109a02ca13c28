// Package forecaster predicts when a request is sent that waits because no endpoint takes
// one now.
package forecaster

import (
	"slices"
	"time"
)

// maxAhead bounds the requests ahead that are counted one by one.
const maxAhead = 1000

// Forecaster holds when endpoints take requests again.
type Forecaster struct {
	openings []opening
}

// opening is when one endpoint takes the next request, and the pause until each one after
// it, 0 if it takes any number from then on.
type opening struct {
	at    time.Time
	pause time.Duration
}

// New returns a forecaster without endpoints.
func New() Forecaster { return Forecaster{} }

// WithOpening returns a forecaster with one more endpoint, which takes requests from a time
// on: perSecond of them, or any number if that is 0.
func (f Forecaster) WithOpening(at time.Time, perSecond float64) Forecaster {
	next := opening{at: at}
	if perSecond > 0 {
		next.pause = time.Duration(float64(time.Second) / perSecond)
	}
	f.openings = append(slices.Clip(f.openings), next)
	return f
}

// When returns when a request is sent with so many ahead of it, and false if no endpoint
// takes requests again.
func (f Forecaster) When(ahead int) (time.Time, bool) {
	if len(f.openings) == 0 {
		return time.Time{}, false
	}
	openings := slices.Clone(f.openings)
	byTime := func(a, b opening) int { return a.at.Compare(b.at) }
	for range min(ahead, maxAhead) {
		next := slices.MinFunc(openings, byTime)
		index := slices.Index(openings, next)
		openings[index].at = next.at.Add(next.pause)
	}
	return slices.MinFunc(openings, byTime).at, true
}
