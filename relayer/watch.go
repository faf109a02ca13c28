package relayer

import (
	"context"
	"time"

	"wisteriadrum/pacer"
)

const (
	// silenceCheckInterval is the interval between checks for silent endpoints.
	silenceCheckInterval = 50 * time.Millisecond
	// silenceTargetShare is the fraction of a route's latency target after
	// which a repeatable request is retried elsewhere if its endpoint is
	// silent.
	silenceTargetShare = 0.6
)

// WatchSilent abandons attempts at silent endpoints, for requests that may be
// repeated elsewhere, until ctx is cancelled. It handles endpoints that vanish
// without closing their connections, which then hang. Streams are not
// abandoned: engines are silent during the prefill of other long prompts, and
// an abandoned stream is cut if no other engine accepts it.
func (r *Relayer) WatchSilent(ctx context.Context) {
	for r.awaitWatched(ctx) && pacer.Wait(ctx, silenceCheckInterval) {
		now := r.deps.Now()
		for _, a := range r.silentAttempts(now) {
			r.abandon(a)
		}
	}
}

// abandon ends an attempt whose retry the budget allows, unless it has ended meanwhile: its
// connection may carry another request then.
func (r *Relayer) abandon(a *attempt) {
	budget := r.budget(a.entry.Pool) // the request may be resolved again once the attempt has ended
	if !budget.Reserve() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, watched := r.watched[a]; !watched {
		budget.Cancel()
		return
	}
	a.elsewhere = budget
	a.abandoned.Store(true)
	a.interrupt()
}

// awaitWatched waits until there is an attempt to watch. It returns false when ctx
// ends.
func (r *Relayer) awaitWatched(ctx context.Context) bool {
	for {
		r.mu.Lock()
		watched := len(r.watched)
		r.mu.Unlock()
		if watched > 0 {
			return true
		}
		select {
		case <-r.watchStarted:
		case <-ctx.Done():
			return false
		}
	}
}

// silentAttempts returns the attempts whose endpoint has been silent for longer
// than their limit.
func (r *Relayer) silentAttempts(now time.Time) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []*attempt
	for a := range r.watched {
		limit := a.silenceLimit
		if a.abandoned.Load() {
			continue
		}
		if a.endpoint.SilentFor(now) > limit && now.Sub(a.sentAt)-time.Duration(a.lastProgress.Load()) > limit {
			silent = append(silent, a)
		}
	}
	return silent
}

// startWatch adds a to the watched attempts and returns the function that
// removes it.
func (r *Relayer) startWatch(a *attempt) func() {
	// An attempt that cannot be retried elsewhere is not abandoned.
	if a.request.Route.Stream || !a.request.Repeatable() || a.runs+1 >= a.request.Route.Attempts || a.sends+1 >= maxSends {
		return func() {}
	}
	a.silenceLimit = a.firstByteLimit()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched[a] = struct{}{}
	select {
	case r.watchStarted <- struct{}{}:
	default: // the watch runs already
	}
	return func() { r.endWatch(a) }
}

// endWatch removes a from the watched attempts. If it was abandoned, its retry is reserved.
func (r *Relayer) endWatch(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watched, a)
	if a.elsewhere == nil {
		return
	}
	a.cancelRetry() // an answer that arrived all the same may have reserved one
	a.reserved = a.elsewhere
}

// recordProgress records that the endpoint sent data for this request.
func (r *Relayer) recordProgress(a *attempt) {
	now := r.deps.Now()
	a.lastProgress.Store(int64(now.Sub(a.sentAt)))
	a.endpoint.RecordReceived(now)
}

// firstByteLimit returns the silence before the first byte of an answer after
// which the request is retried elsewhere.
func (a *attempt) firstByteLimit() time.Duration {
	predicted := time.Duration(a.choice.PredictedMillis) * time.Millisecond
	target := time.Duration(a.request.Route.TargetMillis) * time.Millisecond
	return max(2*predicted, time.Duration(silenceTargetShare*float64(target)))
}
