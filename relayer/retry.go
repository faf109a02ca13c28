package relayer

import (
	"context"

	"wisteriadrum/judge"
	"wisteriadrum/refuser"
)

// budgetRefusal means that a retry was not sent, since the requests that allowed it are too
// long ago. The request ends with the refusal of its last send.
var budgetRefusal = refuser.New(refuser.UpstreamBusy, judge.NotRun, "the retry budget is used up")

// reserveRetry reports whether the request is sent to another endpoint after a failure, and
// reserves that retry in the budget unless it is reserved already or no send has reached
// the pool.
func (r *Relayer) reserveRetry(ctx context.Context, e *exchange) bool {
	if ctx.Err() != nil || e.answer.Err() != nil {
		return false
	}
	if !e.mayRun() {
		return false
	}
	if e.sends >= maxSends {
		return false
	}
	if !e.isRetry() || e.reserved != nil {
		return true
	}
	budget := r.budget(e.request.Pool.Name)
	if !budget.Reserve() {
		r.deps.Count.Add("retry", "exhausted")
		return false
	}
	e.reserved = budget
	return true
}

// spendRetry takes the send that follows from the budget if it is a retry, and reports
// whether the budget allows it. The configuration may have moved the route to another pool
// since the retry was reserved.
func (r *Relayer) spendRetry(e *exchange) bool {
	if !e.isRetry() {
		return true
	}
	budget := r.budget(e.request.Pool.Name)
	if e.reserved != budget {
		e.cancelRetry()
		if !budget.Reserve() {
			r.deps.Count.Add("retry", "late")
			return false
		}
	}
	e.reserved = nil
	if !budget.Spend() {
		r.deps.Count.Add("retry", "late")
		return false
	}
	r.deps.Count.Add("retry", "sent")
	return true
}

// mayRun reports whether the request may be sent, once more if it may have run.
func (e *exchange) mayRun() bool {
	return e.runs == 0 || !e.unended && e.request.Repeatable() && e.runs < e.request.Route.Attempts
}

// isRetry reports whether the next send is a retry: an earlier one has reached the pool, or
// more than one another pool.
func (e *exchange) isRetry() bool { return e.sends > len(e.misdirected) }

// cancelRetry ends the reservation of a retry that is not sent.
func (e *exchange) cancelRetry() {
	if e.reserved != nil {
		e.reserved.Cancel()
		e.reserved = nil
	}
}
