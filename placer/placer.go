// Package placer chooses the endpoint for a request. The choice is a pure
// function of the request's requirements and the observed state of the
// endpoints.
//
// It targets workloads of many long prompts with shared prefixes. The predicted
// time to first token is the sum of the prefill work that is already queued at
// an engine, the prefill work of this request, and the wait for a batch slot
// and KV memory.
package placer

import (
	"slices"

	"wisteriadrum/estimator"
	"wisteriadrum/monitor"
)

const (
	// fullMemoryMillis is the wait for KV memory per full engine capacity by
	// which the preemption threshold is exceeded.
	fullMemoryMillis = 4000.0
	// preemptionShare is the share of KV memory above which engines preempt
	// requests.
	preemptionShare = 0.85
	// crossDataCentreMillis is the penalty of another data centre: about the
	// round trip, plus the price of traffic between data centres.
	crossDataCentreMillis = 20.0
	// crossTransferFactor is the slowdown of a KV cache transfer between data
	// centres.
	crossTransferFactor = 2.0
	// backoffPenaltyMillis is the penalty of an endpoint that failed recently.
	backoffPenaltyMillis = 10000.0
	// silenceAllowanceMillis is how long an endpoint may send nothing without a
	// penalty, for example during the prefill of a long prompt. Time beyond it
	// is multiplied by silencePenaltyFactor.
	silenceAllowanceMillis = 250.0
	silencePenaltyFactor   = 3.0
	// leavingPenaltyMillis is the penalty of an endpoint that is about to
	// leave.
	leavingPenaltyMillis = 20000.0
	// oldWeightsPenaltyMillis is the penalty of weights older than the newest
	// version.
	oldWeightsPenaltyMillis = 400.0
	// loadingPenaltyMillis is the penalty of an endpoint that is loading
	// weights, during which it refuses requests that have not started.
	loadingPenaltyMillis = 5000.0
	// closedPenaltyMillis is the penalty of an endpoint that has just started or recovered
	// and has no place left: below that of one that does not answer.
	closedPenaltyMillis = 3000.0
)

// Requirements is what a request requires of an endpoint.
type Requirements struct {
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens, OutputTokens int
	// DataCentre is the data centre that received the request.
	DataCentre string
	// Figures are those of the pool. The endpoint's latency ratio scales them.
	Figures estimator.Estimator
	// NewestVersion is the newest version of the model's weights.
	NewestVersion int
	// MinVersion is the oldest version of the weights that should still be
	// used, RequiredVersion the oldest one on which a request may start.
	MinVersion, RequiredVersion int
	// Strict rules older versions than RequiredVersion out also while no endpoint at
	// all serves that.
	Strict bool
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	View monitor.View
	// CachedTokens is the number of leading prompt tokens in the endpoint's KV
	// cache, including those whose prefill is in progress.
	CachedTokens int
	// Excluded rules the endpoint out, for example after a failed attempt.
	Excluded bool
	// Claimed means that the request waits for room at this engine, Roomless that the
	// engine had none when asked.
	Claimed, Roomless bool
	// Closed means that the endpoint has just started or recovered and has no place left.
	Closed bool
}

// Source is an engine or a store from which cached prompt parts can be fetched.
type Source struct {
	DataCentre string
	// CachedTokens is the number of leading prompt tokens that the source holds
	// ready, computed with version Weights of the model.
	CachedTokens, Weights int
	// LinkMbps is the rate of the source's network link in Mbit/s.
	LinkMbps float64
	// QueuedTokens is the number of tokens queued for transfer over that link.
	QueuedTokens int
	// Pending means that the source is still reading the tokens, so that they can't be
	// fetched yet.
	Pending bool
	// MissShare is the share of fetches that are expected to find nothing.
	MissShare float64
}

