package roller

import (
	"sort"

	"wisteriadrum/monitor"
)

// Step is what the roller knows of one engine that has old weights.
type Step struct {
	Place *monitor.Monitor
	// Flight is the number of requests that run there.
	Flight int
	// Version is the version that it has.
	Version int
}

// width returns how many engines of a pool may be out of service at once. A
// fifth of them load together as fast as one; the others still finish what
// they run.
func width(engines int) int {
	const loadShare, drainShare = 5, 2
	return max(1, (engines+loadShare/2)/loadShare*drainShare-1)
}

// Plan returns the engines to order next: those with the oldest weights first,
// and of these the ones that finish soonest, so that few requests begin on old
// weights and the others carry the load.
func Plan(engines int, busy int, old []Step) []Step {
	room := width(engines) - busy
	if room <= 0 {
		return nil
	}
	next := append([]Step(nil), old...)
	sort.SliceStable(next, func(a, b int) bool {
		if next[a].Version != next[b].Version {
			return next[a].Version < next[b].Version
		}
		return next[a].Flight < next[b].Flight
	})
	return next[:min(room, len(next))]
}
