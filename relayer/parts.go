package relayer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/appraiser"
	"wisteriadrum/estimator"
	"wisteriadrum/monitor"
	"wisteriadrum/placer"
	"wisteriadrum/requester"
	"wisteriadrum/saver"
)

const (
	// minPartTokens is the size below which it does not matter which engine
	// caches a part: its prefill takes less than one engine step.
	minPartTokens = 128
	// minSavedTokens is the size from which a part is worth transferring to a
	// store and back.
	minSavedTokens = 1024
	// maxMissShare is the share of evicted parts above which an engine is not chosen for a
	// part that it may cache.
	maxMissShare = 0.5
)

// announceParts records which parts the endpoint caches, or is prefilling if
// ready is false, and announces changes to the other instances.
func (r *Relayer) announceParts(a *attempt, ready bool) {
	for i, part := range a.request.Parts {
		if part.Tokens < minPartTokens {
			break
		}
		key := partKey(a.request, a.weights, part)
		cached, partReady := a.endpoint.HasPart(key)
		if !cached || ready && !partReady {
			r.deps.AnnouncePart(a.endpoint, key, part.Tokens, ready, isShared(a.request, i))
		}
		a.endpoint.AddPart(key, part.Tokens, ready)
	}
}

// dropPendingParts removes the parts recorded for the endpoint whose prefill did not
// finish, here and at the other instances.
func (r *Relayer) dropPendingParts(a *attempt) {
	for i, part := range a.request.Parts {
		key := partKey(a.request, a.weights, part)
		if cached, ready := a.endpoint.HasPart(key); !cached || ready {
			continue
		}
		a.endpoint.DropPendingPart(key)
		r.deps.AnnouncePart(a.endpoint, key, 0, false, isShared(a.request, i))
	}
}

// storeToSave returns the store that the endpoint saves the parts to after prefill, or nil
// if the prompt does not begin with a long shared part. The last part of a prompt belongs
// to this request only, so at least two parts are required.
func (r *Relayer) storeToSave(a *attempt, now time.Time) *monitor.Monitor {
	stores := r.stores(a.request)
	parts := a.request.Parts
	if len(stores) == 0 || len(parts) < 2 || parts[0].Tokens < minSavedTokens || a.weights < r.deps.Registrar.Versions(a.request.Model).Newest() {
		return nil
	}
	first := partKey(a.request, a.weights, parts[0])
	engine := a.request.Pool.Engine
	choices := make([]saver.Store, len(stores))
	for i, store := range stores {
		view := store.View("", now)
		holds, _ := store.HasPart(first)
		choices[i] = saver.Store{ID: xxhash.Sum64String(view.Entry.Name), Holds: holds}
		if engine != nil {
			choices[i].QueuedMillis = engine.TransferMillis(view.Load.PrefillTokens, view.Engine.LinkMbps)
		}
	}
	home := saver.Choose(first, choices, float64(a.request.Route.TargetMillis)/queuePart)
	if home < 0 {
		return nil
	}
	return stores[home]
}

// storeSources returns the stores that hold parts of the request's prompt for one of the
// versions of weights, with what they hold.
func (r *Relayer) storeSources(request *requester.Request, versions []int, now time.Time) (sources []placer.Source, monitors []*monitor.Monitor) {
	for _, store := range r.stores(request) {
		view := store.View("", now)
		if view.InBackoff {
			continue
		}
		for _, version := range versions {
			if _, ready := cachedTokens(store, request, version); ready > 0 {
				sources = append(sources, placer.Source{DataCentre: view.Entry.DataCentre, CachedTokens: ready, Weights: version, LinkMbps: view.Engine.LinkMbps, QueuedTokens: view.Load.PrefillTokens, MissShare: missShare(store, request, view, version)})
				monitors = append(monitors, store)
			}
		}
	}
	return sources, monitors
}

// missShare returns the share of requests that find the first part of a prompt evicted at
// an engine or a store.
func missShare(endpoint *monitor.Monitor, request *requester.Request, view monitor.View, weights int) float64 {
	if len(request.Parts) == 0 || view.Engine == nil {
		return 0
	}
	first := request.Parts[0]
	depth := endpoint.PartDepth(partKey(request, weights, first))
	return appraiser.MissShare(depth, first.Tokens, view.Engine.CapacityTokens-view.Load.KVTokens)
}

