// Package redistributor passes on the tokens of a rate limit that some instances have left
// to those that need more, at the instance to which all offer them. It answers the load of
// a workspace above its limit: the tokens go to the more urgent requests first, large ones
// are not starved by small ones, and less urgent ones keep a part.
package redistributor

import (
	"cmp"
	"slices"
	"time"

	"wisteriadrum/refiller"
)

const (
	// MinLife is the shortest time for which tokens are granted: enough for an answer to
	// arrive and the request to be sent.
	MinLife = 150 * time.Millisecond
	// extraFactor is how many times what is granted ahead must be left.
	extraFactor = 2
	// lowerPart is the part of the offers for less urgent requests while more urgent ones
	// are refused.
	lowerPart = 0.5
	// heldPart is the part of the offers that is held back for a large request at most.
	heldPart = 0.5
	// claimLife is how long after its time to return a refused request has precedence.
	claimLife = 300 * time.Millisecond
	// shortLife is how long after a refusal tokens count as short.
	shortLife = time.Second
	// flowInterval is the interval over which offers are summed.
	flowInterval = time.Second
	minWait      = 50 * time.Millisecond
	maxWait      = 4 * time.Second
	// unknownWait is the time to return while nothing is offered.
	unknownWait = 500 * time.Millisecond
	// maxTurnWait bounds the time over which refused callers return one after the other.
	maxTurnWait = time.Second
	maxClaims   = 16
)

// Request asks for tokens.
type Request struct {
	// Tokens are used at once. Extra are wanted for the requests that follow.
	Tokens, Extra float64
	// Rank is the urgency of the request, 0 the most urgent.
	Rank int
}

// Decision is the answer to a request.
type Decision struct {
	Granted bool
	// Extra are the tokens granted ahead.
	Extra refiller.Lot
	// RetryAt is when the tokens of a refused request are expected.
	RetryAt time.Time
}

// lot is tokens on offer; offered of them were offered, left are not granted yet.
type lot struct {
	offered, left float64
	until         time.Time
}

// claim is a request that was refused lately.
type claim struct {
	tokens float64
	rank   int
	until  time.Time
}

// Redistributor is the state of one limit. It is immutable.
type Redistributor struct {
	// lots are ordered by deadline.
	lots   []lot
	claims []claim
	// lower is what less urgent requests may take while more urgent ones are refused.
	lower float64
	// turnAt is the latest time at which a refused caller was told to return.
	turnAt, shortUntil time.Time
	// flowAt is the begin of the interval in which current tokens were offered, last those
	// of the interval before.
	flowAt        time.Time
	current, last float64
}

// WithOffer returns the state with an offer. Offers with the same deadline are kept as one.
func (r Redistributor) WithOffer(offer refiller.Lot, now time.Time) Redistributor {
	r = r.withTime(now)
	if offer.Tokens <= 0 || !usable(offer.Until, now) {
		return r
	}
	r.current += offer.Tokens
	r.lower = min(r.lower+lowerPart*offer.Tokens, lowerPart*(r.offered()+offer.Tokens))
	r.lots = slices.Clone(r.lots)
	i, found := slices.BinarySearchFunc(r.lots, offer.Until, func(l lot, at time.Time) int { return l.until.Compare(at) })
	if !found {
		r.lots = slices.Insert(r.lots, i, lot{until: offer.Until})
	}
	r.lots[i].offered += offer.Tokens
	r.lots[i].left += offer.Tokens
	return r
}

// Take returns the state after a request, and the decision on it.
func (r Redistributor) Take(request Request, now time.Time) (Redistributor, Decision) {
	r = r.withTime(now)
	left := r.left()
	held, lower := r.held(request)
	if lower && r.lower < request.Tokens || left < request.Tokens+held {
		missing := request.Tokens + held - left
		if lower {
			missing = max(missing, (request.Tokens-r.lower)/lowerPart)
		}
		return r.refuse(request, missing, now)
	}
	if lower {
		r.lower -= request.Tokens
	}
	r.claims = slices.Clone(r.claims)
	if i := slices.IndexFunc(r.claims, func(c claim) bool { return c.rank == request.Rank && c.tokens <= request.Tokens }); i >= 0 {
		r.claims = slices.Delete(r.claims, i, i+1)
	}
	r.lots = slices.Clone(r.lots)
	r.takeFirst(request.Tokens)
	decision := Decision{Granted: true}
	if len(r.claims) == 0 && left-request.Tokens >= extraFactor*request.Extra {
		decision.Extra = r.takeLast(request.Extra)
	}
	return r, decision
}

