package relayer

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/judge"
	"wisteriadrum/opener"
	"wisteriadrum/placer"
	"wisteriadrum/refuser"
	"wisteriadrum/throttler"
)

const (
	// maxPlaceAsks limits at how many endpoints a request asks for a place before it goes
	// to one that needs none.
	maxPlaceAsks = 2
	// lateFactor is the ratio of measured to predicted time above which an answer is late
	// that does not begin in half the latency target either.
	lateFactor = 2
)

// place is the right to wait for an answer at an endpoint that has just started or
// recovered.
type place struct {
	key, id uint64
	// lateAt is when the answer is late.
	lateAt time.Time
}

// pace lifts the need of a place at the candidates that have just started or recovered if
// they are most of those that work: holding requests back from them would keep the rest
// busier than they are.
func pace(candidates []placer.Candidate) {
	paced, usable := 0, 0
	for _, candidate := range candidates {
		view := candidate.View
		if view.Left || view.InBackoff || view.Loading {
			continue
		}
		usable++
		if view.Paced {
			paced++
		}
	}
	if 2*paced <= usable {
		return
	}
	for i := range candidates {
		candidates[i].View.Paced, candidates[i].Closed = false, false
	}
}

// takePlace asks for a place at the chosen endpoint if it has just started or recovered, and
// reports whether it may get the request. One without a place left gets it if no other
// endpoint would serve it.
func (r *Relayer) takePlace(e *exchange) bool {
	if !e.choice.Paced || e.answer.Begun() {
		return true
	}
	if e.choice.Closed {
		r.deps.Count.Add("pace", "forced")
		return true
	}
	now := r.deps.Now()
	lateAt := now.Add(lateAfter(e))
	id := rand.Uint64()
	switch r.deps.TakePlace(r.placeAsk(e, id, lateAt, now)) {
	case throttler.Open:
		e.endpoint.RecordOpen(now)
		return true
	case throttler.Granted:
		e.endpoint.RecordPlace(true, now)
		e.place = &place{key: e.endpoint.Key, id: id, lateAt: lateAt}
		return true
	default:
		e.endpoint.RecordPlace(false, r.deps.Now())
		e.placeAsks++
		return false
	}
}

// placeAsk returns the request for a place that ends some time after the answer is late.
func (r *Relayer) placeAsk(e *exchange, id uint64, lateAt, now time.Time) throttler.Ask {
	full := opener.Size{Requests: e.endpoint.Entry().Slots}
	if engine := e.request.Pool.Engine; engine != nil {
		full = opener.Size{Requests: engine.Slots, Tokens: engine.CapacityTokens}
	}
	ask := throttler.Ask{Key: e.endpoint.Key, ID: id, Full: full, Tokens: e.choice.PrefillTokens, LeftMillis: 2 * lateAt.Sub(now).Milliseconds()}
	if recoveredAt := e.endpoint.RecoveredAt(); !recoveredAt.IsZero() {
		ask.RecoveredMillis = max(1, now.Sub(recoveredAt).Milliseconds())
	}
	return ask
}

// lateAfter returns after how long an answer is late.
func lateAfter(e *exchange) time.Duration {
	predicted := time.Duration(lateFactor*e.choice.PredictedMillis) * time.Millisecond
	return max(predicted, time.Duration(e.request.Route.TargetMillis)*time.Millisecond/2)
}

// endPlace ends the place of the request if it has one.
func (r *Relayer) endPlace(e *exchange, outcome opener.Outcome) {
	if e.place == nil {
		return
	}
	go r.deps.EndPlace(e.place.key, e.place.id, outcome)
	e.place = nil
}

// outcome returns the outcome of an answer that begins at now.
func (a *attempt) outcome(now time.Time) opener.Outcome {
	if a.place != nil && now.After(a.place.lateAt) {
		return opener.Late
	}
	return opener.Prompt
}

// failedOutcome returns the outcome of an attempt that has ended without an answer.
func failedOutcome(refusal *refuser.Refusal) opener.Outcome {
	switch {
	case refusal == nil:
		return opener.Prompt // the endpoint found the request at fault
	case refusal == budgetRefusal, refusal.Code == refuser.CallerGone, refusal.Code == refuser.WrongWeights, refusal.Code == refuser.AnswerLost && refusal.Ran == judge.MayHaveRun:
		return opener.Unsent
	default:
		return opener.Failed
	}
}
