// Package eventer chooses by a map that is kept from the engines' cache
// events alone, as a baseline.
package eventer

import (
	"wisteriadrum/chooser"
	"wisteriadrum/tracker"
)

// Map is a policy that sends a request to the holder of its longest prefix
// and, where no holder is known, to the endpoint with the least work.
type Map struct {
	holders map[uint64]map[string]bool // endpoint names by level
	spare   chooser.Policy
}

// New returns a map that knows nothing; spare chooses where it has no answer.
func New(spare chooser.Policy) *Map {
	return &Map{holders: map[uint64]map[string]bool{}, spare: spare}
}

// Stored takes in that endpoint holds level.
func (m *Map) Stored(level uint64, endpoint string) {
	if m.holders[level] == nil {
		m.holders[level] = map[string]bool{}
	}
	m.holders[level][endpoint] = true
}

// Evicted takes in that endpoint holds level no more.
func (m *Map) Evicted(level uint64, endpoint string) {
	delete(m.holders[level], endpoint)
	if len(m.holders[level]) == 0 {
		delete(m.holders, level)
	}
}

// Cleared takes in that endpoint holds nothing.
func (m *Map) Cleared(endpoint string) {
	for level := range m.holders {
		m.Evicted(level, endpoint)
	}
}

// Choose returns the holder of the longest known prefix with the fewest
// requests in flight.
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
	return m.spare.Choose(query, tracks)
}
