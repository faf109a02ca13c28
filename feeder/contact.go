package feeder

import "time"

// FollowedSince returns since when all calls for changes were answered, the zero time
// if the last one was not, and whether all were since the start.
func (f *Feeder) FollowedSince() (since time.Time, fromStart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lostAt.IsZero() {
		return time.Time{}, false
	}
	return f.followedSince, !f.interrupted
}

// MarkLost records that a call for changes, to the store or to an instance, was not
// answered. A change may have been missed since it began.
func (f *Feeder) MarkLost(begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAt.IsZero() {
		f.lostAt = begun
	}
	f.interrupted = true
}

// MarkFollowed records that a call for changes was answered and all of them were
// applied.
func (f *Feeder) MarkFollowed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markFollowed()
}

// markFollowed is MarkFollowed for a caller that holds the lock.
func (f *Feeder) markFollowed() {
	if !f.lostAt.IsZero() || f.followedSince.IsZero() {
		f.followedSince = time.Now()
	}
	f.lostAt = time.Time{}
}

// markUnanswered records that a call for changes that began at a time was not answered.
// What was confirmed since was not missed.
func (f *Feeder) markUnanswered(begun time.Time) {
	f.mu.Lock()
	if completeAt := f.confirm.CompleteAt(); completeAt.After(begun) {
		begun = completeAt
	}
	f.mu.Unlock()
	f.MarkLost(begun)
}

// changedAfter returns the time after which the rows of a page changed that was made so
// long ago, zero if that was just now. The caller holds the lock.
func (f *Feeder) changedAfter(age time.Duration) time.Time {
	madeAt := time.Now().Add(-age)
	if age < minLateAge || !f.lostAt.IsZero() && f.lostAt.Before(madeAt) {
		return f.lostAt
	}
	return madeAt
}
