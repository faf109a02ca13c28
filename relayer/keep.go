package relayer

import (
	"time"

	"wisteriadrum/monitor"
)

const (
	// leastPart is the size in tokens below which it does not matter where a
	// part is kept: reading it takes less than a step of an engine.
	leastPart = 128
	// leastSaved is the size in tokens of a part that is worth its way to a
	// store and back.
	leastSaved = 1024
)

// keeps notes and tells which parts the endpoint keeps, or reads now if they
// are not ready.
func (r *Relayer) keeps(t *try, ready bool) {
	for _, part := range t.request.Parts {
		if part.Tokens < leastPart {
			break
		}
		key := partKey(t.request, t.weights, part)
		held, done := t.place.HasPart(key)
		if !held || ready && !done {
			r.ports.AnnouncePart(t.place, key, part.Tokens, ready)
		}
		t.place.AddPart(key, part.Tokens, ready)
		if ready && t.store != nil {
			t.store.AddPart(key, part.Tokens, true)
			r.ports.AnnouncePart(t.store, key, part.Tokens, true)
		}
	}
}

// giveUp takes back that the endpoint reads the parts.
func (t *try) giveUp() {
	for _, part := range t.request.Parts {
		t.place.DropPendingPart(partKey(t.request, t.weights, part))
	}
}

// saves returns the store to which the parts go once they are read: the first
// one, if the prompt begins with a long part that others share and that it
// does not keep. The last part is the request's own.
func (r *Relayer) saves(t *try) *monitor.Monitor {
	stores := r.stores(t.request)
	parts := t.request.Parts
	if len(stores) == 0 || len(parts) < 2 || parts[0].Tokens < leastSaved || t.weights < r.ports.Registrar.Versions(t.request.Model).Newest() {
		return nil
	}
	if held, _ := stores[0].HasPart(partKey(t.request, t.weights, parts[0])); held {
		return nil
	}
	return stores[0]
}

// fetching counts the tokens that wait for a store's link.
func (t *try) fetching(now time.Time) {
	if t.source == nil || t.source.Entry().Pool != "" {
		return
	}
	t.transfer = monitor.Load{Requests: 1, PrefillTokens: t.request.PromptTokens - t.choice.PrefillTokens}
	t.source.Begin(t.transfer, now)
}

// fetched takes back what fetching counted.
func (t *try) fetched() {
	if t.transfer != (monitor.Load{}) {
		t.source.End(t.transfer)
		t.transfer = monitor.Load{}
	}
}
