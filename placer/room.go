package placer

import "wisteriadrum/monitor"

const (
	// maxRunningShare is the share of an engine's KV memory that running
	// requests may use before long prompts have to wait. The rest holds cached
	// prefixes, whose eviction would cause more prefill work. The limit also
	// bounds the prefill work between two tokens of a stream.
	maxRunningShare = 0.4
	// longPromptShare is the share of an engine's KV memory above which a
	// prompt counts as long.
	longPromptShare = 0.015
	// besideShare is the share of KV memory that other requests may hold beside a prompt
	// that is too large for maxRunningShare with them.
	besideShare = 0.25
)

// unavailable reports whether an engine would refuse a long prompt. Engines in backoff or
// loading weights are empty, so they would otherwise be preferred over engines that work.
func unavailable(candidate Candidate) bool {
	return candidate.View.Loading || candidate.View.InBackoff
}

// saturated reports whether a long prompt has to wait for running requests to end.
func saturated(requirements Requirements, candidate Candidate, limitTokens int) bool {
	view := candidate.View
	if candidate.Roomless {
		return true
	}
	if view.Load.Requests == 0 || candidate.Claimed {
		return false
	}
	return view.Load.KVTokens+requirements.PromptTokens > limitTokens
}

// limitTokens returns the KV memory that running requests may hold with a long prompt, 0
// for other requests. A prompt of any size has room where next to nothing runs.
func limitTokens(requirements Requirements, view monitor.View) int {
	capacity := float64(view.Engine.CapacityTokens)
	if float64(requirements.PromptTokens) < longPromptShare*capacity {
		return 0
	}
	return max(int(maxRunningShare*capacity), requirements.PromptTokens+int(besideShare*capacity))
}
