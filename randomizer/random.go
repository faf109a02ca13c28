// Package randomizer implements a random choice. It is a baseline for other policies.
package randomizer

import (
	"wisteriadrum/chooser"
	"wisteriadrum/tracker"
)

type random struct{}

// New returns a policy that chooses a random usable endpoint.
func New() chooser.Policy { return random{} }

func (random) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	if len(tracks) == 0 {
		return chooser.Choice{}
	}
	start := query.Rand.IntN(len(tracks))
	for i := range tracks {
		if track := tracks[(start+i)%len(tracks)]; query.Usable(track) {
			return chooser.Choice{Track: track, Reason: "random"}
		}
	}
	return chooser.Choice{}
}
