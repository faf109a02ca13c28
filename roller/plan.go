package roller

import (
	"sort"

	"wisteriadrum/monitor"
)

// OutdatedEngine is what the roller knows of one engine that has old weights.
type OutdatedEngine struct {
	Endpoint *monitor.Monitor
	// InFlight is the number of requests that run there.
	InFlight int
	// Version is the version that it has.
	Version int
}

// loadShare is the share of a pool's engines that load together as fast as one.
const loadShare = 5

// width returns how many engines of a pool may be out of service at once.
func width(engines int) int { return max(1, (engines+loadShare/2)/loadShare) }

// Plan returns the engines to order next: those with the oldest weights first,
// and of these the ones that finish soonest, so that few requests begin on old
// weights and the others carry the load.
func Plan(engines int, busy int, old []OutdatedEngine) []OutdatedEngine {
	room := width(engines) - busy
	if room <= 0 {
		return nil
	}
	next := append([]OutdatedEngine(nil), old...)
	sort.SliceStable(next, func(a, b int) bool {
		if next[a].Version != next[b].Version {
			return next[a].Version < next[b].Version
		}
		return next[a].InFlight < next[b].InFlight
	})
	return next[:min(room, len(next))]
}
