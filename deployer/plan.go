package deployer

import (
	"sort"

	"wisteriadrum/grouper"
	"wisteriadrum/tracker"
)

// loadsAtOnce limits the engines that load weights at the same time, because the
// weight store cannot serve more of them well.
const loadsAtOnce = 2

// plan returns the engines of a pool that should load other weights now, those
// with the fewest running requests first. At most loadsAtOnce engines load at the
// same time, and at least pool.MinServing keep serving. loading is the number
// of engines that load already.
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
		lost := 0
		if pool.Accepts(track.View().Weights) {
			lost = 1
		}
		if loading+len(chosen) == loadsAtOnce || serving-lost < pool.MinServing && lost > 0 {
			break
		}
		serving -= lost
		chosen = append(chosen, track)
	}
	return chosen
}
