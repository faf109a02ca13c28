package relayer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriadrum/forecaster"
	"wisteriadrum/judge"
	"wisteriadrum/monitor"
	"wisteriadrum/opener"
	"wisteriadrum/pacer"
	"wisteriadrum/placer"
	"wisteriadrum/queuer"
	"wisteriadrum/refuser"
	"wisteriadrum/requester"
	"wisteriadrum/restrainer"
)

// waitForRoom chooses an endpoint and waits while none has room or may get requests.
// The request is refused when its time to wait is over, and at once if it would wait longer
// or too many wait before it.
func (r *Relayer) waitForRoom(ctx context.Context, e *exchange) *refuser.Refusal {
	startedAt := r.deps.Now()
	giveUpAt := r.waitDeadline(e, startedAt)
	ticket := &queuer.Ticket{Priority: e.request.Priority(), Arrived: e.request.ReceivedAt, TargetBy: e.request.Route.TargetDeadline(e.request.ReceivedAt)}
	held := r.queue(e.request.Pool.Name)
	defer held.Leave(ticket)
	defer r.endClaim(e)
	refusal := r.place(ctx, e, held.Ahead(ticket, startedAt) > 0)
	for refusal == nil && e.mustWait() {
		interval := heldCheckInterval
		if e.choice.Held {
			held.Join(ticket)
		} else {
			held.Leave(ticket)
			if refusal := r.keepClaim(e); refusal != nil || !e.mustWait() {
				e.waited = r.deps.Now().Sub(startedAt)
				return cmp.Or(refusal, r.admit(e))
			}
			interval = roomCheckInterval
		}
		if refusal := r.refuseHeld(e, held.Ahead(ticket, r.deps.Now()), giveUpAt); refusal != nil {
			return refusal
		}
		if refusal := r.pause(ctx, e, pacer.Jitter(interval)); refusal != nil {
			return refusal
		}
		now := r.deps.Now()
		if refusal := r.admit(e); refusal != nil {
			return refusal
		}
		if !now.Before(giveUpAt) {
			return refuser.New(refuser.Overloaded, judge.NotRun, "no endpoint had room for %d ms", now.Sub(startedAt).Milliseconds()).WithRetryAt(r.retryAt(e.request.Pool.Name, now))
		}
		if e.choice.Held && held.Ahead(ticket, now) > 0 {
			continue
		}
		refusal = r.place(ctx, e, false)
		e.waited = now.Sub(startedAt)
	}
	if refusal != nil {
		return refusal
	}
	return r.admit(e) // a stop may have begun meanwhile
}

// place chooses an endpoint, and takes a permit if it has named a limit, or room for a long
// prompt. behind means that others wait for such a permit before this request.
func (r *Relayer) place(ctx context.Context, e *exchange, behind bool) *refuser.Refusal {
	e.roomless, e.claimAsked, e.placeAsks = nil, false, 0
	r.endPlace(e, opener.Unsent)
	for range maxPermitAsks {
		refusal := r.choose(e, behind, r.deps.Now())
		if refusal != nil || e.mustWait() || ctx.Err() != nil {
			return refusal
		}
		if _, limited := e.endpoint.Said().Limit(); limited {
			if r.takePermit(ctx, e.endpoint) {
				return nil
			}
			continue
		}
		if !r.takePlace(e) {
			continue
		}
		if e.choice.LimitTokens == 0 || e.answer.Begun() || r.takeRoom(e) {
			return nil
		}
		r.endPlace(e, opener.Unsent)
		if len(e.roomless) >= maxRoomAsks {
			return nil
		}
	}
	if !e.choice.Full {
		e.choice.Held = true
	}
	return nil
}

// takePermit asks to send a request to an endpoint with a limit, and reports whether it may
// be sent. One request of this instance asks at a time: each that is refused takes a later
// turn, and the latest turn holds all of them back.
func (r *Relayer) takePermit(ctx context.Context, endpoint *monitor.Monitor) bool {
	ctx, cancel := context.WithTimeout(ctx, heldCheckInterval)
	defer cancel()
	if !endpoint.BeginAsk(ctx) {
		return false
	}
	defer endpoint.EndAsk()
	said := endpoint.Said()
	perSecond, limited := said.Limit()
	if !limited || said.HeldUntil().After(r.deps.Now()) {
		return !limited
	}
	granted, retryAt := r.deps.TakePermit(endpoint.Key, perSecond)
	if !granted {
		endpoint.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithNoPermit(retryAt) })
	}
	return granted
}

// mustWait reports whether the chosen endpoint must not get the request now. A caller that
// has received a part of the stream does not wait for room.
func (e *exchange) mustWait() bool {
	return e.choice.Held || e.choice.Full && !e.answer.Begun()
}

