package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriadrum/judge"
	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
	"wisteriadrum/placer"
	"wisteriadrum/queuer"
	"wisteriadrum/refuser"
	"wisteriadrum/requester"
)

// seat chooses an endpoint and waits while none has room. A request that has
// waited for half of its time is refused, so that its caller can come back.
func (r *Relayer) seat(ctx context.Context, c *course) *refuser.Refusal {
	refusal := r.place(c, r.ports.Now())
	if refusal != nil || !c.choice.Full || c.answer.Begun() {
		return refusal // a caller that has a part of the answer is not kept waiting
	}
	queue := r.queue(c.request.Pool.Name)
	ticket := &queuer.Ticket{Priority: c.request.Priority(), Arrived: c.request.ReceivedAt, TargetBy: c.request.Route.TargetDeadline(c.request.ReceivedAt)}
	queue.Join(ticket)
	defer queue.Leave(ticket)
	begun := r.ports.Now()
	leaveBy := begun.Add(c.ends.Sub(begun) / 2)
	for pacer.Wait(ctx, pacer.Jitter(seatEvery)) {
		now := r.ports.Now()
		if !now.Before(leaveBy) {
			return refuser.New(refuser.Overloaded, judge.NotRun, "no engine had room for %d ms", now.Sub(begun).Milliseconds()).WithRetryAt(now.Add(retryAfter))
		}
		if queue.Ahead(ticket, now) > 0 {
			continue
		}
		if refusal := r.place(c, now); refusal != nil || !c.choice.Full {
			c.waited = now.Sub(begun)
			return refusal
		}
	}
	return refuser.New(refuser.CallerGone, judge.NotRun, "the caller left")
}

// recheck looks the request up again if the configuration has changed since.
func (r *Relayer) recheck(request *requester.Request) *refuser.Refusal {
	table := r.ports.Registrar.Table()
	if table != nil && table.Version == request.ConfigVersion {
		return nil
	}
	return Resolve(request, table)
}

// place chooses an endpoint.
func (r *Relayer) place(c *course, now time.Time) *refuser.Refusal {
	request := c.request
	monitors := r.ports.Registrar.Fleet().Pool(request.Pool.Name)
	need := placer.Requirements{PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, DataCentre: r.ports.DataCentre}
	if request.Model != "" {
		named := r.ports.Registrar.Versions(request.Model)
		need.NewestVersion, need.MinVersion = named.Newest(), named.NewestBefore(now.Add(-r.ports.WeightsExpiry))
	}
	if len(monitors) == 0 {
		return refuser.New(refuser.NoEndpoint, judge.NotRun, "no endpoint of pool %s is known", request.Pool.Name).WithRetryAt(now.Add(retryAfter))
	}
	candidates := make([]placer.Candidate, len(monitors))
	var sources []placer.Source
	var holders []*monitor.Monitor
	offset := rand.IntN(len(monitors)) // equal costs go to different places
	for i := range monitors {
		one := monitors[(i+offset)%len(monitors)]
		view := one.View(request.Model, now)
		held, ready := keptTokens(one, request, view.Weights)
		candidates[i] = placer.Candidate{View: view, CachedTokens: held, Excluded: c.has(one)}
		if ready > 0 && !view.InBackoff && !view.Loading && !view.Left {
			sources = append(sources, placer.Source{DataCentre: view.Entry.DataCentre, CachedTokens: ready, Weights: view.Weights, LinkMbps: view.Engine.LinkMbps})
			holders = append(holders, one)
		}
	}
	for _, store := range r.stores(request) {
		view := store.View("", now)
		if _, ready := keptTokens(store, request, need.NewestVersion); ready > 0 && !view.InBackoff {
			sources = append(sources, placer.Source{DataCentre: view.Entry.DataCentre, CachedTokens: ready, Weights: need.NewestVersion, LinkMbps: view.Engine.LinkMbps, QueuedTokens: view.Load.PrefillTokens})
			holders = append(holders, store)
		}
	}
	choice := placer.Choose(need, candidates, sources)
	if choice.CandidateIndex < 0 {
		return refuser.New(refuser.NoEndpoint, judge.NotRun, "no endpoint of pool %s is left", request.Pool.Name).WithRetryAt(now.Add(retryAfter))
	}
	c.choice, c.place, c.source = choice, monitors[(choice.CandidateIndex+offset)%len(monitors)], nil
	if choice.SourceIndex >= 0 {
		c.source = holders[choice.SourceIndex]
	}
	return nil
}

// stores returns the stores that may keep parts of the request's prompt.
func (r *Relayer) stores(request *requester.Request) []*monitor.Monitor {
	if len(request.Parts) == 0 {
		return nil
	}
	return r.ports.Registrar.Fleet().Stores()
}

// keptTokens returns how much of the prompt's beginning the endpoint keeps or
// is reading, and how much of it is ready.
func keptTokens(one *monitor.Monitor, request *requester.Request, weights int) (held, ready int) {
	all := true
	for _, part := range request.Parts {
		has, done := one.HasPart(partKey(request, weights, part))
		if !has {
			break
		}
		held += part.Tokens
		if all = all && done; all {
			ready = held
		}
	}
	return held, ready
}
