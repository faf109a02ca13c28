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
	for pacer.Wait(ctx, silenceCheckInterval) {
		now := r.deps.Now()
		for _, t := range r.silentAttempts(now) {
			if !r.budget(t.request.Pool.Name).TryRetry() {
				continue // the budget allows no retry
			}
			t.abandoned.Store(true)
			_ = t.conn.SetDeadline(time.Unix(1, 0)) // unblocks the reader, which reports the failure
		}
	}
}

// silentAttempts returns the attempts whose endpoint has been silent for longer
// than their limit.
func (r *Relayer) silentAttempts(now time.Time) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []*attempt
	for t := range r.watched {
		limit := t.silenceLimit
		if t.abandoned.Load() {
			continue
		}
		if t.endpoint.SilentFor(now) > limit && now.Sub(t.sentAt)-time.Duration(t.lastProgress.Load()) > limit {
			silent = append(silent, t)
		}
	}
	return silent
}

// startWatch adds t to the watched attempts and returns the function that
// removes it.
func (r *Relayer) startWatch(t *attempt) func() {
	// An attempt that cannot be retried elsewhere is not abandoned.
	if t.request.Route.Stream || !t.request.Repeatable() || t.runs+1 >= t.request.Route.Attempts || t.sends+1 >= maxSends {
		return func() {}
	}
	t.silenceLimit = t.firstByteLimit()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched[t] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watched, t)
	}
}

// recordProgress records that the endpoint sent data for this request.
func (r *Relayer) recordProgress(t *attempt) {
	now := r.deps.Now()
	t.lastProgress.Store(int64(now.Sub(t.sentAt)))
	t.endpoint.RecordReceived(now)
}

// firstByteLimit returns the silence before the first byte of an answer after
// which the request is retried elsewhere.
func (t *attempt) firstByteLimit() time.Duration {
	predicted := time.Duration(t.choice.PredictedMillis) * time.Millisecond
	target := time.Duration(t.request.Route.TargetMillis) * time.Millisecond
	return max(2*predicted, time.Duration(silenceTargetShare*float64(target)))
}
