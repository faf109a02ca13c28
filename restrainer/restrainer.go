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
	// limited means that it takes perSecond requests a second from all instances.
	limited   bool
	perSecond float64
	// limitedAt is when it named that limit first, and noPermitUntil until when this
	// instance is not allowed to send it a request.
	limitedAt, noPermitUntil time.Time
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

// WithLimit returns a restrainer of an endpoint that has said at now that it takes only
// perSecond requests a second from all instances.
func (r Restrainer) WithLimit(perSecond float64, now time.Time) Restrainer {
	if !r.limited {
		r.limited, r.limitedAt = true, now
	}
	r.perSecond = perSecond
	return r
}

// WithoutLimit returns a restrainer of an endpoint that has named no limit in its answer to
// a request that was sent at a time. An answer to an earlier request than that after which
// the limit was named may be older.
func (r Restrainer) WithoutLimit(sentAt time.Time) Restrainer {
	if !r.limited || !sentAt.After(r.limitedAt) {
		return r
	}
	r.limited, r.perSecond, r.limitedAt, r.noPermitUntil = false, 0, time.Time{}, time.Time{}
	return r
}

// WithNoPermit returns a restrainer of an endpoint with a limit to which this instance may
// send no request until a time.
func (r Restrainer) WithNoPermit(until time.Time) Restrainer {
	if r.limited && until.After(r.noPermitUntil) {
		r.noPermitUntil = until
	}
	return r
}

// Limit returns how many requests a second the endpoint takes from all instances, and
// false if it has named no limit.
func (r Restrainer) Limit() (perSecond float64, limited bool) { return r.perSecond, r.limited }

// WaitUntil returns until when the endpoint wants no requests, in the past if it does.
func (r Restrainer) WaitUntil() time.Time { return r.waitUntil }

// HeldUntil returns until when the endpoint gets no requests from this instance, in the
// past if it does.
func (r Restrainer) HeldUntil() time.Time {
	if r.noPermitUntil.After(r.waitUntil) {
		return r.noPermitUntil
	}
	return r.waitUntil
}