// Choice is a chosen endpoint with the predicted cost.
type Choice struct {
	// CandidateIndex is the index of the candidate, -1 if none is eligible.
	CandidateIndex int
	// SourceIndex is the index of the source to fetch cached parts from, or -1.
	SourceIndex int
	// PredictedMillis is the predicted time to first token.
	PredictedMillis float64
	// Work is what the endpoint does before it answers, and UnscaledMillis its predicted
	// time for a latency ratio of 1.
	Work           estimator.Work
	UnscaledMillis float64
	// PrefillTokens is the number of prompt tokens that the endpoint has to
	// prefill.
	PrefillTokens int
	// FetchMillis is the predicted time to fetch parts from the source, the wait for
	// earlier transfers included, MemoryWaitMillis that for KV memory.
	FetchMillis, MemoryWaitMillis float64
	// Cost is PredictedMillis plus penalties; the candidate with the lowest
	// cost wins.
	Cost float64
	// Full reports that the endpoint has no room for a long prompt now, Unavailable that
	// it will have none for a time, whatever runs there, and Held that it must get no
	// request now.
	Full, Unavailable, Held bool
	// LimitTokens is the KV memory that running requests may hold at the endpoint with a
	// long prompt, 0 for others.
	LimitTokens int
	// Claimed means that the request waits for room at the endpoint.
	Claimed bool
	// Paced means that the endpoint takes requests that have a place, Closed that it has
	// none left.
	Paced, Closed bool
	// Outdated reports that the endpoint's weights are older than RequiredVersion, or
	// without a candidate that those of all eligible ones are.
	Outdated bool
}

// Choose returns the eligible candidate with the lowest cost, preferring those that may
// get requests and those with room, and the source to fetch cached parts from.
func Choose(requirements Requirements, candidates []Candidate, sources []Source) Choice {
	best := Choice{CandidateIndex: -1, SourceIndex: -1}
	minVersion := minVersion(requirements, candidates)
	for index, candidate := range candidates {
		if candidate.Excluded || candidate.View.Left {
			continue
		}
		if candidate.View.Weights < minVersion {
			best.Outdated = best.Outdated || best.CandidateIndex < 0
			continue
		}
		choice := predict(requirements, candidate, index, sources)
		if best.CandidateIndex < 0 || choice.before(best) {
			best = choice
		}
	}
	return best
}

// Rank returns a choice for each candidate that is eligible, the best first.
func Rank(requirements Requirements, candidates []Candidate, sources []Source) []Choice {
	var ranked []Choice
	minVersion := minVersion(requirements, candidates)
	for index, candidate := range candidates {
		if !candidate.Excluded && !candidate.View.Left && candidate.View.Weights >= minVersion {
			ranked = append(ranked, predict(requirements, candidate, index, sources))
		}
	}
	slices.SortStableFunc(ranked, func(a, b Choice) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		default:
			return 0
		}
	})
	return ranked
}

// before reports whether c is better than other: by the wait for room first.
func (c Choice) before(other Choice) bool {
	if c.Held != other.Held {
		return other.Held
	}
	if c.Full != other.Full {
		return other.Full
	}
	if c.Claimed != other.Claimed {
		return c.Claimed
	}
	return c.Cost < other.Cost
}

// minVersion returns the oldest version to be used: that which should be used if
// an eligible candidate serves it, otherwise the required one. If no endpoint at
// all serves that, older ones may be used unless the requirements are strict.
func minVersion(requirements Requirements, candidates []Candidate) int {
	serves, eligible := 0, 0
	for _, candidate := range candidates {
		if candidate.View.Left {
			continue
		}
		serves = max(serves, candidate.View.Weights)
		if !candidate.Excluded {
			eligible = max(eligible, candidate.View.Weights)
		}
	}
	switch {
	case eligible >= requirements.MinVersion:
		return requirements.MinVersion
	case requirements.Strict || serves >= requirements.RequiredVersion:
		return requirements.RequiredVersion
	default:
		return 0
	}
}

