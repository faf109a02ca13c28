package detector

import (
	"slices"
	"time"
)

const (
	// historyPeriod and maxHistory bound the crashes of endpoints with which those of a
	// part are compared, and maxLossParts the parts that are kept of one.
	historyPeriod = 30 * time.Second
	maxHistory    = 64
	maxLossParts  = 256
)

// loss is an endpoint that crashed, with the parts of the prompts that it ran.
type loss struct {
	endpoint string
	at       time.Time
	parts    []uint64
}

// history is the latest losses, the oldest first.
type history []loss

// with returns the history after an endpoint crashed that ran a prompt, without losses that
// are too old.
func (h history) with(endpoint string, prompt []Suspect, now time.Time) history {
	added := loss{endpoint: endpoint, at: now}
	next := make(history, 0, len(h)+1)
	for _, known := range h {
		switch {
		case known.endpoint == endpoint:
			added.parts = slices.Clone(known.parts)
		case !known.at.Before(now.Add(-historyPeriod)):
			next = append(next, known)
		}
	}
	for _, part := range prompt {
		if len(added.parts) < maxLossParts && !slices.Contains(added.parts, part.Part) {
			added.parts = append(added.parts, part.Part)
		}
	}
	next = append(next, added)
	return next[max(0, len(next)-maxHistory):]
}

// without returns how many endpoints crashed that ran no prompt with a part.
func (h history) without(part uint64) int {
	count := 0
	for _, l := range h {
		if !slices.Contains(l.parts, part) {
			count++
		}
	}
	return count
}
