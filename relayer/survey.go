package relayer

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriadrum/monitor"
	"wisteriadrum/placer"
	"wisteriadrum/requester"
)

// survey is what is known for the choice of an endpoint.
type survey struct {
	requirements placer.Requirements
	// candidates are the endpoints of the pool, in random order, which spreads requests over
	// those of equal cost.
	candidates []placer.Candidate
	endpoints  []*monitor.Monitor
	// sources are the endpoints and stores from which cached parts can be fetched.
	sources         []placer.Source
	sourceEndpoints []*monitor.Monitor
}

// survey returns what is known for the choice of the endpoint of a request.
func (r *Relayer) survey(e *exchange, behind bool, now time.Time) survey {
	request := e.request
	seen := survey{requirements: r.requirements(request)}
	monitors := r.deps.Registrar.Fleet().Pool(request.Pool.Name)
	if len(monitors) == 0 {
		return seen
	}
	offset := rand.IntN(len(monitors))
	for i := range monitors {
		seen.add(e, monitors[(i+offset)%len(monitors)], behind, len(monitors), now)
	}
	pace(seen.candidates)
	stored, stores := r.storeSources(request, weightsOf(seen.candidates), now)
	seen.sources, seen.sourceEndpoints = append(seen.sources, stored...), append(seen.sourceEndpoints, stores...)
	return seen
}

// requirements returns what a request requires of an endpoint.
func (r *Relayer) requirements(request *requester.Request) placer.Requirements {
	requirements := placer.Requirements{PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, DataCentre: r.deps.DataCentre, Figures: r.deps.Registrar.Figures(request.Pool.Name)}
	if request.Model == "" {
		return requirements
	}
	versions := r.deps.Registrar.Versions(request.Model)
	requirements.NewestVersion = versions.Newest()
	requirements.MinVersion = versions.Required(r.deps.Registrar.Now().Add(r.deps.WeightsMargin))
	requirements.RequiredVersion, requirements.Strict = r.requiredWeights(request.Model, r.deps.WeightsMargin/lateWeightsPart)
	return requirements
}

// add adds one of total endpoints as a candidate, and as a source if it has parts of the
// prompt. Its engine settings are those of the configuration that the request was resolved
// with, which may have changed since.
func (s *survey) add(e *exchange, endpoint *monitor.Monitor, behind bool, total int, now time.Time) {
	view := endpoint.View(e.request.Model, now)
	view.Held = view.Held || behind && view.Limited
	view.Engine = e.request.Pool.Engine
	cached, ready := 0, 0
	if view.Engine != nil {
		cached, ready = cachedTokens(endpoint, e.request, view.Weights)
	}
	missShare := missShare(endpoint, e.request, view, view.Weights)
	if missShare > maxMissShare {
		cached = 0
	}
	s.endpoints = append(s.endpoints, endpoint)
	s.candidates = append(s.candidates, placer.Candidate{
		View: view, CachedTokens: cached, Excluded: e.hasTried(endpoint) || e.sampling && rand.IntN(total) >= claimSample,
		Claimed: endpoint == e.claimed, Roomless: slices.Contains(e.roomless, endpoint),
		Closed: view.Paced && (view.Closed || e.placeAsks >= maxPlaceAsks),
	})
	if view.InBackoff || view.Loading || view.Left {
		return
	}
	if cached > ready {
		s.addSource(endpoint, placer.Source{DataCentre: view.Entry.DataCentre, CachedTokens: cached, Weights: view.Weights, LinkMbps: view.Engine.LinkMbps, Pending: true})
	}
	if ready > 0 {
		s.addSource(endpoint, placer.Source{DataCentre: view.Entry.DataCentre, CachedTokens: ready, Weights: view.Weights, LinkMbps: view.Engine.LinkMbps, MissShare: missShare})
	}
}

func (s *survey) addSource(endpoint *monitor.Monitor, source placer.Source) {
	s.sources, s.sourceEndpoints = append(s.sources, source), append(s.sourceEndpoints, endpoint)
}