// refuseHeld refuses a request that no endpoint may get before giveUpAt.
func (r *Relayer) refuseHeld(e *exchange, ahead int, giveUpAt time.Time) *refuser.Refusal {
	if !e.choice.Held {
		return nil
	}
	now := r.deps.Now()
	openAt := r.openAt(e.request.Pool.Name, e.tried, ahead, now)
	if !openAt.After(giveUpAt) {
		return nil
	}
	return refuser.New(refuser.Overloaded, judge.NotRun, "no endpoint of pool %s takes a request for %d ms", e.request.Pool.Name, openAt.Sub(now).Milliseconds()).WithRetryAt(openAt.Add(rand.N(retrySpread)))
}

// retryAt returns when a refused caller may return: when an endpoint of the pool may get
// requests again, or after the default delay if one may now.
func (r *Relayer) retryAt(pool string, now time.Time) time.Time {
	if openAt := r.openAt(pool, nil, 0, now); openAt.After(now) {
		return openAt.Add(rand.N(retrySpread))
	}
	return now.Add(retryAfter)
}

// openAt returns when an endpoint of the pool that is not among tried is expected to get a
// request before which so many wait; now or earlier if one may get requests, or none ever.
func (r *Relayer) openAt(pool string, tried []*monitor.Monitor, ahead int, now time.Time) time.Time {
	r.mu.Lock()
	instances := max(1, r.instances)
	r.mu.Unlock()
	forecast := forecaster.New()
	for _, endpoint := range r.deps.Registrar.Fleet().Pool(pool) {
		if endpoint.Left(now) || slices.Contains(tried, endpoint) {
			continue
		}
		said := endpoint.Said()
		perSecond, limited := said.Limit()
		heldUntil := said.HeldUntil()
		if !limited && !heldUntil.After(now) {
			return now
		}
		forecast = forecast.WithOpening(heldUntil, perSecond/float64(instances))
	}
	at, _ := forecast.When(ahead)
	return at
}

// refreshRoute resolves the request again if the configuration has changed
// since.
func (r *Relayer) refreshRoute(request *requester.Request) *refuser.Refusal {
	table := r.deps.Registrar.Table()
	if table == nil || table.Version == request.ConfigVersion {
		return nil
	}
	return Resolve(request, table)
}

// choose selects an endpoint, and the source to fetch cached parts from. If the request is
// behind others that wait for a permit, it holds back from endpoints that need one. It
// refuses a prompt with a part that crashes endpoints, also one that waited until now.
func (r *Relayer) choose(e *exchange, behind bool, now time.Time) *refuser.Refusal {
	request := e.request
	if refusal := r.refusePart(e, now); refusal != nil {
		return refusal
	}
	seen := r.survey(e, behind, now)
	if len(seen.endpoints) == 0 {
		return refuser.New(refuser.NoEndpoint, judge.NotRun, "no endpoint of pool %s is known", request.Pool.Name).WithRetryAt(now.Add(retryAfter))
	}
	choice := placer.Choose(seen.requirements, seen.candidates, seen.sources)
	if choice.CandidateIndex < 0 && choice.Outdated {
		return refuser.New(refuser.WrongWeights, judge.NotRun, "no endpoint of pool %s is left with version %d of the weights of %s", request.Pool.Name, seen.requirements.RequiredVersion, request.Model).WithRetryAt(now.Add(retryAfter))
	}
	if choice.CandidateIndex < 0 {
		return refuser.New(refuser.NoEndpoint, judge.NotRun, "no endpoint of pool %s is left", request.Pool.Name).WithRetryAt(r.retryAt(request.Pool.Name, now))
	}
	candidate := seen.candidates[choice.CandidateIndex]
	e.choice, e.endpoint, e.source, e.spare = choice, seen.endpoints[choice.CandidateIndex], nil, nil
	if choice.SourceIndex >= 0 {
		e.source = seen.sourceEndpoints[choice.SourceIndex]
	} else if candidate.CachedTokens > 0 {
		e.spare = spareSource(seen.requirements.Figures, e.endpoint, candidate.View, seen.sources, seen.sourceEndpoints)
	}
	return nil
}

// stores returns the stores that may hold cached parts of the request's prompt.
func (r *Relayer) stores(request *requester.Request) []*monitor.Monitor {
	if len(request.Parts) == 0 {
		return nil
	}
	return r.deps.Registrar.Fleet().Stores()
}

// cachedTokens returns the number of leading prompt tokens that the endpoint
// caches or is prefilling, and the number that is ready.
func cachedTokens(endpoint *monitor.Monitor, request *requester.Request, weights int) (cached, ready int) {
	allReady := true
	for _, part := range request.Parts {
		partCached, partReady := endpoint.HasPart(partKey(request, weights, part))
		if !partCached {
			break
		}
		cached += part.Tokens
		if allReady = allReady && partReady; allReady {
			ready = cached
		}
	}
	return cached, ready
}
