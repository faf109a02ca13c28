// Package synchronizer estimates the clock of another process, such as the platform's
// store, from the times in its answers.
package synchronizer

import (
	"sync"
	"time"
)

// Synchronizer estimates a remote clock. While both clocks run alike, the estimate is
// never ahead, and behind by the shortest time that an answer took. A remote clock that
// runs slower or starts anew is noticed with the next answer.
type Synchronizer struct {
	now func() time.Time

	mu sync.Mutex
	// offset is the largest difference between the remote time in an answer and the
	// local time at which it was received.
	offset   time.Duration
	observed bool
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
		s.offset, s.observed = offset, true
	}
}

// Age returns how long ago it was the remote time, 0 before the first answer.
func (s *Synchronizer) Age(remote time.Time) time.Duration {
	now, known := s.Now()
	if !known {
		return 0
	}
	return max(0, now.Sub(remote))
}

// Now returns the estimated remote time, and false before the first answer.
func (s *Synchronizer) Now() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Add(s.offset), s.observed
}
