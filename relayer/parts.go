package relayer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/monitor"
	"wisteriadrum/ranker"
)

const (
	// minPartTokens is the size below which it does not matter which engine
	// caches a part: its prefill takes less than one engine step.
	minPartTokens = 128
	// minSavedTokens is the size from which a part is worth transferring to a
	// store and back.
	minSavedTokens = 1024
)

// announceParts records which parts the endpoint caches, or is prefilling if
// ready is false, and announces changes to the other instances.
func (r *Relayer) announceParts(a *attempt, ready bool) {
	for _, part := range a.request.Parts {
		if part.Tokens < minPartTokens {
			break
		}
		key := partKey(a.request, a.weights, part)
		cached, partReady := a.endpoint.HasPart(key)
		if !cached || ready && !partReady {
			r.deps.AnnouncePart(a.endpoint, key, part.Tokens, ready)
		}
		a.endpoint.AddPart(key, part.Tokens, ready)
		if ready && a.saveStore != nil {
			a.saveStore.AddPart(key, part.Tokens, true)
			r.deps.AnnouncePart(a.saveStore, key, part.Tokens, true)
		}
	}
}

// dropPendingParts removes the parts recorded for the endpoint whose prefill
// did not finish.
func (a *attempt) dropPendingParts() {
	for _, part := range a.request.Parts {
		a.endpoint.DropPendingPart(partKey(a.request, a.weights, part))
	}
}

// storeToSave returns the store that the endpoint saves the parts to after
// prefill, or nil if the prompt does not begin with a long shared part or a store holds
// that already. The stores divide the first parts among them by rendezvous hashing. The
// last part of a prompt belongs to this request only, so at least two parts are required.
func (r *Relayer) storeToSave(a *attempt) *monitor.Monitor {
	stores := r.stores(a.request)
	parts := a.request.Parts
	if len(stores) == 0 || len(parts) < 2 || parts[0].Tokens < minSavedTokens || a.weights < r.deps.Registrar.Versions(a.request.Model).Newest() {
		return nil
	}
	first := partKey(a.request, a.weights, parts[0])
	var home *monitor.Monitor
	var homeScore uint64
	for _, store := range stores {
		if cached, _ := store.HasPart(first); cached {
			return nil
		}
		score := ranker.Rank(first, xxhash.Sum64String(store.Entry().Name))
		if home == nil || score > homeScore {
			home, homeScore = store, score
		}
	}
	return home
}

// beginTransfer counts the tokens to fetch as queued on the store's link.
func (a *attempt) beginTransfer(now time.Time) {
	if a.source == nil || a.source.Entry().Pool != "" {
		return
	}
	transfer := monitor.Load{Requests: 1, PrefillTokens: a.request.PromptTokens - a.choice.PrefillTokens}
	source := a.source
	source.Begin(transfer, now)
	a.endTransfer = sync.OnceFunc(func() { source.End(transfer) })
	// The link is free again after the transfer, long before the first event if the
	// engine is busy.
	time.AfterFunc(time.Duration(a.choice.FetchMillis*float64(time.Millisecond)), a.endTransfer)
}
