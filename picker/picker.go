// Package picker applies the policies to what the board says.
package picker

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/answerer"
	"wisteriadrum/chooser"
	"wisteriadrum/counter"
	"wisteriadrum/delegator"
	"wisteriadrum/grouper"
	"wisteriadrum/judge"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/quarantiner"
	"wisteriadrum/ranker"
	"wisteriadrum/refresher"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/tracker"
)

const (
	shunFirst = 500 * time.Millisecond
	shunMost  = 8 * time.Second
	noneWait  = time.Second
)

// Picker picks endpoints for requests and learns from their answers.
type Picker struct {
	board    *keeper.Board
	engines  chooser.Policy
	services chooser.Policy
	asker    *refresher.Refresher
	adviser  *delegator.Delegator
	holders  *mapper.Map
	ward     *quarantiner.Registry
	count    *counter.Counter
	now      func() time.Time
	alarm    func()
}

// New returns a picker that uses one policy for engines and one for services.
// It calls alarm when another instance must hear of a crash.
func New(board *keeper.Board, engines, services chooser.Policy, ask *refresher.Refresher, advise *delegator.Delegator, holders *mapper.Map, ward *quarantiner.Registry, count *counter.Counter, now func() time.Time, alarm func()) *Picker {
	return &Picker{board: board, engines: engines, services: services, asker: ask, adviser: advise, holders: holders, ward: ward, count: count, now: now, alarm: alarm}
}

// Pick returns an endpoint for request that is not among tried. The error is
// a refusal that says that nothing has run.
func (p *Picker) Pick(request *resolver.Request, tried []*tracker.Track) (chooser.Choice, error) {
	now := p.now()
	suspect, known := p.ward.Find(request.Fingerprint, now)
	if known && suspect.Refused() {
		return chooser.Choice{}, refuser.New(refuser.Quarantined, judge.NotRun, "the request crashed %d endpoints and is refused until %s", len(suspect.Losses), suspect.Until.UTC().Format(time.RFC3339)).WithRetryAt(suspect.Until)
	}
	fleet := p.board.Fleet.Load()
	query := chooser.Query{
		Order: fleet.Order(request.Route.Pool),
		Chain: request.Chain, Now: now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		PrefillNanosPerByte: request.Pool.PrefillNanosPerByte, Objective: request.Route.Objective,
		Excluded: func(track *tracker.Track) bool { return barred(track, tried, suspect.Losses) },
	}
	tracks := fleet.Pool(request.Route.Pool)
	if !known && len(tried) == 0 && request.Pool.Kind == grouper.Engine {
		if choice, ok := p.adviser.Delegate(query, tracks); ok {
			p.count.Add("choice", choice.Reason)
			return choice, nil
		}
		p.asker.Refresh(p.engines, query, tracks)
	}
	choice := p.choose(query, request, tracks, known)
	if choice.Track == nil {
		query.IgnoreBackoff = true
		choice = p.choose(query, request, tracks, known)
	}
	if choice.Track == nil {
		return choice, refuser.New(refuser.NoEndpoint, judge.NotRun, "no endpoint of pool %s can take the request", request.Route.Pool).WithRetryAt(now.Add(noneWait))
	}
	p.count.Add("choice", choice.Reason)
	return choice, nil
}

// RecordCached lets the policy learn from how many bytes were found cached.
func (p *Picker) RecordCached(request *resolver.Request, choice chooser.Choice, cached int) {
	if choice.OnCached != nil && cached >= 0 {
		choice.OnCached(cached / request.Model.PieceBytes())
	}
}

// RecordAnswer takes in the head of an answer from track.
func (p *Picker) RecordAnswer(request *resolver.Request, track *tracker.Track, answer *answerer.Answer) {
	now := p.now()
	if answer.Incarnation != "" {
		track.ApplyAnswer(answer.Incarnation, answer.Weights, answer.QueueBytes, now, p.holders.NewSlot)
	}
	track.RecordSuccess()
	if answer.Refused || request.Chain.Depth() == 0 {
		return
	}
	slot := track.View().Slot
	for _, level := range request.Chain.Levels() {
		p.holders.Add(level, slot, now)
	}
}

// RecordFailure avoids track for a time that doubles with each failure.
func (p *Picker) RecordFailure(track *tracker.Track) {
	pause := min(shunFirst<<min(track.RecordFailure()-1, 8), shunMost)
	track.AvoidUntil(p.now().Add(pause))
}

// RecordCrash records that track's incarnation ended while it ran request, and
// returns when the other instances have been told or time is up.
func (p *Picker) RecordCrash(request *resolver.Request, track *tracker.Track, incarnation string) {
	p.count.Add("quarantine", "losses")
	loss := quarantiner.Crash{Endpoint: track.Endpoint.Name, Incarnation: incarnation}
	p.ward.RecordCrash(request.Fingerprint, loss, p.now())
	p.alarm()
}

// choose sends a suspect request to the endpoint that every instance would
// pick, so that resends through several instances crash no further ones.
func (p *Picker) choose(query chooser.Query, request *resolver.Request, tracks []*tracker.Track, suspect bool) chooser.Choice {
	if !suspect {
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

func barred(track *tracker.Track, tried []*tracker.Track, losses []quarantiner.Crash) bool {
	for _, other := range tried {
		if other == track {
			return true
		}
	}
	for _, loss := range losses {
		if loss.Endpoint == track.Endpoint.Name {
			return true
		}
	}
	return false
}
