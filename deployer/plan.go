package deployer

import (
	"sort"

	"wisteriadrum/grouper"
	"wisteriadrum/tracker"
)

// loadsAtOnce is the number of loads that the weight store carries well.
const loadsAtOnce = 2

// plan returns the engines of a pool to be ordered now: those with other
// weights than the pool's, the idlest first, so that no more than so many
// load at once and the pool keeps the endpoints that it must.
func plan(pool grouper.Pool, tracks []*tracker.Track, loading int) []*tracker.Track {
	serving := 0
	var outdated []*tracker.Track
	for _, track := range tracks {
		view := track.View()
		if view.Weights == "" || track.Leaving() {
			continue
		}
		if pool.Accepts(view.Weights) {
			serving++
		}
		if view.Weights != pool.Version {
			outdated = append(outdated, track)
		}
	}
	sort.SliceStable(outdated, func(i, j int) bool { return outdated[i].View().Running < outdated[j].View().Running })
	var chosen []*tracker.Track
	for _, track := range outdated {
		costs := 0
		if pool.Accepts(track.View().Weights) {
			costs = 1
		}
		if loading+len(chosen) == loadsAtOnce || serving-costs < pool.MinServing && costs > 0 {
			break
		}
		serving -= costs
		chosen = append(chosen, track)
	}
	return chosen
}
