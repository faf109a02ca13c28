// Package elector decides which instances of a data centre speak for the
// others. These hubs exchange what is known with the hubs of all data centres
// and with the rest of their own, so that messages grow with the number of
// instances and not with its square. Each instance decides for itself from
// what it hears; when too few or too many speak, the next decisions mend that.
package elector

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HubsPerDataCentre is the number of hubs of a data centre: one may be lost and another
	// be about to stop.
	HubsPerDataCentre = 3
	// urgent bounds the wait before an instance that hears no hub speaks,
	// relaxed that of one that hears too few. Waits are random, so that one
	// speaks first and the others hear it.
	urgent  = 300 * time.Millisecond
	relaxed = 2 * time.Second
)

// Outranks reports whether an instance with a link of some rate goes before
// another when hubs are chosen: those with the faster links, then by name.
func Outranks(rate int, name string, otherRate int, otherName string) bool {
	if rate != otherRate {
		return rate > otherRate
	}
	return name < otherName
}

// Score returns how near an instance is to a hub; it reports to the hub with
// the highest. Hubs get reports in proportion to the rates of their links, and
// few change their hub when one comes or goes.
func Score(name, hub string, rate int) float64 {
	draw := (float64(xxhash.Sum64String(name+"\x00"+hub)>>11) + 0.5) / (1 << 53)
	return -float64(max(rate, 1)) / math.Log(draw)
}

// Elector is the state of one instance's decisions.
type Elector struct {
	hub     bool
	speakBy time.Time
	draw    func(limit time.Duration) time.Duration
}

// New returns an elector of an instance that does not speak yet.
func New() *Elector { return &Elector{draw: rand.N[time.Duration]} }

// Decide reports whether the instance is a hub, given the live hubs of its
// data centre other than itself: how many there are, and how many go before it.
func (e *Elector) Decide(others, before int, now time.Time) bool {
	if e.hub || others >= HubsPerDataCentre {
		e.hub = e.hub && before < HubsPerDataCentre
		e.speakBy = time.Time{}
		return e.hub
	}
	if e.speakBy.IsZero() {
		limit := relaxed
		if others == 0 {
			limit = urgent
		}
		e.speakBy = now.Add(e.draw(limit))
	}
	e.hub = !now.Before(e.speakBy)
	return e.hub
}
