// Package synchronizer estimates the clock of another process, such as the platform's
// store, from the times in its answers.
package synchronizer

import (
	"sync"
	"time"
)

// Synchronizer estimates a remote clock by two bounds. While both clocks run alike, Now is
// never ahead, and behind by the shortest time that an answer took; Latest is never behind,
// and ahead by the shortest time that a request took. A remote clock that runs at another
// rate or starts anew is noticed with the next answer.
type Synchronizer struct {
	now func() time.Time

	mu sync.Mutex
	// offset is the largest difference between the remote time in an answer and the
	// local time at which it was received, and maxOffset the smallest one between that
	// time and the local time at which the request was sent.
	offset, maxOffset time.Duration
	observed          bool
}

// New returns a synchronizer without an estimate. now is a monotonic clock that
// continues while the process is suspended.
func New(now func() time.Time) *Synchronizer { return &Synchronizer{now: now} }

// Observe records the remote time in an answer that was just received to a request that
// was sent at sentAt.
func (s *Synchronizer) Observe(remote, sentAt time.Time) {
	offset := remote.Sub(s.now())
	maxOffset := remote.Sub(sentAt) // the remote time was read after the request was sent
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.observed || offset > s.offset || s.offset > maxOffset {
		s.offset = offset
	}
	if !s.observed || maxOffset < s.maxOffset || s.maxOffset < offset {
		s.maxOffset = maxOffset
	}
	s.observed = true
}

// Age returns how long ago it was the remote time at most, 0 before the first answer.
func (s *Synchronizer) Age(remote time.Time) time.Duration {
	latest, known := s.Latest()
	if !known {
		return 0
	}
	return max(0, latest.Sub(remote))
}

// Now returns a remote time that has been reached, and false before the first answer.
func (s *Synchronizer) Now() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Add(s.offset), s.observed
}

// Latest returns a remote time that has not been passed, and false before the first answer.
func (s *Synchronizer) Latest() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Add(s.maxOffset), s.observed
}
