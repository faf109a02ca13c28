package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriadrum/judge"
	"wisteriadrum/pacer"
	"wisteriadrum/refuser"
)

// quotaWaitPart is the part of the latency target for which a request waits at most until
// its workspace is within its limit. Most of those that wait so long still meet the target.
const quotaWaitPart = 8

// Quotas keeps the limits of workspaces over all instances.
type Quotas interface {
	// RefusedUntil returns when requests of a workspace may be sent again with that rank
	// and so many tokens, and false if that is not known to be later than now.
	RefusedUntil(workspace string, tokens float64, rank int) (time.Time, bool)
	// Take takes the tokens of a request that is about to be sent. It returns whether it
	// may be sent, and otherwise when there will be tokens.
	Take(workspace string, tokens float64, rank int) (granted bool, retryAt time.Time)
	// Return returns the tokens that a request took at takenAt, since it has not run.
	Return(workspace string, tokens float64, takenAt time.Time)
}

// refuseAboveQuota refuses a request at once if its workspace is known to be above its limit
// for longer than the request waits.
func (r *Relayer) refuseAboveQuota(e *exchange, now time.Time) *refuser.Refusal {
	if !e.request.Workspace.Quota.Limited() {
		return nil
	}
	until, refused := r.deps.Quotas.RefusedUntil(e.request.Workspace.Name, e.quotaCost(), e.request.Priority())
	if !refused || !until.After(quotaWaitUntil(e, now)) {
		return nil
	}
	return quotaRefusal(e, until)
}

// takeQuota takes the tokens of a request that is about to be sent from its workspace, and
// refuses it if that is above its limit.
func (r *Relayer) takeQuota(ctx context.Context, e *exchange) *refuser.Refusal {
	waitUntil := quotaWaitUntil(e, r.deps.Now())
	for {
		if refusal := r.followRoute(e); refusal != nil || !e.request.Workspace.Quota.Limited() {
			return refusal
		}
		granted, retryAt := r.deps.Quotas.Take(e.request.Workspace.Name, e.quotaCost(), e.request.Priority())
		now := r.deps.Now()
		if granted {
			e.quotaTakenAt = now
			return nil
		}
		if retryAt.After(waitUntil) {
			return quotaRefusal(e, retryAt)
		}
		if !pacer.Wait(ctx, retryAt.Sub(now)) {
			return endedRefusal(ctx, judge.NotRun)
		}
	}
}

// returnQuota returns the tokens of a request that has not run.
func (r *Relayer) returnQuota(e *exchange) {
	if !e.quotaTakenAt.IsZero() {
		r.deps.Quotas.Return(e.request.Workspace.Name, e.quotaCost(), e.quotaTakenAt)
		e.quotaTakenAt = time.Time{}
	}
}

// quotaCost returns how many tokens the request takes.
func (e *exchange) quotaCost() float64 {
	return e.request.Workspace.Quota.Cost(e.request.PromptTokens + e.request.OutputTokens)
}

// quotaWaitUntil returns until when a request waits that came to wait at now.
func quotaWaitUntil(e *exchange, now time.Time) time.Time {
	return now.Add(time.Duration(e.request.Route.TargetMillis) * time.Millisecond / quotaWaitPart)
}

// quotaRefusal returns the refusal of a request above the limit of its workspace. Its caller
// returns at until or a little later, as many others do.
func quotaRefusal(e *exchange, until time.Time) *refuser.Refusal {
	return refuser.New(refuser.RateLimited, judge.NotRun, "workspace %s is above its limit", e.request.Workspace.Name).WithRetryAt(until.Add(rand.N(retrySpread)))
}
