package relayer

import (
	"math"
	"time"
)

// learnWhole learns from an answer that is not a stream. That of an engine does not show
// the time to its first token, and an error not the time that the work takes.
func (r *Relayer) learnWhole(a *attempt, status int) {
	if status >= 300 || a.request.Model != "" {
		a.endpoint.RecordAnswer(0, 0, r.deps.Now())
		return
	}
	r.learn(a)
}

// learn learns from the time that the answer took until now, without the waits that are not
// the endpoint's own work.
func (r *Relayer) learn(a *attempt) {
	now, choice := r.deps.Now(), a.choice
	elapsed := float64(now.Sub(a.sentAt)) / float64(time.Millisecond)
	r.deps.Count.Observe("predicted.permille", int64(1000*elapsed/max(choice.PredictedMillis, 1)))
	r.deps.Count.Observe("predicted.miss-millis", int64(math.Abs(elapsed-choice.PredictedMillis)))
	worked := max(0, elapsed-choice.FetchMillis-choice.MemoryWaitMillis)
	figures := r.deps.Registrar.AddAnswer(a.endpoint, choice.Work, worked, now)
	for name, micros := range figures.Micros() {
		r.deps.Count.Set("figures."+a.entry.Pool+"."+name, micros)
	}
}
