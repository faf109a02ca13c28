package relayer

import (
	"context"
	"time"

	"wisteriadrum/pacer"
	"wisteriadrum/requester"
)

// closeDelay is the time for an endpoint to learn that a connection was closed.
const closeDelay = 100 * time.Millisecond

// requiredWeights returns the oldest version of a model on which a request may start after
// the given time, and whether it is binding.
func (r *Relayer) requiredWeights(model string, after time.Duration) (version int, binding bool) {
	versions := r.deps.Registrar.Versions(model)
	version = versions.Required(r.deps.Registrar.Now().Add(after))
	since, fromStart := r.deps.FollowedSince()
	return version, versions.Binding(version, since, fromStart, r.deps.Now().Add(after-r.deps.WeightsPeriod))
}

// oldestWeights returns the oldest version of the model's weights on which a request may
// start now, 0 if any may be used.
func (r *Relayer) oldestWeights(request *requester.Request) int {
	if request.Model == "" {
		return 0
	}
	required, _ := r.requiredWeights(request.Model, 0)
	return required
}

// limitWait ends the attempt if its endpoint has not begun to answer when its weights go
// out of use: a request that was sent in time may wait at the endpoint for longer. Only a
// stream shows whether it has begun. The returned function ends the limit.
func (r *Relayer) limitWait(ctx context.Context, a *attempt) (stop func()) {
	if a.request.Model == "" || !a.request.Route.Stream || a.deadline.Before(r.deps.Now().Add(r.waitLimit(a))) {
		return func() {}
	}
	ctx, stop = context.WithCancel(ctx)
	go func() {
		for pacer.Wait(ctx, r.waitLimit(a)) {
			if r.waitLimit(a) > 0 {
				continue // no newer weights, or their time has changed
			}
			required, binding := r.requiredWeights(a.request.Model, closeDelay)
			if binding && a.weights < required && a.settled.CompareAndSwap(false, true) {
				a.outdated.Store(true)
				a.interrupt()
			}
			return
		}
	}()
	return stop
}

// waitLimit returns how long the attempt may wait at its endpoint from now on. Weights that
// are announced later go out of use a whole period later.
func (r *Relayer) waitLimit(a *attempt) time.Duration {
	until, obsolete := r.deps.Registrar.Versions(a.request.Model).UsableUntil(a.weights)
	if !obsolete {
		return r.deps.WeightsPeriod - r.deps.WeightsMargin
	}
	return until.Sub(r.deps.Registrar.Now()) - closeDelay
}
