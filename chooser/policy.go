// Package chooser defines the interface of the policies that select the
// endpoint of a request. Policies read neither a clock nor a global random
// source: the query carries the time and the source of randomness.
package chooser

import (
	"math/rand/v2"
	"time"

	"wisteriadrum/director"
	"wisteriadrum/hasher"
	"wisteriadrum/permuter"
	"wisteriadrum/tracker"
)

// Query describes the request that an endpoint is chosen for.
type Query struct {
	Chain hasher.Chain
	Now   time.Time
	Rand  *rand.Rand
	// PrefillNanosPerByte is the prefill time of one prompt byte.
	PrefillNanosPerByte int
	Objective           director.Objective
	// Order is the rendezvous order of the endpoints, as indices into tracks.
	Order *permuter.Order
	// Excluded reports whether an endpoint must not be chosen, for example
	// because it has been tried before. It may be nil.
	Excluded func(*tracker.Track) bool
	// IgnoreBackoff also admits endpoints in backoff after a failure. It is set
	// when no other endpoint is available.
	IgnoreBackoff bool
}

// Choice is the result of a policy. Track is nil if no endpoint is available.
type Choice struct {
	Track  *tracker.Track
	Reason string
	// CachedLevels is the number of levels expected in the endpoint's cache.
	CachedLevels int
	// OnCached, if set, is called with the number of levels that the endpoint
	// reports as cached.
	OnCached func(cached int)
}

// Policy chooses one of the endpoints of a pool.
type Policy interface {
	// Choose returns an endpoint that is usable for query, if there is one.
	Choose(query Query, tracks []*tracker.Track) Choice
}

// Shortlister is a policy that needs fresh load reports before it places
// expensive requests.
type Shortlister interface {
	// Shortlist returns the endpoints whose load report should be refreshed.
	Shortlist(query Query, tracks []*tracker.Track) []*tracker.Track
}

// Usable reports whether track may be chosen for q.
func (q Query) Usable(track *tracker.Track) bool {
	available := track.Available(q.Now) || q.IgnoreBackoff && !track.Leaving() && !track.HeldUntil().After(q.Now)
	return available && (q.Excluded == nil || !q.Excluded(track))
}
