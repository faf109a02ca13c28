package relayer

import (
	"context"
	"errors"

	"wisteriadrum/drainer"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/router"
)

// errStopping is the cause with which the contexts of aborted requests end.
var errStopping = errors.New("the instance is stopping")

// Drain applies the terms of a planned stop to everything that is sent to an endpoint from
// now on.
func (r *Relayer) Drain(terms drainer.Drainer) { r.terms.Store(&terms) }

// Abort ends the requests in progress, and those that follow, with refusals.
func (r *Relayer) Abort() { r.abort() }

// withAbort returns a context that also ends when Abort is called, and the function that
// releases it.
func (r *Relayer) withAbort(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(r.aborted, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endedRefusal returns the refusal for a request whose context has ended.
func endedRefusal(ctx context.Context, ran judge.Verdict) *refuser.Refusal {
	if errors.Is(context.Cause(ctx), errStopping) {
		return refuser.New(refuser.Stopping, ran, "%s", errStopping)
	}
	return refuser.New(refuser.CallerGone, ran, "the caller left")
}

// admit refuses a request that a planned stop would cut off, whose caller may return to
// another instance at once, and bounds the deadline of any other.
func (r *Relayer) admit(e *exchange) *refuser.Refusal {
	terms := r.terms.Load()
	if terms == nil {
		return nil
	}
	targetBy := e.request.Route.TargetDeadline(e.request.ReceivedAt)
	if !terms.Admits(e.request.Route.Repeat == router.Once, targetBy, e.deadline) {
		return refuser.New(refuser.Stopping, judge.NotRun, "the instance stops before the request may have ended").WithRetryAt(r.deps.Now())
	}
	e.deadline = terms.Bound(e.deadline)
	return nil
}
