// Package balancer chooses the endpoint with the least work in flight, as a
// baseline and for plain services.
package balancer

import (
	"wisteriadrum/chooser"
	"wisteriadrum/tracker"
)

type least struct{}

// New returns a policy that chooses the endpoint with the fewest requests in
// flight, as reported last and as sent since, preferring local ones.
func New() chooser.Policy { return least{} }

func (least) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	var best *tracker.Track
	bestLoad, ties := 0, 0
	for _, track := range tracks {
		if !query.Usable(track) {
			continue
		}
		load := 2 * max(track.InFlight(), track.View().Running)
		if !track.Local {
			load++
		}
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, ties = track, load, 1
		case load == bestLoad:
			ties++
			if query.Rand.IntN(ties) == 0 {
				best = track
			}
		}
	}
	return chooser.Choice{Track: best, Reason: "least"}
}
