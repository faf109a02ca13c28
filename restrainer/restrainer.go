// Package restrainer decides when an endpoint may get requests, by what it has said of
// itself in its answers.
package restrainer

import "time"

// Restrainer holds what one incarnation of an endpoint has said. The zero value is an
// endpoint that has said nothing.
type Restrainer struct {
	// leaveBy is when it must get no more requests, zero unless it has said that it
	// leaves.
	leaveBy time.Time
	// waitUntil is until when it wants no requests.
	waitUntil time.Time
}

// WithLeaving returns a restrainer of an endpoint that has said that it leaves and must
// get no requests from a time on. The earliest such time stands.
func (r Restrainer) WithLeaving(by time.Time) Restrainer {
	if r.leaveBy.IsZero() || by.Before(r.leaveBy) {
		r.leaveBy = by
	}
	return r
}

// Leaving reports whether the endpoint has said that it leaves.
func (r Restrainer) Leaving() bool { return !r.leaveBy.IsZero() }

// Left reports whether the endpoint must get no requests at now and later.
func (r Restrainer) Left(now time.Time) bool { return r.Leaving() && !now.Before(r.leaveBy) }

// WithWait returns a restrainer of an endpoint that wants no requests until a time. The
// latest such time stands.
func (r Restrainer) WithWait(until time.Time) Restrainer {
	if until.After(r.waitUntil) {
		r.waitUntil = until
	}
	return r
}

// HeldUntil returns until when the endpoint gets no requests, in the past if it does.
func (r Restrainer) HeldUntil() time.Time { return r.waitUntil }
