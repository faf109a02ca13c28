// Package refiller keeps the tokens of a rate limit that one of several instances may use.
// It refills at the instance's share of the rate. What it does not need it offers to the
// others, and it uses what they grant. All that an instance has refilled and that may still
// be unused somewhere stays within its share of the limit's capacity, without any message.
// It answers the load of a workspace whose callers are unevenly spread over the instances.
package refiller

import (
	"math"
	"slices"
	"time"
)

const (
	// offeredPart is the part of the capacity that may be on offer to others.
	offeredPart = 0.5
	// lifetimePart is the part of the time to refill the capacity for which an offer is
	// valid. It is below offeredPart, so that all that is refilled can be on offer, and what
	// a process refills while offers of an earlier one are valid fits beside these.
	lifetimePart = 0.45
	minLifetime  = 300 * time.Millisecond
	maxLifetime  = 4 * time.Second
	// ownPart is the part of the capacity that is not offered, for requests that are served
	// without a message.
	ownPart = 0.25
	// drift bounds how much faster another clock runs within the lifetime of an offer.
	drift = 20 * time.Millisecond
)

// Terms are the share of a limit.
type Terms struct {
	// PerSecond is the rate at which tokens are refilled, Capacity the number of tokens
	// that may be unused.
	PerSecond, Capacity float64
}

// Lifetime returns how long an offer is valid.
func (t Terms) Lifetime() time.Duration {
	if t.PerSecond <= 0 {
		return 0
	}
	return min(maxLifetime, seconds(lifetimePart*t.Capacity/t.PerSecond))
}

// Shared reports whether offers are valid for long enough to be used. Otherwise each instance
// uses its share alone.
func (t Terms) Shared() bool { return t.Lifetime() >= minLifetime }

// Lot is a number of tokens that can be used until a deadline.
type Lot struct {
	Tokens float64
	Until  time.Time
}

// Refiller is the state of one limit at one instance. It is immutable.
type Refiller struct {
	terms Terms
	// level is the number of own tokens at the time at.
	level float64
	at    time.Time
	// offered are the offers that others may use, granted the tokens that others granted.
	offered, granted []Lot
}

// New returns the state of an instance that has just started. It has no tokens.
func New(now time.Time) Refiller { return Refiller{at: now} }

// WithTerms returns the state with other terms from now on.
func (r Refiller) WithTerms(terms Terms, now time.Time) Refiller {
	r = r.withTime(now)
	r.terms = terms
	return r.trimmed()
}

// Take returns the state without a number of tokens, and false if there are not as many. own
// means that not only granted tokens are taken.
func (r Refiller) Take(tokens float64, own bool, now time.Time) (Refiller, bool) {
	r = r.withTime(now)
	available := sum(r.granted)
	if own {
		available += r.level
	}
	if available < tokens {
		return r, false
	}
	r.granted = slices.Clone(r.granted)
	for i := range r.granted {
		used := min(tokens, r.granted[i].Tokens)
		r.granted[i].Tokens -= used
		tokens -= used
	}
	r.granted = slices.DeleteFunc(r.granted, func(lot Lot) bool { return lot.Tokens <= 0 })
	r.level -= tokens
	return r, true
}

// WithGrant returns the state with tokens that others have granted.
func (r Refiller) WithGrant(lot Lot, now time.Time) Refiller {
	r = r.withTime(now)
	r.granted = append(slices.Clone(r.granted), lot)
	return r
}

// WithoutGrants returns the state without what others have granted.
func (r Refiller) WithoutGrants() Refiller {
	r.granted = nil
	return r
}

// Offer returns the state after an offer to the others, and the offer, which is empty if there
// is none. short means that others have too few tokens, so nothing is held back.
func (r Refiller) Offer(short bool, now time.Time) (Refiller, Lot) {
	r = r.withTime(now)
	own := ownPart * r.terms.Capacity
	if short {
		own = 0
	}
	lot := Lot{Until: now.Add(r.terms.Lifetime())}
	lot.Tokens = min(r.level-own, offeredPart*r.terms.Capacity-sum(r.offered))
	if lot.Tokens <= 0 || !r.terms.Shared() {
		return r, Lot{}
	}
	r.level -= lot.Tokens
	r.offered = append(slices.Clone(r.offered), Lot{lot.Tokens, lot.Until.Add(drift)})
	return r, lot
}

// WithoutOffer returns the state after an offer that has certainly not been taken.
func (r Refiller) WithoutOffer(lot Lot, now time.Time) Refiller {
	r = r.withTime(now)
	r.offered = slices.Clone(r.offered)
	if i := slices.Index(r.offered, Lot{lot.Tokens, lot.Until.Add(drift)}); i >= 0 {
		r.offered = slices.Delete(r.offered, i, i+1)
		r.level += lot.Tokens
	}
	return r.trimmed()
}

// ReadyAt returns when a number of tokens can be taken if no other takes any, and false if
// there will never be as many.
func (r Refiller) ReadyAt(tokens float64, now time.Time) (time.Time, bool) {
	r = r.withTime(now)
	missing := tokens - r.level
	if tokens > r.terms.Capacity || r.terms.PerSecond <= 0 {
		return time.Time{}, false
	}
	return now.Add(max(0, seconds(missing/r.terms.PerSecond))), true
}

// withTime returns the state at now.
func (r Refiller) withTime(now time.Time) Refiller {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.level += elapsed.Seconds() * r.terms.PerSecond
		r.at = now
	}
	r.offered, r.granted = valid(r.offered, now), valid(r.granted, now)
	return r.trimmed()
}

// trimmed returns the state without the tokens above the capacity.
func (r Refiller) trimmed() Refiller {
	r.level = max(0, min(r.level, r.terms.Capacity-sum(r.offered)))
	return r
}

// valid returns the lots that have not expired.
func valid(lots []Lot, now time.Time) []Lot {
	expired := func(lot Lot) bool { return !now.Before(lot.Until) }
	if !slices.ContainsFunc(lots, expired) {
		return lots
	}
	return slices.DeleteFunc(slices.Clone(lots), expired)
}

func sum(lots []Lot) float64 {
	total := 0.0
	for _, lot := range lots {
		total += lot.Tokens
	}
	return total
}

// seconds returns a number of seconds as a duration.
func seconds(number float64) time.Duration {
	return time.Duration(math.Min(number, 1e6) * float64(time.Second))
}
