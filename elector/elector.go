// Package elector decides which instances of a data centre act as hubs. Hubs
// exchange state with the hubs of all data centres and forward it to the other
// instances of their own, so that the number of messages grows linearly with
// the number of instances instead of quadratically. Each instance decides
// independently from the messages that it receives; if this leaves too few or
// too many hubs, the following decisions correct it.
package elector

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HubsPerDataCentre is the number of hubs of a data centre. It allows one to
	// fail while another is about to stop.
	HubsPerDataCentre = 3
	// maxWaitNoHub bounds the wait before an instance that receives messages
	// from no hub becomes a hub, and maxWaitFewHubs the wait if there are too
	// few hubs. The waits are random, so that one instance becomes a hub first
	// and the others receive its messages.
	maxWaitNoHub   = 300 * time.Millisecond
	maxWaitFewHubs = 2 * time.Second
)

// Outranks reports whether an instance is preferred to another as a hub:
// instances with the faster link first, then by name. Rates are in Mbit/s.
func Outranks(rate int, name string, otherRate int, otherName string) bool {
	if rate != otherRate {
		return rate > otherRate
	}
	return name < otherName
}

// Score returns the score of a hub for an instance by weighted rendezvous
// hashing; the instance reports to the hub with the highest score. The number
// of instances that report to a hub is proportional to the rate of its link,
// and few instances change their hub when one is added or removed.
func Score(name, hub string, rate int) float64 {
	uniform := (float64(xxhash.Sum64String(name+"\x00"+hub)>>11) + 0.5) / (1 << 53)
	return -float64(max(rate, 1)) / math.Log(uniform)
}

// Elector holds the state of the decisions of one instance.
type Elector struct {
	hub        bool
	promoteAt  time.Time
	randomWait func(limit time.Duration) time.Duration
}

// New returns an elector for an instance that is not a hub yet.
func New() *Elector { return &Elector{randomWait: rand.N[time.Duration]} }

// Decide reports whether the instance is a hub. otherHubs is the number of
// other live hubs in its data centre, and outranking the number of those that
// outrank it.
func (e *Elector) Decide(otherHubs, outranking int, now time.Time) bool {
	if e.hub || otherHubs >= HubsPerDataCentre {
		e.hub = e.hub && outranking < HubsPerDataCentre
		e.promoteAt = time.Time{}
		return e.hub
	}
	if e.promoteAt.IsZero() {
		limit := maxWaitFewHubs
		if otherHubs == 0 {
			limit = maxWaitNoHub
		}
		e.promoteAt = now.Add(e.randomWait(limit))
	}
	e.hub = !now.Before(e.promoteAt)
	return e.hub
}
