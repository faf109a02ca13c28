// Package placer decides which endpoint gets a request. Decisions are pure:
// what is known comes in, a place with the reasons for it comes out.
//
// It answers the load of many long prompts that share their beginnings: the
// time until an answer begins is the sum of what an engine has still to read
// for others, of what it must read for this request, and of the wait for room
// in its batch and memory.
package placer

import "wisteriadrum/monitor"

// Figures of the prediction. The pace of each endpoint is learned as a factor
// on them, so that they need to be right only in proportion.
const (
	// baseMillis is the time of an idle engine until a short prompt's first token.
	baseMillis = 30.0
	// tokensPerMilli is the rate at which prompts are read.
	tokensPerMilli = 50.0
	// requestMillis is what a running request adds to the wait of others.
	requestMillis = 0.6
	// slotMillis is the wait for a place in a full batch, for each request ahead.
	slotMillis = 25.0
	// memoryMillis is the wait for memory, for the whole of an engine's memory.
	memoryMillis = 4000.0
	// runningShare is the share of an engine's memory that running requests may
	// take before long prompts wait: the rest keeps parts, without which more
	// must be read, and bounds the reading between the tokens of streams.
	runningShare = 0.4
	// longPrompt is the share of an engine's memory above which a prompt is long.
	longPrompt = 0.015
	// memoryFull is the share of memory above which engines preempt.
	memoryFull = 0.85
	// serviceMillis is the time of a plain service for one request.
	serviceMillis = 20.0
	// crossMillis is the cost of leaving the data centre: about the round trip,
	// and the price of bytes between data centres.
	crossMillis = 20.0
	// crossTransfer is how much slower a transfer between data centres is.
	crossTransfer = 2.0
	// shunMillis is the penalty of an endpoint that failed of late.
	shunMillis = 10000.0
	// silentMillis is the silence in which an endpoint may do its work, for
	// instance read a long prompt; what goes beyond counts silentWeight times.
	silentMillis = 250.0
	silentWeight = 3.0
	// leaveMillis is the penalty of an endpoint that is about to leave.
	leaveMillis = 20000.0
	// oldMillis is the penalty of weights that are not the newest.
	oldMillis = 400.0
	// loadMillis is the penalty of an endpoint that is loading weights and
	// refuses what has not started.
	loadMillis = 5000.0
)

// Requirements is what a request asks of an endpoint.
type Requirements struct {
	// PromptTokens and Output are in tokens; both are 0 for plain services.
	PromptTokens, OutputTokens int
	// DataCentre is where the request came in.
	DataCentre string
	// NewestVersion is the newest version of its model.
	NewestVersion int
	// MinVersion is the oldest version that should still be in use.
	MinVersion int
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	View monitor.View
	// CachedTokens is the number of prompt tokens that the endpoint keeps.
	CachedTokens int
	// Excluded excludes the endpoint, such as one tried before.
	Excluded bool
}

// Source is a place from which kept parts can be fetched: an engine or a store.
type Source struct {
	DataCentre string
	// CachedTokens is the number of tokens from the prompt's beginning that it keeps
	// ready, for engines with these Weights.
	CachedTokens, Weights int
	// LinkMbps is the rate of its link in Mbit/s.
	LinkMbps float64
	// QueuedTokens is the number of tokens that wait for the link.
	QueuedTokens int
}

// Choice is a place with what is expected of it.
type Choice struct {
	// CandidateIndex is the index of the candidate, -1 if there is none.
	CandidateIndex int
	// SourceIndex is the index of the source to fetch parts from, or -1.
	SourceIndex int
	// PredictedMillis is the predicted time until the answer begins.
	PredictedMillis float64
	// UnscaledMillis is Millis at the neutral pace, from which the pace is learned.
	UnscaledMillis float64
	// PrefillTokens is the number of tokens that must be read.
	PrefillTokens int
	// Cost is what places are compared by: Millis with penalties.
	Cost float64
	// Full reports that the endpoint has no room for a long prompt now.
	Full bool
}

