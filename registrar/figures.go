package registrar

import (
	"maps"
	"time"

	"wisteriadrum/estimator"
	"wisteriadrum/monitor"
)

// Figures returns how fast the endpoints of a pool answer.
func (r *Registrar) Figures(pool string) estimator.Estimator {
	return r.figures.Load()[pool]
}

// AddAnswer learns from an answer of an endpoint at now, for whose work it took so many
// milliseconds: the figures of its pool, which it returns, and then the endpoint's latency
// ratio to what they predict.
func (r *Registrar) AddAnswer(endpoint *monitor.Monitor, work estimator.Work, millis float64, now time.Time) estimator.Estimator {
	pool := endpoint.Entry().Pool
	var figures estimator.Estimator
	r.figures.Update(func(old map[string]estimator.Estimator) map[string]estimator.Estimator {
		next := maps.Clone(old)
		if next == nil {
			next = map[string]estimator.Estimator{}
		}
		figures = old[pool].WithAnswer(work, millis)
		next[pool] = figures
		return next
	})
	endpoint.RecordAnswer(millis, figures.Millis(work), now)
	return figures
}
