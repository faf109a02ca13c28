// Package opener decides how many requests may wait for an answer at an endpoint that has
// just started or recovered. It answers the load of many instances that turn to such an
// endpoint at the same moment, since it looks idle: its queue overflows before the first
// answer shows how fast it is.
//
// The window begins small, doubles with each round of answers that come as predicted, and
// halves after answers that are late and after failures. It ends when the endpoint has
// answered a round as predicted in which nobody was turned away, or one as large as what it
// runs at once.
package opener

import (
	"slices"
	"time"
)

const (
	// firstRequests and firstTokens divide what an endpoint can take into what the first
	// window allows.
	firstRequests = 4
	firstTokens   = 8
)

// Outcome is how a request ended at the endpoint.
type Outcome int

const (
	// Unsent means that the request was not sent.
	Unsent Outcome = iota
	// Prompt means that the answer began about as fast as predicted.
	Prompt
	// Late means that the answer began much later than predicted.
	Late
	// Failed means that the endpoint refused the request or did not answer it.
	Failed
)

// Valid reports whether o is a known outcome.
func (o Outcome) Valid() bool { return o >= Unsent && o <= Failed }

// Size is a number of requests and of prompt tokens that they make the endpoint read.
type Size struct {
	Requests, Tokens int
}

// Change is what an outcome has changed.
type Change int

const (
	// Kept means that the window is as before.
	Kept Change = iota
	// Widened means that it has doubled.
	Widened
	// Narrowed means that it has halved.
	Narrowed
	// Ended means that the endpoint takes requests without a place.
	Ended
)

// Opener is the window of one endpoint. It is immutable.
type Opener struct {
	// full is what the endpoint can take, first the size of the first window. A size
	// without tokens does not bound them.
	full, first, window Size
	places              []place
	// answered counts the answers as predicted in this round, turnedAway means that a
	// request got no place in it.
	answered   int
	turnedAway bool
	// roundAt is when this round began, endedAt when the window ended, zero before.
	begunAt, roundAt, endedAt time.Time
	usedAt                    time.Time
}

// place is the right of one request to wait for an answer, until a deadline.
type place struct {
	id        uint64
	tokens    int
	grantedAt time.Time
	until     time.Time
}

// New returns the first window of an endpoint that can take full.
func New(full Size, now time.Time) Opener {
	full.Requests = max(1, full.Requests)
	first := Size{Requests: max(1, full.Requests/firstRequests), Tokens: full.Tokens / firstTokens}
	return Opener{full: full, first: first, window: first, begunAt: now, roundAt: now, usedAt: now}
}

// Ended reports whether the endpoint takes requests without a place.
func (o Opener) Ended() bool { return !o.endedAt.IsZero() }

// OpenedAfter returns how long the window lasted until it ended.
func (o Opener) OpenedAfter() time.Duration { return o.endedAt.Sub(o.begunAt) }

// UsedAt returns when the window was last used.
func (o Opener) UsedAt() time.Time { return o.usedAt }

// Size returns what the window allows.
func (o Opener) Size() Size { return o.window }

// WithPlace grants a place until a deadline to the request with an id that makes the
// endpoint read tokens, and reports whether it did. A request of any size gets a place if
// no other has one.
func (o Opener) WithPlace(id uint64, tokens int, until, now time.Time) (Opener, bool) {
	o.usedAt = now
	o = o.withoutExpired(now)
	if !o.hasPlace(tokens) {
		o.turnedAway = true
		return o, false
	}
	o.places = append(o.places, place{id: id, tokens: tokens, grantedAt: now, until: until})
	return o, true
}

// withoutExpired ends the places whose deadline is over: nobody has heard of an answer.
func (o Opener) withoutExpired(now time.Time) Opener {
	var left, expired []place
	for _, p := range o.places {
		if now.Before(p.until) {
			left = append(left, p)
		} else {
			expired = append(expired, p)
		}
	}
	o.places = left
	for _, p := range expired {
		o, _ = o.withTrouble(p, now)
	}
	return o
}

// hasPlace reports whether one more request fits into the window.
func (o Opener) hasPlace(tokens int) bool {
	if len(o.places) == 0 {
		return true
	}
	for _, p := range o.places {
		tokens += p.tokens
	}
	return len(o.places) < o.window.Requests && (o.window.Tokens == 0 || tokens <= o.window.Tokens)
}

// WithOutcome ends the place of the request with an id. The outcome of a request without
// one, or whose place has ended, changes nothing.
func (o Opener) WithOutcome(id uint64, outcome Outcome, now time.Time) (Opener, Change) {
	o.usedAt = now
	index := slices.IndexFunc(o.places, func(p place) bool { return p.id == id })
	if index < 0 {
		return o, Kept
	}
	ended := o.places[index]
	o.places = slices.Delete(slices.Clone(o.places), index, index+1)
	switch outcome {
	case Prompt:
		return o.withAnswer(now)
	case Late, Failed:
		return o.withTrouble(ended, now)
	default:
		return o, Kept
	}
}

// withAnswer counts an answer as predicted, the last one of a round doubles the window.
func (o Opener) withAnswer(now time.Time) (Opener, Change) {
	o.answered++
	if o.answered < o.window.Requests {
		return o, Kept
	}
	if !o.turnedAway || o.window.Requests >= o.full.Requests {
		o.endedAt, o.places = now, nil
		return o, Ended
	}
	return o.withWindow(Size{Requests: 2 * o.window.Requests, Tokens: 2 * o.window.Tokens}, now), Widened
}

// withTrouble halves the window unless the request was sent before the round began: those
// of one round halve it once.
func (o Opener) withTrouble(ended place, now time.Time) (Opener, Change) {
	if ended.grantedAt.Before(o.roundAt) {
		return o, Kept
	}
	half := Size{Requests: max(o.first.Requests, o.window.Requests/2), Tokens: max(o.first.Tokens, o.window.Tokens/2)}
	return o.withWindow(half, now), Narrowed
}

// withWindow begins a round with a window.
func (o Opener) withWindow(window Size, now time.Time) Opener {
	o.window, o.answered, o.turnedAway, o.roundAt = window, 0, false, now
	return o
}

// WithRecovery begins anew if the endpoint recovers since a time after the window ended.
func (o Opener) WithRecovery(since, now time.Time) (Opener, bool) {
	if !o.Ended() || !since.After(o.endedAt) {
		return o, false
	}
	return New(o.full, now), true
}