// predict returns the predicted latency and cost of the candidate at index.
func predict(requirements Requirements, candidate Candidate, index int, sources []Source) Choice {
	view := candidate.View
	choice := Choice{CandidateIndex: index, Paced: view.Paced, Closed: candidate.Closed, SourceIndex: -1, Held: view.Held, Outdated: view.Weights < requirements.RequiredVersion}
	if view.Engine == nil {
		choice.Work = estimator.Work{Plain: true, Requests: view.Load.Requests, Slots: view.Entry.Slots}
		choice.UnscaledMillis = requirements.Figures.Millis(choice.Work)
		choice.PredictedMillis = choice.UnscaledMillis * view.LatencyRatio
		choice.Cost = choice.PredictedMillis + float64(view.Load.Requests) + penaltyMillis(requirements, candidate)
		return choice
	}
	choice.PrefillTokens = max(requirements.PromptTokens-candidate.CachedTokens, 1)
	choice.SourceIndex, choice.FetchMillis = BestSource(requirements.Figures, view, candidate.CachedTokens, sources)
	if choice.SourceIndex >= 0 {
		choice.PrefillTokens = max(requirements.PromptTokens-sources[choice.SourceIndex].CachedTokens, 1)
	}
	choice.Work = estimator.Work{PromptTokens: choice.PrefillTokens, QueuedTokens: view.Load.PrefillTokens, Requests: view.Load.Requests, Slots: view.Engine.Slots}
	choice.UnscaledMillis = requirements.Figures.Millis(choice.Work)
	choice.MemoryWaitMillis = memoryWaitMillis(requirements, view)
	choice.PredictedMillis = choice.UnscaledMillis*view.LatencyRatio + choice.FetchMillis + choice.MemoryWaitMillis
	choice.Cost = choice.PredictedMillis + penaltyMillis(requirements, candidate)
	choice.Cost += requirements.Figures.PrefillMillis(repeatedTokens(candidate, choice, requirements, sources)) * view.LatencyRatio
	choice.LimitTokens = limitTokens(requirements, view)
	choice.Unavailable = choice.LimitTokens > 0 && unavailable(candidate)
	choice.Full = choice.Unavailable || choice.LimitTokens > 0 && saturated(requirements, candidate, choice.LimitTokens)
	choice.Claimed = candidate.Claimed
	return choice
}

// BestSource returns the index of the source from which an engine that caches so many
// leading tokens of a prompt saves the most time by the figures of its pool, and the time of the transfer. The index is
// -1 if prefill is faster than any, or if the endpoint is no engine.
func BestSource(figures estimator.Estimator, view monitor.View, cachedTokens int, sources []Source) (index int, fetchMillis float64) {
	index, bestMillis := -1, 0.0
	if view.Engine == nil {
		return index, 0
	}
	for i, source := range sources {
		gainTokens := source.CachedTokens - cachedTokens
		if gainTokens <= 0 || source.Pending || source.Weights != view.Weights {
			continue
		}
		millis := transferMillis(view, source, gainTokens)
		savedMillis := figures.PrefillMillis(gainTokens)*view.LatencyRatio*(1-source.MissShare) - millis
		if savedMillis > bestMillis {
			index, bestMillis, fetchMillis = i, savedMillis, millis
		}
	}
	return index, fetchMillis
}

// repeatedTokens returns the number of tokens that the engine would read although another
// one is reading them. The prompts behind wait for that in vain, and the work is done for
// nobody.
func repeatedTokens(candidate Candidate, choice Choice, requirements Requirements, sources []Source) int {
	repeated := 0
	for _, source := range sources {
		if source.Pending && source.Weights == candidate.View.Weights {
			repeated = max(repeated, choice.PrefillTokens-(requirements.PromptTokens-source.CachedTokens))
		}
	}
	return repeated
}

// transferMillis returns the time to fetch tokens from source, after the
// transfers that are already queued there.
func transferMillis(view monitor.View, source Source, tokens int) float64 {
	millis := view.Engine.TransferMillis(tokens+source.QueuedTokens, source.LinkMbps)
	if source.DataCentre != view.Entry.DataCentre {
		millis *= crossTransferFactor
	}
	return millis
}

// memoryWaitMillis returns the wait for KV memory.
func memoryWaitMillis(requirements Requirements, view monitor.View) float64 {
	usedShare := float64(view.Load.KVTokens+requirements.PromptTokens+requirements.OutputTokens) / float64(max(view.Engine.CapacityTokens, 1))
	return max(0, usedShare-preemptionShare) * fullMemoryMillis
}

// penaltyMillis returns the penalties that are added to the predicted latency.
func penaltyMillis(requirements Requirements, candidate Candidate) float64 {
	view, penalty := candidate.View, 0.0
	if candidate.Closed {
		penalty += closedPenaltyMillis
	}
	if view.Entry.DataCentre != requirements.DataCentre {
		penalty += crossDataCentreMillis
	}
	penalty += silencePenaltyFactor * max(0, float64(view.SilentFor.Milliseconds())-silenceAllowanceMillis)
	if view.InBackoff {
		penalty += backoffPenaltyMillis
	}
	if view.Leaving {
		penalty += leavingPenaltyMillis
	}
	if view.Loading {
		penalty += loadingPenaltyMillis
	}
	if view.Weights < requirements.NewestVersion {
		penalty += oldWeightsPenaltyMillis
	}
	return penalty
}
