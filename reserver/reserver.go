// Package reserver decides which prompts get room at one engine. It counts granted prompts
// until they show in the shared load, and saves room for prompts that wait, in the order of
// their arrival.
package reserver

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// settleTime is the time after which a granted prompt shows in the load that the
	// instances tell each other.
	settleTime = 150 * time.Millisecond
	// claimLife is how long a claim lasts that is not renewed.
	claimLife = 300 * time.Millisecond
	// maxHold is how long room is saved for the first prompt in the queue: longer than the
	// prompts that run take to end. One that finds no room meanwhile, beside short
	// requests, would find none later.
	maxHold = 2 * time.Second
	// maxMillis bounds the times in a request: a day.
	maxMillis = 24 * 60 * 60 * 1000
)

// Answer is the answer to a request for room.
type Answer int

const (
	// Refused means that there is no room now. The prompt waits if it claims.
	Refused Answer = iota
	// Granted means that the prompt may be sent.
	Granted
	// Crowded means that the prompt does not wait here either: those before it have
	// waited too long.
	Crowded
)

// Request asks for room for a prompt.
type Request struct {
	// ID identifies the prompt.
	ID uint64
	// Tokens is the size of the prompt. The engine's running requests may hold LimitTokens
	// with it.
	Tokens, LimitTokens int
	// Priority is the rank of the prompt, 0 the most urgent.
	Priority int
	// Claims means that the prompt waits at this engine if it gets no room now.
	Claims bool
	// Ends means that the prompt waits at this engine no more, and asks for nothing.
	Ends bool
	// WaitedMillis is how long ago the prompt came.
	WaitedMillis int
	// QueueMillis is how long the prompts before this one may have waited if it is to wait
	// behind them, 0 for any time.
	QueueMillis int
}

// Validate returns an error if a number is out of range.
func (r Request) Validate() error {
	if r.Tokens < 0 || r.LimitTokens < 0 || r.Priority < 0 || r.WaitedMillis < 0 || r.QueueMillis < 0 {
		return eris.Errorf("request for room has a negative number: %d tokens, limit %d, priority %d, waited %d ms, queue %d ms", r.Tokens, r.LimitTokens, r.Priority, r.WaitedMillis, r.QueueMillis)
	}
	if r.WaitedMillis > maxMillis || r.QueueMillis > maxMillis {
		return eris.Errorf("request for room has a time above a day: waited %d ms, queue %d ms", r.WaitedMillis, r.QueueMillis)
	}
	return nil
}

// Reserver holds the granted room and the queue of one engine. It is immutable.
type Reserver struct {
	grants []grant
	// claims are in the order of their turns, ended those that ended in the last call.
	claims []claim
	ended  []End
}

// grant is room for one prompt, until settledAt.
type grant struct {
	tokens    int
	settledAt time.Time
}

// Take asks for room at an engine whose running requests hold usedTokens, as far as the
// instance knows.
func (r Reserver) Take(request Request, usedTokens int, now time.Time) (Reserver, Answer) {
	next := r.withoutExpired(now)
	if request.Ends {
		next.end(false, func(c claim) bool { return c.id == request.ID })
		return next, Refused
	}
	for _, granted := range next.grants {
		usedTokens += granted.tokens
	}
	asked := newClaim(request, now)
	if usedTokens+next.savedTokens(asked)+request.Tokens <= request.LimitTokens {
		next.end(true, func(c claim) bool { return c.id == request.ID })
		next.grants = append(next.grants, grant{tokens: request.Tokens, settledAt: now.Add(settleTime)})
		return next, Granted
	}
	if request.Claims && !next.join(asked, time.Duration(request.QueueMillis)*time.Millisecond, now) {
		return next, Crowded
	}
	return next, Refused
}

// Ended returns the claims that ended in the last call of Take.
func (r Reserver) Ended() []End { return r.ended }

// SettledAt returns when nothing is kept any more.
func (r Reserver) SettledAt() time.Time {
	var last time.Time
	for _, granted := range r.grants {
		last = later(last, granted.settledAt)
	}
	for _, waiting := range r.claims {
		last = later(last, waiting.expiresAt)
	}
	return last
}

// savedTokens returns the size of the prompts that go before the one asked for.
func (r Reserver) savedTokens(asked claim) int {
	for _, waiting := range r.claims {
		if waiting.id == asked.id {
			asked = waiting
		}
	}
	tokens := 0
	for _, waiting := range r.claims {
		if !waiting.stalled && waiting.before(asked) {
			tokens += waiting.tokens
		}
	}
	return tokens
}

// join adds a claim to the queue, or renews it. It returns false if a new one would have
// to wait behind others that have waited for more than bound, if that is not 0.
func (r *Reserver) join(asked claim, bound time.Duration, now time.Time) bool {
	for i := range r.claims {
		if r.claims[i].id == asked.id {
			r.claims[i].expiresAt = asked.expiresAt
			return true
		}
	}
	at := 0
	for at < len(r.claims) && !asked.before(r.claims[at]) {
		ahead := r.claims[at]
		if bound > 0 && !ahead.stalled && now.Sub(ahead.arrivedAt) > bound {
			return false
		}
		at++
	}
	r.claims = slices.Insert(r.claims, at, asked)
	return true
}

// withoutExpired returns a copy without what has expired at now.
func (r Reserver) withoutExpired(now time.Time) Reserver {
	next := Reserver{
		grants: slices.DeleteFunc(slices.Clone(r.grants), func(g grant) bool { return !now.Before(g.settledAt) }),
		claims: slices.Clone(r.claims),
	}
	next.end(false, func(c claim) bool { return !now.Before(c.expiresAt) })
	for i := range next.claims {
		first := &next.claims[i]
		if first.stalled {
			continue
		}
		if first.firstAt.IsZero() {
			first.firstAt = now
		}
		first.stalled = !now.Before(first.firstAt.Add(maxHold))
		if !first.stalled {
			break
		}
	}
	return next
}

// end removes the claims of which has is true.
func (r *Reserver) end(granted bool, has func(claim) bool) {
	for _, waiting := range r.claims {
		if has(waiting) {
			r.ended = append(r.ended, waiting.end(granted))
		}
	}
	r.claims = slices.DeleteFunc(r.claims, has)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
