package relayer

import (
	"time"

	"go.uber.org/zap"

	"wisteriadrum/monitor"
	"wisteriadrum/restrainer"
	"wisteriadrum/translator"
)

// Observe applies what an endpoint says of itself in the answer to a call that was made at
// sentAt, zero if unknown, and announces it to the other instances if it is new.
func (r *Relayer) Observe(endpoint *monitor.Monitor, answer translator.Answer, sentAt time.Time) {
	name := endpoint.Entry().Name
	if answer.Endpoint != "" && answer.Endpoint != name {
		return // another endpoint answers at this address
	}
	now := r.deps.Now()
	if answer.Leaving && !endpoint.Said().Leaving() {
		leaveBy := now.Add(time.Duration(r.deps.LastUseMillis) * time.Millisecond)
		endpoint.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithLeaving(leaveBy) })
		r.deps.Count.Add("endpoints", "leaving")
		r.deps.Log.Info("endpoint says that it leaves", zap.String("endpoint", name))
		r.deps.AnnounceSaid(endpoint, false)
	}
	if answer.WaitMillis > 0 {
		waitUntil := now.Add(time.Duration(answer.WaitMillis) * time.Millisecond)
		if endpoint.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithWait(waitUntil) }) {
			r.deps.Count.Add("endpoints", "waiting")
			r.deps.Log.Info("endpoint wants no requests", zap.String("endpoint", name), zap.Int("millis", answer.WaitMillis))
		}
	}
	r.observeLimit(endpoint, answer, sentAt, now)
}

// observeLimit applies the limit that an endpoint names, or its end.
func (r *Relayer) observeLimit(endpoint *monitor.Monitor, answer translator.Answer, sentAt, now time.Time) {
	_, wasLimited := endpoint.Said().Limit()
	changed := false
	switch {
	case answer.Limited:
		changed = endpoint.Hear(func(said restrainer.Restrainer) restrainer.Restrainer {
			return said.WithLimit(answer.LimitPerSecond, now)
		})
	case wasLimited && (answer.Sealed || answer.NotRun):
		changed = endpoint.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithoutLimit(sentAt) })
	}
	if !changed {
		return
	}
	r.deps.Count.Add("endpoints", "limit")
	r.deps.Log.Info("endpoint limits its requests", zap.String("endpoint", endpoint.Entry().Name), zap.Bool("limited", answer.Limited), zap.Float64("second", answer.LimitPerSecond))
	r.deps.AnnounceSaid(endpoint, !answer.Limited)
}
