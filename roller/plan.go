package roller

import (
	"sort"

	"wisteriadrum/monitor"
)

// OutdatedEngine is an engine that has old weights.
type OutdatedEngine struct {
	Endpoint *monitor.Monitor
	// InFlight is the number of requests in flight at the engine.
	InFlight int
	// Version is the version of the weights that it has.
	Version int
}

// enginesPerLoad limits the engines that load weights at the same time to one in
// five: up to this share, they load as fast together as a single one.
const enginesPerLoad = 5

// maxLoading returns how many of the engines may be out of service at once. The
// others must be able to serve the requests meanwhile.
func maxLoading(engines int) int { return max(1, (engines+enginesPerLoad/2)/enginesPerLoad) }

// Plan returns the engines to order next, given the number of engines and of
// those that are being updated. It prefers the oldest weights, so that few
// requests start on them, and then the fewest requests in flight, since these
// finish first.
func Plan(engines int, updating int, outdated []OutdatedEngine) []OutdatedEngine {
	room := maxLoading(engines) - updating
	if room <= 0 {
		return nil
	}
	next := append([]OutdatedEngine(nil), outdated...)
	sort.SliceStable(next, func(a, b int) bool {
		if next[a].Version != next[b].Version {
			return next[a].Version < next[b].Version
		}
		return next[a].InFlight < next[b].InFlight
	})
	return next[:min(room, len(next))]
}
