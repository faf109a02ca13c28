// Package synchronizer estimates the clock of another process, such as the platform's
// store, from the times in its answers.
package synchronizer

import (
	"sync"
	"time"
)

// Synchronizer estimates a remote clock. The estimate is never ahead of it, and behind
// it by the shortest time that an answer took.
type Synchronizer struct {
	now func() time.Time

	mu sync.Mutex
	// offset is the largest difference between the remote time in an answer and the
	// local time at which it was received.
	offset   time.Duration
	observed bool
}

// New returns a synchronizer without an estimate. now is a monotonic clock that
// continues while the process is suspended. The remote clock has to be one, too.
func New(now func() time.Time) *Synchronizer { return &Synchronizer{now: now} }

// Observe records the remote time in an answer that was just received.
func (s *Synchronizer) Observe(remote time.Time) {
	offset := remote.Sub(s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.observed || offset > s.offset {
		s.offset, s.observed = offset, true
	}
}

// Now returns the estimated remote time, and false before the first answer.
func (s *Synchronizer) Now() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Add(s.offset), s.observed
}
