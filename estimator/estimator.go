// Package estimator learns how fast the endpoints of a pool answer, from the times that
// answers took and the work that was ahead of them.
//
// It answers loads in which requests of very different sizes meet at the same endpoints:
// what a request adds to the wait of the next one must be known in time, not in tokens. The
// prediction is a sum of a few terms, each with a figure that starts at a value common to
// all pools and is fitted by recursive least squares. Answers that differ from the
// prediction by much more than usual, for example since cached parts were lost, count only
// as far as the usual difference.
package estimator

import (
	"iter"
	"math"
)

// The terms of a prediction.
const (
	// first is the time to first token of a short prompt on an idle engine.
	first = iota
	// own is the prefill of the request itself, queued that of the requests before it.
	own
	queued
	// running is the delay that each running request adds to the others.
	running
	// slot is the wait for a slot in a full batch, for each request ahead.
	slot
	// service is the time of a plain service, for each request in its turn.
	service
	terms
)

// initial are the figures without answers, in milliseconds for each unit of a term: one
// answer, 1,000 tokens, or one request.
var initial = [terms]float64{first: 30, own: 20, queued: 20, running: 0.6, slot: 25, service: 20}

const (
	tokensPerUnit = 1000.0
	// maxFactor bounds by how much a figure differs from its initial value, either way.
	maxFactor = 10.0
	// spread is the standard deviation of figures without answers, relative to their
	// initial values.
	spread = 1.5
	// noiseShare and noiseMillis are the standard deviation of answers: a share of the
	// prediction, and a constant part.
	noiseShare  = 0.3
	noiseMillis = 5.0
	// maxDeviations bounds how many standard deviations of a difference count.
	maxDeviations = 0.8
	// forgetting is the share of the initial uncertainty that each answer adds, so that
	// figures follow an engine whose speed changes.
	forgetting = 0.0002
)

// Work is what an endpoint does before it answers a request.
type Work struct {
	// PromptTokens is the part of the request's prompt that is prefilled, QueuedTokens that
	// of the requests before it.
	PromptTokens, QueuedTokens int
	// Requests is the number of other requests at the endpoint.
	Requests int
	// Slots is how many requests it runs at the same time.
	Slots int
	// Plain means that the endpoint is a plain service and not an engine.
	Plain bool
}

// Estimator holds the figures of a pool. It is immutable; the zero value has the initial
// figures.
type Estimator struct {
	learned bool
	// change is the difference of each figure from its initial value, relative to that.
	change [terms]float64
	// covariance is the uncertainty of change.
	covariance [terms][terms]float64
}

// New returns an estimator with the initial figures.
func New() Estimator {
	return Estimator{}
}

// Millis returns the predicted time to first token in milliseconds, or that of the whole
// answer of a plain service.
func (e Estimator) Millis(work Work) float64 {
	millis := 0.0
	for term, amount := range amounts(work) {
		millis += float64(amount * e.figure(term))
	}
	return millis
}

// IdleMillis returns the predicted time in milliseconds in which an idle engine begins to
// answer a prompt of which it caches nothing.
func (e Estimator) IdleMillis(promptTokens int) float64 {
	return e.Millis(Work{PromptTokens: promptTokens, Slots: 1})
}

// PrefillMillis returns the predicted time in milliseconds to prefill tokens of a prompt.
func (e Estimator) PrefillMillis(tokens int) float64 {
	return float64(tokens) / tokensPerUnit * e.figure(own)
}

// figure returns the milliseconds for each unit of a term.
func (e Estimator) figure(term int) float64 {
	return initial[term] * (1 + e.change[term])
}

// WithAnswer returns an estimator that has learned from the time in milliseconds that an
// answer took.
func (e Estimator) WithAnswer(work Work, millis float64) Estimator {
	if !e.learned {
		e.learned = true
		for term := range terms {
			e.covariance[term][term] = spread * spread
		}
	}
	var scaled, gain [terms]float64
	for term, amount := range amounts(work) {
		scaled[term] = amount * initial[term]
	}
	predicted := e.Millis(work)
	noise := noiseMillis + float64(noiseShare*predicted)
	variance := float64(noise * noise)
	for i := range terms {
		e.covariance[i][i] += float64(forgetting * max(0, spread*spread-e.covariance[i][i]))
		for j := range terms {
			gain[i] += float64(e.covariance[i][j] * scaled[j])
		}
		variance += float64(gain[i] * scaled[i])
	}
	bound := maxDeviations * math.Sqrt(variance)
	difference := min(max(millis-predicted, -bound), bound)
	for i := range terms {
		changed := e.change[i] + float64(gain[i]*difference)/variance
		e.change[i] = min(max(changed, 1/maxFactor-1), maxFactor-1)
		for j := range terms {
			e.covariance[i][j] -= float64(gain[i]*gain[j]) / variance
		}
	}
	return e
}

// amounts returns the units of each term in the work.
func amounts(work Work) [terms]float64 {
	over := float64(max(0, work.Requests+1-work.Slots))
	if work.Plain {
		return [terms]float64{service: 1 + over}
	}
	return [terms]float64{
		first:   1,
		own:     float64(work.PromptTokens) / tokensPerUnit,
		queued:  float64(work.QueuedTokens) / tokensPerUnit,
		running: float64(work.Requests),
		slot:    over,
	}
}

// names are those of the terms in metrics.
var names = [terms]string{first: "first", own: "own", queued: "queued", running: "running", slot: "slot", service: "service"}

// Micros iterates over the figures by name: the microseconds for each unit of a term.
func (e Estimator) Micros() iter.Seq2[string, int] {
	return func(yield func(string, int) bool) {
		for term, name := range names {
			if !yield(name, int(e.figure(term)*1000)) {
				return
			}
		}
	}
}
