package relayer

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/reserver"
)

// takeRoom asks for room at the chosen engine. Without, the request goes elsewhere.
func (r *Relayer) takeRoom(e *exchange) bool {
	if e.roomID == 0 {
		e.roomID = rand.Uint64() | 1
	}
	request := reserver.Request{
		ID: e.roomID, Tokens: e.request.PromptTokens, LimitTokens: e.choice.LimitTokens,
		Priority: e.request.Priority(), Claims: e.endpoint == e.claimed,
	}
	e.claimAsked = e.claimAsked || request.Claims
	e.roomAsks++
	if r.deps.TakeRoom(e.endpoint.Key, request) {
		return true
	}
	e.roomless = append(e.roomless, e.endpoint)
	e.choice.Full = true
	return false
}

// keepClaim chooses an engine to wait at unless the last choice led to the one that the
// request waits at.
func (r *Relayer) keepClaim(e *exchange) {
	if !e.claimAsked {
		r.claim(e, r.deps.Now())
	}
}

// claim chooses the engine at which the request waits for its turn: the best of a few, so
// that those who wait spread over the engines.
func (r *Relayer) claim(e *exchange, now time.Time) {
	choice, endpoint, source := e.choice, e.endpoint, e.source
	e.claimed, e.sampling = nil, true
	if r.choose(e, false, now) == nil {
		e.claimed = e.endpoint
		e.claims++
	}
	e.sampling = false
	e.choice, e.endpoint, e.source = choice, endpoint, source
}
