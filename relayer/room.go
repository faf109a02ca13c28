package relayer

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/reserver"
)

// queuePart is the part of the latency target after which a prompt that waits keeps others
// from waiting behind it: they would hardly meet theirs, and their callers may return when
// fewer wait.
const queuePart = 2

// takeRoom asks for room at the chosen engine. Without, the request goes elsewhere.
func (r *Relayer) takeRoom(e *exchange) bool {
	claims := e.endpoint == e.claimed
	e.claimAsked = e.claimAsked || claims
	answer := r.askRoom(e, claims)
	if claims {
		e.queued = answer == reserver.Refused
	}
	if answer == reserver.Granted {
		return true
	}
	e.roomless = append(e.roomless, e.endpoint)
	e.choice.Full = true
	return false
}

// askRoom asks for room at the chosen engine, and to wait there if it claims.
func (r *Relayer) askRoom(e *exchange, claims bool) reserver.Answer {
	if e.roomID == 0 {
		e.roomID = rand.Uint64() | 1
	}
	e.roomAsks++
	return r.deps.TakeRoom(e.endpoint.Key, reserver.Request{
		ID: e.roomID, Tokens: e.request.PromptTokens, LimitTokens: e.choice.LimitTokens, Priority: e.request.Priority(), Claims: claims,
		WaitedMillis: int(r.deps.Now().Sub(e.request.ReceivedAt).Milliseconds()), QueueMillis: e.request.Route.TargetMillis / queuePart,
	})
}

// keepClaim lets the request wait at an engine unless the last choice led to the one at
// which it waits. It refuses the request if too many wait before it.
func (r *Relayer) keepClaim(e *exchange) *refuser.Refusal {
	if e.claimAsked {
		return nil
	}
	choice, endpoint, source := e.choice, e.endpoint, e.source
	answer := r.claim(e)
	if answer == reserver.Granted {
		return nil
	}
	crowded := e.endpoint
	e.choice, e.endpoint, e.source = choice, endpoint, source
	if answer == reserver.Refused {
		return nil
	}
	return refuser.New(refuser.Overloaded, judge.NotRun, "too many prompts wait at endpoint %s", crowded.Entry().Name).WithRetryAt(r.retryAt(e.request.Pool.Name, r.deps.Now()))
}

// claim chooses the engine at which the request waits for its turn, the best of a few, so
// that those who wait spread over the engines, and asks for room there.
func (r *Relayer) claim(e *exchange) reserver.Answer {
	r.endClaim(e)
	e.claimed, e.sampling = nil, true
	refusal := r.choose(e, false, r.deps.Now())
	e.sampling = false
	if refusal != nil {
		return reserver.Refused
	}
	if _, limited := e.endpoint.Said().Limit(); limited || e.choice.Held || e.choice.Unavailable {
		e.claimed = e.endpoint // asked when it may get the request
		return reserver.Refused
	}
	answer := r.askRoom(e, true)
	switch answer {
	case reserver.Granted:
		e.choice.Full = false
	case reserver.Refused:
		e.claimed, e.queued = e.endpoint, true
		e.claims++
	}
	return answer
}

// endClaim ends the wait at the claimed engine, so that no room is saved there any more.
func (r *Relayer) endClaim(e *exchange) {
	if !e.queued {
		return
	}
	e.queued = false
	go r.deps.EndClaim(e.claimed.Key, e.roomID)
}

// waitDeadline returns until when a request that came to wait at now waits for room: for
// half of its time at most, so that its caller has time to retry, and only while an engine
// could still begin to answer before the caller leaves.
func (r *Relayer) waitDeadline(e *exchange, now time.Time) time.Time {
	half := now.Add(e.deadline.Sub(now) / 2)
	leavesAt, known := e.request.Route.PatienceDeadline(e.request.ReceivedAt)
	if !known || e.answer.Begun() {
		return half
	}
	idleMillis := r.deps.Registrar.Figures(e.request.Pool.Name).IdleMillis(e.request.PromptTokens)
	startBy := leavesAt.Add(-time.Duration(idleMillis) * time.Millisecond)
	if startBy.Before(half) {
		return startBy
	}
	return half
}
