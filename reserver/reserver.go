// Package reserver decides which prompts get room at one engine. The instance that decides
// for an engine grants room for prompts whose load the others do not tell yet, and keeps
// the turn of prompts that wait.
package reserver

import (
	"cmp"
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
	// maxHold is how long a prompt that is due holds others back. One that finds no room
	// meanwhile, beside short requests, is overtaken again.
	maxHold = time.Second
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
}

// Validate returns an error if a number is out of range.
func (r Request) Validate() error {
	if r.Tokens < 0 || r.LimitTokens < 0 || r.Priority < 0 {
		return eris.Errorf("request for room has a negative number: %d tokens, limit %d, priority %d", r.Tokens, r.LimitTokens, r.Priority)
	}
	return nil
}

// Reserver holds the granted room and the claims of one engine. It is immutable.
type Reserver struct {
	grants []grant
	// claims are in the order of their turns, ended those that ended in the last call.
	claims []claim
	ended  []End
}

// End describes a claim that has ended.
type End struct {
	Tokens, Priority int
	// ClaimedAt is when the prompt began to wait, DueAt when it was due first, zero if it
	// never was. Holds is how often it held others back.
	ClaimedAt, DueAt time.Time
	Holds            int
	// Granted reports that the prompt got room; otherwise its claim was not renewed.
	Granted bool
}

// grant is room for one prompt, until settledAt.
type grant struct {
	tokens    int
	settledAt time.Time
}

// claim is the turn of a prompt that waits.
type claim struct {
	id        uint64
	tokens    int
	priority  int
	claimedAt time.Time
	expiresAt time.Time
	// overtakenTokens is the size of the later prompts that got room since.
	overtakenTokens int
	// heldUntil is until when it holds others back once it is due.
	heldUntil time.Time
	dueAt     time.Time
	holds     int
}

// end returns the description of the claim after its end.
func (c claim) end(granted bool) End {
	return End{Tokens: c.tokens, Priority: c.priority, ClaimedAt: c.claimedAt, DueAt: c.dueAt, Holds: c.holds, Granted: granted}
}

// due reports whether the prompt may not be overtaken any more: after later ones of its
// own size.
func (c claim) due() bool { return c.overtakenTokens >= c.tokens }

// overtake counts a prompt that got room before the one that waits.
func (c *claim) overtake(tokens int, now time.Time) {
	wasDue := c.due()
	c.overtakenTokens += tokens
	if c.due() && !wasDue {
		c.heldUntil = now.Add(maxHold)
		c.holds++
		if c.dueAt.IsZero() {
			c.dueAt = now
		}
	}
}

// Take asks for room at an engine whose running requests hold usedTokens, as far as the
// instance knows, and returns whether there is room now.
func (r Reserver) Take(request Request, usedTokens int, now time.Time) (Reserver, bool) {
	next := r.withoutExpired(now)
	for _, granted := range next.grants {
		usedTokens += granted.tokens
	}
	if !next.hasRoom(request, usedTokens) {
		if request.Claims {
			next.claim(request, now)
		}
		return next, false
	}
	next.end(true, func(c claim) bool { return c.id == request.ID })
	for i := range next.claims {
		next.claims[i].overtake(request.Tokens, now)
	}
	next.grants = append(next.grants, grant{tokens: request.Tokens, settledAt: now.Add(settleTime)})
	return next, true
}

// Ended returns the claims that ended in the last call of Take.
func (r Reserver) Ended() []End { return r.ended }

// end removes the claims of which has is true.
func (r *Reserver) end(granted bool, has func(claim) bool) {
	for _, waiting := range r.claims {
		if has(waiting) {
			r.ended = append(r.ended, waiting.end(granted))
		}
	}
	r.claims = slices.DeleteFunc(r.claims, has)
}

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

// hasRoom reports whether the request has room, besides the prompts that are due before it.
func (r Reserver) hasRoom(request Request, usedTokens int) bool {
	for _, waiting := range r.claims {
		if waiting.id == request.ID {
			break
		}
		if waiting.due() && waiting.priority <= request.Priority {
			usedTokens += waiting.tokens
		}
	}
	return usedTokens+request.Tokens <= request.LimitTokens
}

// claim adds the claim of a request, or renews it.
func (r *Reserver) claim(request Request, now time.Time) {
	expiresAt := now.Add(claimLife)
	for i := range r.claims {
		if r.claims[i].id == request.ID {
			r.claims[i].expiresAt = expiresAt
			return
		}
	}
	added := claim{id: request.ID, tokens: request.Tokens, priority: request.Priority, claimedAt: now, expiresAt: expiresAt}
	at, _ := slices.BinarySearchFunc(r.claims, added.priority+1, func(c claim, priority int) int { return cmp.Compare(c.priority, priority) })
	r.claims = slices.Insert(r.claims, at, added)
}

// withoutExpired returns a copy without what has expired at now.
func (r Reserver) withoutExpired(now time.Time) Reserver {
	next := Reserver{
		grants: slices.DeleteFunc(slices.Clone(r.grants), func(g grant) bool { return !now.Before(g.settledAt) }),
		claims: slices.Clone(r.claims),
	}
	next.end(false, func(c claim) bool { return !now.Before(c.expiresAt) })
	for i := range next.claims {
		if waiting := &next.claims[i]; waiting.due() && !now.Before(waiting.heldUntil) {
			waiting.overtakenTokens = 0
		}
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
