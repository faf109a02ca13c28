// Package confirmer decides when an instance confirms that it knows all changes of a
// table. A watch that is never answered looks like a table that does not change, so a
// change may be missed until the table is confirmed by another call, or by another
// instance that knows the same changes.
package confirmer

import "time"

const (
	// periodShare is the share of the bound on changes after which a table is
	// confirmed at the latest. The rest is for the call and for passing changes on.
	periodShare = 0.5
	// spreadShare is the share of the period over which instances spread their calls,
	// so that mostly one of them calls and the others learn from it.
	spreadShare = 0.3
	// sourceShare is the share of the period that is added while another instance
	// sends the table.
	sourceShare = 0.5
	// suspicionShare is the share of the period after which a table is confirmed of
	// which another instance knows a newer change: time for the change to arrive.
	suspicionShare = 0.2
)

// Confirmer holds up to when all changes of a table are known and when that has to be
// confirmed.
type Confirmer struct {
	boundMillis int
	random      func() float64
	// completeAt is the time up to which all changes are known, zero before the table is.
	completeAt time.Time
	dueAt      time.Time
}

// New returns a confirmer for a table whose changes must be known within boundMillis, or
// one that never confirms if boundMillis is 0. random returns numbers from 0 to 1.
func New(boundMillis int, random func() float64) Confirmer {
	return Confirmer{boundMillis: boundMillis, random: random}
}

// WithComplete returns a confirmer for a table of which all changes up to a time are known.
func (c Confirmer) WithComplete(at time.Time) Confirmer {
	if !at.After(c.completeAt) {
		return c
	}
	c.completeAt = at
	c.dueAt = at.Add(c.spread())
	return c
}

// WithSuspicion returns a confirmer for a table of which another instance knows a newer
// change.
func (c Confirmer) WithSuspicion(now time.Time) Confirmer {
	if suspectAt := now.Add(c.part(periodShare * suspicionShare)); suspectAt.Before(c.dueAt) {
		c.dueAt = suspectAt
	}
	return c
}

// WithFailure returns a confirmer after a call that did not confirm the table.
func (c Confirmer) WithFailure(now time.Time) Confirmer {
	c.dueAt = now.Add(c.spread())
	return c
}

// DueAt returns when the table is confirmed next, and false if it is not. hasSource means
// that another instance sends the table.
func (c Confirmer) DueAt(hasSource bool) (time.Time, bool) {
	if c.boundMillis == 0 || c.completeAt.IsZero() {
		return time.Time{}, false
	}
	if hasSource {
		return c.dueAt.Add(c.part(periodShare * sourceShare)), true
	}
	return c.dueAt, true
}

// CompleteAt returns the time up to which all changes are known, zero before the table is.
func (c Confirmer) CompleteAt() time.Time { return c.completeAt }

// Outdated reports whether changes may be unknown that were made longer ago than the bound.
func (c Confirmer) Outdated(now time.Time) bool {
	return c.boundMillis == 0 || now.After(c.completeAt.Add(c.part(1)))
}

// spread returns a random part of the period, at most all of it.
func (c Confirmer) spread() time.Duration {
	return c.part(periodShare * (1 - spreadShare*c.random()))
}

// part returns a share of the bound.
func (c Confirmer) part(share float64) time.Duration {
	return time.Duration(share * float64(c.boundMillis) * float64(time.Millisecond))
}
