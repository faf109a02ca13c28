package relayer

import (
	"context"
	"time"

	"wisteriadrum/pacer"
)

const (
	// watchEvery is the interval at which silent endpoints are looked for.
	watchEvery = 50 * time.Millisecond
	// targetShare is the part of a route's target after which a request that
	// may run twice is tried elsewhere, if its endpoint is silent.
	targetShare = 0.6
)

// WatchSilent leaves endpoints that went silent, for requests that may run again
// elsewhere, until ctx ends. It answers the load of endpoints that vanish
// without a word: connections to them hang. Streams are not left: engines are
// silent while they read long prompts for others, and a stream that was left
// is cut if no other engine takes it.
func (r *Relayer) WatchSilent(ctx context.Context) {
	for pacer.Wait(ctx, watchEvery) {
		now := r.ports.Now()
		for _, t := range r.silent(now) {
			if !r.budget(t.request.Pool.Name).TryRetry() {
				continue // it could not be sent again
			}
			t.abandoned.Store(true)
			_ = t.conn.SetDeadline(time.Unix(1, 0)) // wakes the reader, which reports what came of it
		}
	}
}

// silent returns the tries that wait for an endpoint from which nothing comes.
func (r *Relayer) silent(now time.Time) []*try {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []*try
	for t := range r.live {
		limit := t.patience
		if t.abandoned.Load() {
			continue
		}
		if t.place.SilentFor(now) > limit && now.Sub(t.sentAt)-time.Duration(t.progress.Load()) > limit {
			silent = append(silent, t)
		}
	}
	return silent
}

// watch has t watched and returns the function that ends that.
func (r *Relayer) watch(t *try) func() {
	// Silence ends no answer that could not come from elsewhere.
	if t.request.Route.Stream || !t.request.Repeatable() || t.runs+1 >= t.request.Route.Attempts || t.sends+1 >= mostSends {
		return func() {}
	}
	t.patience = t.firstPatience()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[t] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.live, t)
	}
}

// heard notes that something came from the endpoint for this request.
func (r *Relayer) heard(t *try) {
	now := r.ports.Now()
	t.progress.Store(int64(now.Sub(t.sentAt)))
	t.place.RecordReceived(now)
}

// firstPatience returns the silence before an answer begins after which the
// request is tried elsewhere.
func (t *try) firstPatience() time.Duration {
	predicted := time.Duration(t.choice.PredictedMillis) * time.Millisecond
	target := time.Duration(t.request.Route.TargetMillis) * time.Millisecond
	return max(2*predicted, time.Duration(targetShare*float64(target)))
}
