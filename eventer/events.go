// Package eventer implements a policy that uses only the engines' cache events. It is
// a baseline for other policies.
package eventer

import (
	"wisteriadrum/chooser"
	"wisteriadrum/tracker"
)

// Map is a policy that sends a request to the holder of its longest prefix. If no
// holder is known, another policy chooses.
type Map struct {
	holders  map[uint64]map[string]bool // endpoint names by prefix hash
	fallback chooser.Policy
}

// New returns an empty map. The policy fallback chooses for prefixes without a known
// holder.
func New(fallback chooser.Policy) *Map {
	return &Map{holders: map[uint64]map[string]bool{}, fallback: fallback}
}

// Stored records that endpoint has stored the prefix level.
func (m *Map) Stored(level uint64, endpoint string) {
	if m.holders[level] == nil {
		m.holders[level] = map[string]bool{}
	}
	m.holders[level][endpoint] = true
}

// Evicted records that endpoint has evicted the prefix level.
func (m *Map) Evicted(level uint64, endpoint string) {
	delete(m.holders[level], endpoint)
	if len(m.holders[level]) == 0 {
		delete(m.holders, level)
	}
}

// Cleared records that the cache of endpoint is empty.
func (m *Map) Cleared(endpoint string) {
	for level := range m.holders {
		m.Evicted(level, endpoint)
	}
}

// Choose returns the holder of the longest known prefix. Of several holders, it
// returns the one with the fewest requests in flight.
func (m *Map) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	for level := query.Chain.Depth() - 1; level >= 0; level-- {
		holders := m.holders[query.Chain.Level(level)]
		if len(holders) == 0 {
			continue
		}
		var best *tracker.Track
		for _, track := range tracks {
			if holders[track.Endpoint.Name] && query.Usable(track) && (best == nil || track.InFlight() < best.InFlight()) {
				best = track
			}
		}
		if best != nil {
			return chooser.Choice{Track: best, Reason: "event", CachedLevels: level + 1}
		}
	}
	return m.fallback.Choose(query, tracks)
}
