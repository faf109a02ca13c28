// Package rationer divides the requests that one endpoint takes a second among all
// instances, at the instance that counts them for the endpoint.
package rationer

import (
	"math"
	"time"
)

const (
	// burstSeconds is the time over which requests that nobody sent are saved up.
	burstSeconds = 1.0
	// minPerSecond is the rate at which an endpoint that takes nothing is asked whether
	// that is still so.
	minPerSecond = 0.2
	// maxTurnSeconds bounds the time over which the instances that were refused return.
	maxTurnSeconds = 1.0
)

// Rationer counts the requests to one endpoint.
type Rationer struct {
	perSecond float64
	// saved is the number of requests that may be sent at the time at, negative after
	// calls that were not asked for before.
	saved float64
	at    time.Time
	// turnAt is the latest time at which an instance was told to ask again.
	turnAt time.Time
}

// New returns a rationer for an endpoint that takes perSecond requests a second.
func New(perSecond float64, now time.Time) Rationer {
	return Rationer{perSecond: max(perSecond, minPerSecond), saved: 1, at: now}
}

// WithRate returns a rationer for an endpoint that takes perSecond requests a second from
// now on.
func (r Rationer) WithRate(perSecond float64, now time.Time) Rationer {
	r = r.withTime(now)
	r.perSecond = max(perSecond, minPerSecond)
	r.saved = min(r.saved, r.burst())
	return r
}

// WithCall returns a rationer after a call that was made without a permit.
func (r Rationer) WithCall(now time.Time) Rationer {
	r = r.withTime(now)
	r.saved--
	return r
}

// Take returns the rationer after an instance asked to send a request, whether it may send
// it, and when to ask again otherwise: one after the other, as the endpoint takes requests.
func (r Rationer) Take(now time.Time) (next Rationer, granted bool, retryAt time.Time) {
	r = r.withTime(now)
	if r.saved >= 1 {
		r.saved--
		return r, true, time.Time{}
	}
	first := now.Add(seconds((1 - r.saved) / r.perSecond))
	turn := r.turnAt.Add(seconds(1 / r.perSecond))
	if turn.Before(first) {
		turn = first
	}
	if last := first.Add(seconds(maxTurnSeconds)); turn.After(last) {
		turn = last
	}
	r.turnAt = turn
	return r, false, turn
}

// seconds returns a number of seconds as a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// UsedAt returns when the rationer was last used.
func (r Rationer) UsedAt() time.Time { return r.at }

// withTime returns the rationer at now.
func (r Rationer) withTime(now time.Time) Rationer {
	r.saved = math.Min(r.burst(), r.saved+max(0, now.Sub(r.at).Seconds())*r.perSecond)
	r.at = now
	return r
}

// burst returns the number of requests that may be saved up.
func (r Rationer) burst() float64 { return max(1, burstSeconds*r.perSecond) }
