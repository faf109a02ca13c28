package roller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wisteriadrum/monitor"
)

// OutdatedEngine is an engine that has old weights.
type OutdatedEngine struct {
	Endpoint *monitor.Monitor
	// InFlight is the number of requests in flight at the engine.
	InFlight int
	// Version is the version of the weights that it has.
	Version int
	// Failures is the number of its updates that failed since one succeeded.
	Failures int
}

// enginesPerLoad limits the engines that load weights at the same time to one in
// five: up to this share, they load as fast together as a single one.
const enginesPerLoad = 5

// maxLoading returns how many of the engines may be out of service at once if
// there is time. The others must be able to serve the requests meanwhile.
func maxLoading(engines int) int { return max(1, (engines+enginesPerLoad/2)/enginesPerLoad) }

// Rollout is the state of the rollout of a version to the engines of a model.
type Rollout struct {
	// Engines is the number of engines, Updating that of those out of service to be
	// updated, and Outdated that of those with older weights, including these.
	Engines, Updating, Outdated int
	// Candidates are the engines that can be ordered now.
	Candidates []OutdatedEngine
	// OlderUntil is when requests must no longer start on the oldest weights in
	// use.
	OlderUntil time.Time
	// UpdateMillis is the time that an update took lately, 0 if unknown.
	UpdateMillis float64
}

// loading returns how many engines may be out of service at once: so many that
// half of the time until OlderUntil suffices for all, the other half being the
// reserve for an instance that has to take over, but at most twice maxLoading.
// More would not be faster, since engines that load together slow each other.
func (r Rollout) loading(now time.Time) int {
	usual := maxLoading(r.Engines)
	leftMillis := float64(r.OlderUntil.Sub(now).Milliseconds()) / 2
	needed := math.Ceil(float64(r.Outdated) * r.UpdateMillis / max(leftMillis, 1))
	return int(min(max(float64(usual), needed), float64(2*usual)))
}

// Plan returns the engines to order next. It prefers the oldest weights, so that
// few requests start on them, then the fewest failures, so that an engine which does
// not execute orders keeps no other waiting, and then the fewest requests in flight,
// since these finish first.
func Plan(rollout Rollout, now time.Time) []OutdatedEngine {
	room := rollout.loading(now) - rollout.Updating
	if room <= 0 {
		return nil
	}
	next := append([]OutdatedEngine(nil), rollout.Candidates...)
	slices.SortStableFunc(next, func(a, b OutdatedEngine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.InFlight, b.InFlight))
	})
	return next[:min(room, len(next))]
}
