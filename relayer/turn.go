package relayer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriadrum/detector"
	"wisteriadrum/judge"
	"wisteriadrum/pacer"
	"wisteriadrum/refuser"
)

const (
	// turnCheckInterval is the mean interval at which a request that waits for a turn asks
	// again.
	turnCheckInterval = 50 * time.Millisecond
	// maxTurnWait bounds that wait: a request that is sent late in its time may end before
	// it shows whether the part is sound.
	maxTurnWait = time.Second
)

// turn is the right to send a request whose prompt has parts on probation.
type turn struct {
	probations []detector.Probation
	end        func()
}

// waitForPlace waits until the request may be sent and chooses the endpoint. Parts of its
// prompt may come on probation while it waits for room.
func (r *Relayer) waitForPlace(ctx context.Context, e *exchange) *refuser.Refusal {
	for {
		if refusal := r.awaitTurn(ctx, e); refusal != nil {
			return refusal
		}
		if refusal := r.waitForRoom(ctx, e); refusal != nil {
			e.endTurn()
			return refusal
		}
		if _, missing := r.missingTurn(e, r.deps.Now()); !missing {
			return nil
		}
	}
}

// awaitTurn waits for a short time until a request may be sent whose prompt has parts on
// probation, and refuses it otherwise, so that its caller has time to retry.
func (r *Relayer) awaitTurn(ctx context.Context, e *exchange) *refuser.Refusal {
	startedAt := r.deps.Now()
	giveUpAt := startedAt.Add(min(maxTurnWait, e.deadline.Sub(startedAt)/2))
	for {
		now := r.deps.Now()
		if refusal := r.refusePart(e, now); refusal != nil {
			e.endTurn()
			return refusal
		}
		probations, missing := r.missingTurn(e, now)
		if !missing {
			return nil
		}
		e.endTurn()
		if end, granted := r.deps.TakeTurn(detector.Scope(e.request), probations, e.deadline); granted {
			e.turn = &turn{probations: probations, end: end}
			return nil
		}
		if !now.Before(giveUpAt) {
			part := probations[len(probations)-1].Suspect
			return refuser.New(refuser.Overloaded, judge.NotRun, "part %q of the prompt may crash endpoints, other requests with it were under way for %d ms", part.Name, now.Sub(startedAt).Milliseconds()).WithRetryAt(now.Add(retryAfter + rand.N(retrySpread)))
		}
		if refusal := r.pause(ctx, e, pacer.Jitter(turnCheckInterval)); refusal != nil {
			return refusal
		}
	}
}

// missingTurn returns the parts of the prompt that are on probation, and whether the
// request has no turn for one of them. A stream that had begun needs none: its prompt is
// sound.
func (r *Relayer) missingTurn(e *exchange, now time.Time) ([]detector.Probation, bool) {
	if e.answer.Begun() || e.lastEventID != "" {
		return nil, false
	}
	probations := r.deps.Detector.Probations(e.request, r.oldestWeights(e.request), now)
	missing := slices.ContainsFunc(probations, func(p detector.Probation) bool { return !e.turn.covers(p) })
	return probations, missing
}

// covers reports whether the turn was granted for a part.
func (t *turn) covers(probation detector.Probation) bool {
	return t != nil && slices.ContainsFunc(t.probations, func(p detector.Probation) bool { return p.Suspect.Part == probation.Suspect.Part })
}

// endTurn gives the turn back if there is one.
func (e *exchange) endTurn() {
	if e.turn != nil {
		go e.turn.end()
		e.turn = nil
	}
}

// refusePart refuses a prompt with a part that crashes endpoints.
func (r *Relayer) refusePart(e *exchange, now time.Time) *refuser.Refusal {
	part, found := r.deps.Detector.Find(e.request, r.oldestWeights(e.request), now)
	if !found {
		return nil
	}
	return refuser.New(refuser.PartQuarantined, judge.NotRun, "part %q of the prompt crashed endpoints %d times in succession", part.Name, part.Level).WithRetryAt(part.TrialAt.Add(rand.N(retrySpread)))
}