// Short reports whether requests were refused lately.
func (r Redistributor) Short(now time.Time) bool { return now.Before(r.shortUntil) }

// Settled reports whether the state is that of a new one.
func (r Redistributor) Settled(now time.Time) bool {
	return len(r.withTime(now).lots) == 0 && !r.Short(now)
}

// held returns how many tokens are held back from a request for larger ones of its rank, and
// whether it is less urgent than a refused one.
func (r Redistributor) held(request Request) (held float64, lower bool) {
	for _, c := range r.claims {
		if c.rank < request.Rank {
			return 0, true
		}
		if c.rank == request.Rank && c.tokens > request.Tokens {
			held = max(held, c.tokens)
		}
	}
	return min(held, heldPart*r.offered()), false
}

// refuse refuses a request until so many more tokens are offered.
func (r Redistributor) refuse(request Request, missing float64, now time.Time) (Redistributor, Decision) {
	perSecond := max(r.last, r.current)
	first, turn := now.Add(unknownWait), now.Add(unknownWait)
	if perSecond > 0 {
		first = now.Add(clamp(missing / perSecond))
		turn = r.turnAt.Add(clamp(request.Tokens / perSecond))
	}
	if turn.Before(first) {
		turn = first
	}
	if latest := first.Add(maxTurnWait); turn.After(latest) {
		turn = latest
	}
	r.turnAt, r.shortUntil = turn, now.Add(shortLife)
	r.claims = append(slices.Clone(r.claims), claim{request.Tokens, request.Rank, turn.Add(claimLife)})
	slices.SortFunc(r.claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.tokens, a.tokens))
	})
	r.claims = r.claims[:min(len(r.claims), maxClaims)]
	return r, Decision{RetryAt: turn}
}

// takeFirst takes tokens from the lots that end first. The caller owns the lots.
func (r Redistributor) takeFirst(tokens float64) {
	for i := range r.lots {
		used := min(tokens, r.lots[i].left)
		r.lots[i].left -= used
		tokens -= used
	}
}

// takeLast takes tokens from the lots that end last. The caller owns the lots.
func (r Redistributor) takeLast(tokens float64) refiller.Lot {
	taken := refiller.Lot{}
	for i := len(r.lots) - 1; i >= 0 && taken.Tokens < tokens; i-- {
		used := min(tokens-taken.Tokens, r.lots[i].left)
		r.lots[i].left -= used
		taken = refiller.Lot{Tokens: taken.Tokens + used, Until: r.lots[i].until}
	}
	return taken
}

// withTime returns the state at now.
func (r Redistributor) withTime(now time.Time) Redistributor {
	if i := slices.IndexFunc(r.lots, func(l lot) bool { return usable(l.until, now) }); i != 0 && len(r.lots) > 0 {
		if i < 0 {
			i = len(r.lots)
		}
		r.lots = r.lots[i:]
	}
	if slices.ContainsFunc(r.claims, func(c claim) bool { return !now.Before(c.until) }) {
		r.claims = slices.DeleteFunc(slices.Clone(r.claims), func(c claim) bool { return !now.Before(c.until) })
	}
	if elapsed := now.Sub(r.flowAt); elapsed >= flowInterval {
		r.last, r.current = r.current, 0
		if elapsed >= 2*flowInterval {
			r.last = 0
		}
		r.flowAt = now
	}
	return r
}

func (r Redistributor) left() float64 {
	total := 0.0
	for _, l := range r.lots {
		total += l.left
	}
	return total
}

func (r Redistributor) offered() float64 {
	total := 0.0
	for _, l := range r.lots {
		total += l.offered
	}
	return total
}

// usable reports whether tokens that end at until can still be granted.
func usable(until, now time.Time) bool { return now.Add(MinLife).Before(until) }

// clamp returns a number of seconds as a time to wait.
func clamp(seconds float64) time.Duration {
	return max(minWait, time.Duration(min(seconds, maxWait.Seconds())*float64(time.Second)))
}