// spareSource returns a source other than the endpoint itself for parts that the endpoint
// may have evicted, nil if there is none.
func spareSource(figures estimator.Estimator, endpoint *monitor.Monitor, view monitor.View, sources []placer.Source, monitors []*monitor.Monitor) *monitor.Monitor {
	var others []placer.Source
	var otherMonitors []*monitor.Monitor
	for i, source := range sources {
		if monitors[i] != endpoint {
			others, otherMonitors = append(others, source), append(otherMonitors, monitors[i])
		}
	}
	if index, _ := placer.BestSource(figures, view, 0, others); index >= 0 {
		return otherMonitors[index]
	}
	return nil
}

// weightsOf returns the versions of the weights that candidates serve.
func weightsOf(candidates []placer.Candidate) []int {
	var versions []int
	for _, candidate := range candidates {
		if !slices.Contains(versions, candidate.View.Weights) {
			versions = append(versions, candidate.View.Weights)
		}
	}
	return versions
}

// beginTransfer counts the tokens to fetch as queued on the store's link.
func (a *attempt) beginTransfer(now time.Time) {
	if !isStore(a.source) {
		return
	}
	// The link is free again after the transfer, long before the first event if the
	// engine is busy.
	a.endTransfer = occupy(a.source, a.request.PromptTokens-a.choice.PrefillTokens, a.choice.FetchMillis, now)
}

// occupy counts tokens as queued on the link of a store for a time, or until the returned
// function is called.
func occupy(store *monitor.Monitor, tokens int, millis float64, now time.Time) (end func()) {
	transfer := monitor.Load{Requests: 1, PrefillTokens: tokens}
	store.Begin(transfer, now)
	end = sync.OnceFunc(func() { store.End(transfer) })
	time.AfterFunc(time.Duration(millis*float64(time.Millisecond)), end)
	return end
}

// isStore reports whether a source of cached parts is a store.
func isStore(source *monitor.Monitor) bool { return source != nil && source.Entry().Pool == "" }

// recordParts records where the parts of a prompt came from and where they are kept, now
// that its prefill has finished.
func (r *Relayer) recordParts(a *attempt, now time.Time) {
	if len(a.request.Parts) == 0 {
		return
	}
	r.announceParts(a, true)
	found := a.request.PromptTokens - a.choice.PrefillTokens
	r.deps.Count.AddMany("parts", "read-tokens", a.choice.PrefillTokens)
	switch {
	case a.source == nil:
		r.deps.Count.AddMany("parts", "cached-tokens", found)
	case isStore(a.source):
		r.deps.Count.AddMany("parts", "stored-tokens", found)
		r.announceHeld(a, a.source)
	default:
		r.deps.Count.AddMany("parts", "fetched-tokens", found)
	}
	r.recordSaved(a, now)
}

// recordSaved records and announces that the engine sends the parts of a prompt to a
// store, and counts them as queued on the store's link.
func (r *Relayer) recordSaved(a *attempt, now time.Time) {
	if a.saveStore == nil {
		return
	}
	tokens := 0
	for _, part := range a.request.Parts {
		tokens += part.Tokens
	}
	r.announceHeld(a, a.saveStore)
	r.deps.Count.AddMany("parts", "saved-tokens", tokens)
	store := a.saveStore.View("", now)
	if engine := a.request.Pool.Engine; engine != nil {
		occupy(a.saveStore, tokens, engine.TransferMillis(tokens+store.Load.PrefillTokens, store.Engine.LinkMbps), now)
	}
}

// announceHeld records and announces the shared parts of a prompt that a store holds.
func (r *Relayer) announceHeld(a *attempt, store *monitor.Monitor) {
	for i, part := range a.request.Parts {
		key := partKey(a.request, a.weights, part)
		if held, _ := store.HasPart(key); part.Tokens < minPartTokens || store == a.source && !held {
			break
		}
		store.AddPart(key, part.Tokens, true)
		if isShared(a.request, i) {
			r.deps.AnnouncePart(store, key, part.Tokens, true, true)
		}
	}
}

// isShared reports whether other requests may have the part at index.
func isShared(request *requester.Request, index int) bool { return index < len(request.Parts)-1 }
