package relayer

import (
	"time"

	"wisteriadrum/monitor"
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
func (r *Relayer) announceParts(t *attempt, ready bool) {
	for _, part := range t.request.Parts {
		if part.Tokens < minPartTokens {
			break
		}
		key := partKey(t.request, t.weights, part)
		cached, partReady := t.endpoint.HasPart(key)
		if !cached || ready && !partReady {
			r.deps.AnnouncePart(t.endpoint, key, part.Tokens, ready)
		}
		t.endpoint.AddPart(key, part.Tokens, ready)
		if ready && t.saveStore != nil {
			t.saveStore.AddPart(key, part.Tokens, true)
			r.deps.AnnouncePart(t.saveStore, key, part.Tokens, true)
		}
	}
}

// dropPendingParts removes the parts recorded for the endpoint whose prefill
// did not finish.
func (t *attempt) dropPendingParts() {
	for _, part := range t.request.Parts {
		t.endpoint.DropPendingPart(partKey(t.request, t.weights, part))
	}
}

// storeToSave returns the store that the endpoint saves the parts to after
// prefill, or nil. It is the first store, if the prompt begins with a long
// shared part that the store does not hold yet. The last part of a prompt
// belongs to this request only, so at least two parts are required.
func (r *Relayer) storeToSave(t *attempt) *monitor.Monitor {
	stores := r.stores(t.request)
	parts := t.request.Parts
	if len(stores) == 0 || len(parts) < 2 || parts[0].Tokens < minSavedTokens || t.weights < r.deps.Registrar.Versions(t.request.Model).Newest() {
		return nil
	}
	if cached, _ := stores[0].HasPart(partKey(t.request, t.weights, parts[0])); cached {
		return nil
	}
	return stores[0]
}

// beginTransfer counts the tokens to fetch as queued on the store's link.
func (t *attempt) beginTransfer(now time.Time) {
	if t.source == nil || t.source.Entry().Pool != "" {
		return
	}
	t.transfer = monitor.Load{Requests: 1, PrefillTokens: t.request.PromptTokens - t.choice.PrefillTokens}
	t.source.Begin(t.transfer, now)
}

// endTransfer reverts what beginTransfer counted.
func (t *attempt) endTransfer() {
	if t.transfer != (monitor.Load{}) {
		t.source.End(t.transfer)
		t.transfer = monitor.Load{}
	}
}
