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
	// PerByte is the prefill time of one prompt byte in nanoseconds.
	PerByte int
	Weigh   director.Weigh
	// Order is the rendezvous order of the endpoints, by their places.
	Order *permuter.Order
	// Barred reports endpoints that must not be chosen, such as those tried
	// before. It may be nil.
	Barred func(*tracker.Track) bool
	// Desperate lets endpoints be chosen that failed lately, because there are
	// no others.
	Desperate bool
}

// Choice is the endpoint chosen, nil if none is open.
type Choice struct {
	Track  *tracker.Track
	Reason string
	// Depth is the number of levels expected in the endpoint's cache.
	Depth int
	// Learn, if set, takes in how many levels were found cached.
	Learn func(cached int)
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
	open := track.Open(q.Now) || q.Desperate && !track.Leaving()
	return open && (q.Barred == nil || !q.Barred(track))
}
