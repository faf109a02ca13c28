package relayer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/judge"
	"wisteriadrum/pacer"
	"wisteriadrum/refuser"
)

// movedRefusal means that the configuration has moved the request to another pool, where it
// has to be placed anew. No caller receives it.
var movedRefusal = refuser.New(refuser.NoEndpoint, judge.NotRun, "the route leads to another pool")

// pause waits for a time and then follows the route of the request. It returns the refusal
// of followRoute, or that of a request whose context has ended.
func (r *Relayer) pause(ctx context.Context, e *exchange, wait time.Duration) *refuser.Refusal {
	if !pacer.Wait(ctx, wait) {
		return endedRefusal(ctx, judge.NotRun)
	}
	return r.followRoute(e)
}

// followRoute resolves the request again if the configuration has changed since. It returns
// movedRefusal if that leads to another pool, and a refusal if the request is not allowed any
// more, or not once more.
func (r *Relayer) followRoute(e *exchange) *refuser.Refusal {
	before := e.request.Pool.Name
	if refusal := r.refreshRoute(e.request); refusal != nil {
		return refusal
	}
	if !e.mayRun() {
		return refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "its route does not let it run again")
	}
	after := e.request.Pool.Name
	if after == before {
		return nil
	}
	r.deps.Count.Add("placed", "moved")
	r.deps.Log.Info("request moved to another pool", zap.String("request", e.request.ID), zap.String("from", before), zap.String("pool", after),
		zap.Int64("configuration", e.request.ConfigVersion))
	return movedRefusal
}
