// Package chooser decides which endpoint gets a request. Decisions are pure:
// time, randomness and knowledge come in, an endpoint and a reason come out.
package chooser

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/director"
	"wisteriadrum/hasher"
	"wisteriadrum/permuter"
	"wisteriadrum/tracker"
)

// Query is what a decision depends on besides the endpoints.
type Query struct {
	Chain hasher.Chain
	Now   time.Time
	Rand  *rand.Rand
	// PrefillNanosPerByte is the prefill time of one prompt byte in nanoseconds.
	PrefillNanosPerByte int
	Objective           director.Objective
	// Order is the rendezvous order of the endpoints, by their places.
	Order *permuter.Order
	// Excluded reports endpoints that must not be chosen, such as those tried
	// before. It may be nil.
	Excluded func(*tracker.Track) bool
	// IgnoreBackoff lets endpoints be chosen that failed lately, because there are
	// no others.
	IgnoreBackoff bool
}

// Choice is the endpoint chosen, nil if none is open.
type Choice struct {
	Track  *tracker.Track
	Reason string
	// CachedLevels is the number of levels expected in the endpoint's cache.
	CachedLevels int
	// OnCached, if set, takes in how many levels were found cached.
	OnCached func(cached int)
}

// Policy chooses one of the endpoints of a pool.
type Policy interface {
	// Choose returns the endpoint for a query, and never one that is closed.
	Choose(query Query, tracks []*tracker.Track) Choice
}

// Shortlister is a policy that asks for fresh loads before costly requests.
type Shortlister interface {
	// Shortlist returns the endpoints whose load should be asked for.
	Shortlist(query Query, tracks []*tracker.Track) []*tracker.Track
}

// Usable reports whether track may be chosen for q.
func (q Query) Usable(track *tracker.Track) bool {
	open := track.Available(q.Now) || q.IgnoreBackoff && !track.Leaving()
	return open && (q.Excluded == nil || !q.Excluded(track))
}
