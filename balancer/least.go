// Package balancer implements a least-requests policy. It is used for plain services
// and as a baseline for other policies.
package balancer

import (
	"wisteriadrum/chooser"
	"wisteriadrum/tracker"
)

type leastRequests struct{}

// New returns a policy that chooses the endpoint with the fewest running requests.
// These are the last reported number or the number in flight from this instance,
// whichever is greater. Local endpoints win ties, and further ties are broken at
// random.
func New() chooser.Policy { return leastRequests{} }

func (leastRequests) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
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