// Choose returns the place of least cost, one with room if there is any, and
// with it where parts are fetched.
func Choose(need Requirements, candidates []Candidate, sources []Source) Choice {
	best := Choice{CandidateIndex: -1, SourceIndex: -1}
	floor := need.MinVersion
	if !anyAbove(floor, candidates) {
		floor = 0
	}
	for place, candidate := range candidates {
		if candidate.Excluded || candidate.View.Left || candidate.View.Weights < floor {
			continue
		}
		choice := weigh(need, candidate, place, sources)
		if best.CandidateIndex < 0 || best.Full && !choice.Full || best.Full == choice.Full && choice.Cost < best.Cost {
			best = choice
		}
	}
	return best
}

// anyAbove reports whether an endpoint has weights in use. While none has, an
// answer on older ones is better than none.
func anyAbove(floor int, candidates []Candidate) bool {
	for _, candidate := range candidates {
		if !candidate.View.Left && candidate.View.Weights >= floor {
			return true
		}
	}
	return false
}

// weigh predicts what comes of one place.
func weigh(need Requirements, candidate Candidate, place int, sources []Source) Choice {
	view := candidate.View
	choice := Choice{CandidateIndex: place, SourceIndex: -1}
	if view.Engine == nil {
		choice.UnscaledMillis = serviceMillis * (1 + float64(max(0, view.Load.Requests+1-view.Entry.Slots)))
		choice.PredictedMillis = choice.UnscaledMillis * view.LatencyRatio
		choice.Cost = choice.PredictedMillis + float64(view.Load.Requests) + penalties(need, view)
		return choice
	}
	choice.PrefillTokens = max(need.PromptTokens-candidate.CachedTokens, 1)
	fetch := 0.0
	for i, source := range sources {
		gain := source.CachedTokens - candidate.CachedTokens
		if gain <= 0 || source.Weights != view.Weights {
			continue
		}
		millis := transfer(view, source, gain)
		saved := float64(choice.PrefillTokens-(need.PromptTokens-source.CachedTokens)) / tokensPerMilli * view.LatencyRatio
		if millis-fetch < saved {
			choice.SourceIndex, choice.PrefillTokens, fetch = i, max(need.PromptTokens-source.CachedTokens, 1), millis
		}
	}
	choice.UnscaledMillis = baseMillis + float64(view.Load.PrefillTokens+choice.PrefillTokens)/tokensPerMilli + requestMillis*float64(view.Load.Requests)
	choice.PredictedMillis = choice.UnscaledMillis*view.LatencyRatio + fetch + room(need, view)
	choice.Cost = choice.PredictedMillis + penalties(need, view)
	choice.Full = full(need, view)
	return choice
}

// transfer returns the time in which gain tokens come from source.
func transfer(view monitor.View, source Source, gain int) float64 {
	millis := view.Engine.TransferMillis(gain+source.QueuedTokens, source.LinkMbps)
	if source.DataCentre != view.Entry.DataCentre {
		millis *= crossTransfer
	}
	return millis
}

// full reports whether a long prompt must wait: for others to end, or for an
// engine that would refuse it. Else engines that load, which are empty, would
// go before all that work.
func full(need Requirements, view monitor.View) bool {
	capacity := float64(view.Engine.CapacityTokens)
	if float64(need.PromptTokens) < longPrompt*capacity {
		return false
	}
	if view.Loading || view.InBackoff {
		return true
	}
	if view.Load.Requests == 0 {
		return false
	}
	return float64(view.Load.KVTokens+need.PromptTokens) > runningShare*capacity
}

// room returns the wait for a place in the batch and for memory.
func room(need Requirements, view monitor.View) float64 {
	wait := slotMillis * float64(max(0, view.Load.Requests+1-view.Engine.Slots))
	full := float64(view.Load.KVTokens+need.PromptTokens+need.OutputTokens) / float64(max(view.Engine.CapacityTokens, 1))
	if full > memoryFull {
		wait += (full - memoryFull) * memoryMillis
	}
	return wait
}

func penalties(need Requirements, view monitor.View) float64 {
	cost := 0.0
	if view.Entry.DataCentre != need.DataCentre {
		cost += crossMillis
	}
	cost += silentWeight * max(0, float64(view.SilentFor.Milliseconds())-silentMillis)
	if view.InBackoff {
		cost += shunMillis
	}
	if view.Leaving {
		cost += leaveMillis
	}
	if view.Loading {
		cost += loadMillis
	}
	if view.Weights < need.NewestVersion {
		cost += oldMillis
	}
	return cost
}
