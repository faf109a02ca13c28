// Package picker selects the endpoint for a request by the policy for the kind
// of its pool.
package picker

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/answerer"
	"wisteriadrum/chooser"
	"wisteriadrum/counter"
	"wisteriadrum/delegator"
	"wisteriadrum/forecaster"
	"wisteriadrum/grouper"
	"wisteriadrum/judge"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/quarantiner"
	"wisteriadrum/ranker"
	"wisteriadrum/refresher"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/restrainer"
	"wisteriadrum/tracker"
)

const (
	minBackoff           = 500 * time.Millisecond
	maxBackoff           = 8 * time.Second
	noEndpointRetryAfter = time.Second
)

// Picker selects endpoints for requests and updates their state from the
// answers.
type Picker struct {
	board          *keeper.Board
	engines        chooser.Policy
	services       chooser.Policy
	loads          *refresher.Refresher
	homes          *delegator.Delegator
	cacheMap       *mapper.Map
	quarantine     *quarantiner.Registry
	count          *counter.Counter
	now            func() time.Time
	broadcastCrash func()
}

// New returns a picker that uses one policy for engines and one for services.
// It calls broadcastCrash after it has recorded a crash.
func New(board *keeper.Board, engines, services chooser.Policy, loads *refresher.Refresher, homes *delegator.Delegator, cacheMap *mapper.Map, quarantine *quarantiner.Registry, count *counter.Counter, now func() time.Time, broadcastCrash func()) *Picker {
	return &Picker{board: board, engines: engines, services: services, loads: loads, homes: homes, cacheMap: cacheMap, quarantine: quarantine, count: count, now: now, broadcastCrash: broadcastCrash}
}

// Pick returns an endpoint for request that is not among tried. An error is a
// refusal with the verdict that the request did not run.
func (p *Picker) Pick(request *resolver.Request, tried []*tracker.Track) (chooser.Choice, error) {
	now := p.now()
	suspect, isSuspect := p.quarantine.Find(request.Fingerprint, now)
	if isSuspect && suspect.Refused() {
		return chooser.Choice{}, refuser.New(refuser.Quarantined, judge.NotRun, "the request crashed %d endpoints and is refused until %s", len(suspect.Losses), suspect.Until.UTC().Format(time.RFC3339)).WithRetryAt(suspect.Until)
	}
	fleet := p.board.Fleet.Load()
	query := chooser.Query{
		Order: fleet.Order(request.Route.Pool),
		Chain: request.Chain, Now: now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		PrefillNanosPerByte: request.Pool.PrefillNanosPerByte, Objective: request.Route.Objective,
		Excluded: func(track *tracker.Track) bool { return excluded(track, tried, suspect.Losses) },
	}
	tracks := fleet.Pool(request.Route.Pool)
	if !isSuspect && len(tried) == 0 && request.Pool.Kind == grouper.Engine {
		if choice, ok := p.homes.Delegate(query, tracks); ok {
			p.count.Add("choice", choice.Reason)
			return choice, nil
		}
		p.loads.Refresh(p.engines, query, tracks)
	}
	choice := p.choose(query, request, tracks, isSuspect)
	if choice.Track == nil {
		query.IgnoreBackoff = true
		choice = p.choose(query, request, tracks, isSuspect)
	}
	if choice.Track == nil {
		return choice, refuser.New(refuser.NoEndpoint, judge.NotRun, "no endpoint of pool %s can take the request", request.Route.Pool).WithRetryAt(retryAt(tracks, now))
	}
	p.count.Add("choice", choice.Reason)
	return choice, nil
}

// retryAt returns when a caller may return for which there is no endpoint: when the first
// of those that want no requests now wants them again, or after the default delay if all
// others are unavailable for another reason.
func retryAt(tracks []*tracker.Track, now time.Time) time.Time {
	forecast := forecaster.New()
	for _, track := range tracks {
		if heldUntil := track.HeldUntil(); heldUntil.After(now) && !track.Leaving() {
			forecast = forecast.WithOpening(heldUntil, 0)
		}
	}
	if at, known := forecast.When(0); known {
		return at
	}
	return now.Add(noEndpointRetryAfter)
}

// RecordCached passes the number of prompt bytes that the endpoint found in its
// cache to the policy. A negative number means that it is not known.
func (p *Picker) RecordCached(request *resolver.Request, choice chooser.Choice, cached int) {
	if choice.OnCached != nil && cached >= 0 {
		choice.OnCached(cached / request.Model.PieceBytes())
	}
}

// RecordAnswer updates the state of track and the cache map from the head of an
// answer.
func (p *Picker) RecordAnswer(request *resolver.Request, track *tracker.Track, answer *answerer.Answer) {
	now := p.now()
	if answer.Incarnation != "" {
		track.ApplyAnswer(answer.Incarnation, answer.Weights, answer.QueueBytes, now, p.cacheMap.NewSlot)
	}
	track.RecordSuccess()
	if answer.WaitMillis > 0 {
		waitUntil := now.Add(time.Duration(answer.WaitMillis) * time.Millisecond)
		track.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithWait(waitUntil) })
		p.count.Add("endpoints", "waiting")
	}
	if answer.Refused || request.Chain.Depth() == 0 {
		return
	}
	slot := track.View().Slot
	for _, level := range request.Chain.Levels() {
		p.cacheMap.Add(level, slot, now)
	}
}

// RecordFailure puts track into backoff. The backoff doubles with each failure.
func (p *Picker) RecordFailure(track *tracker.Track) {
	backoff := min(minBackoff<<min(track.RecordFailure()-1, 8), maxBackoff)
	track.AvoidUntil(p.now().Add(backoff))
}

// RecordCrash records that the incarnation of track ended while it ran request,
// and returns when the other instances have received this or a timeout passed.
func (p *Picker) RecordCrash(request *resolver.Request, track *tracker.Track, incarnation string) {
	p.count.Add("quarantine", "losses")
	crash := quarantiner.Crash{Endpoint: track.Endpoint.Name, Incarnation: incarnation}
	p.quarantine.RecordCrash(request.Fingerprint, crash, p.now())
	p.broadcastCrash()
}

// choose applies the policy for the kind of the pool. A request that is
// suspected of crashing endpoints goes to the first usable endpoint in
// rendezvous order instead, which is the same at every instance. Resends of it
// through several instances therefore do not crash several endpoints.
func (p *Picker) choose(query chooser.Query, request *resolver.Request, tracks []*tracker.Track, isSuspect bool) chooser.Choice {
	if !isSuspect {
		if request.Pool.Kind == grouper.Service {
			return p.services.Choose(query, tracks)
		}
		return p.engines.Choose(query, tracks)
	}
	var best chooser.Choice
	var bestRank uint64
	for _, track := range tracks {
		if !query.Usable(track) {
			continue
		}
		if rank := ranker.Rank(request.Fingerprint, track.Hash); best.Track == nil || rank > bestRank {
			best, bestRank = chooser.Choice{Track: track, Reason: "suspect"}, rank
		}
	}
	return best
}

func excluded(track *tracker.Track, tried []*tracker.Track, crashes []quarantiner.Crash) bool {
	for _, other := range tried {
		if other == track {
			return true
		}
	}
	for _, crash := range crashes {
		if crash.Endpoint == track.Endpoint.Name {
			return true
		}
	}
	return false
}
