package allotter

import "time"

// Share is the memory of one message. Its methods must not be called concurrently.
type Share struct {
	allotter *Allotter
	ended    <-chan struct{}
	deadline time.Time
	cancel   func()
	// bytes are the allotted bytes. isEvicted means that the message has to end, isSettled
	// that it is complete, isYielded that it is and its recipient does not take it. The lock of
	// the allotter protects them.
	bytes                           int64
	isEvicted, isSettled, isYielded bool
}

// Grow adds bytes to the share. While they are not free it waits, unless the message
// would be the largest one: then it returns ErrFull.
func (s *Share) Grow(bytes int) error {
	changed, err := s.allotter.grow(s, int64(bytes))
	if changed == nil {
		return err
	}
	timer := time.NewTimer(time.Until(s.deadline))
	defer timer.Stop()
	for changed != nil {
		select {
		case <-changed:
		case <-s.ended:
			return s.endError()
		case <-timer.C:
			return ErrTimeout
		}
		changed, err = s.allotter.grow(s, int64(bytes))
	}
	return err
}

// Evicted reports whether the message has to end for another one.
func (s *Share) Evicted() bool {
	s.allotter.mu.Lock()
	defer s.allotter.mu.Unlock()
	return s.isEvicted
}

// endError returns the error of a share whose time ended while it waited.
func (s *Share) endError() error {
	if s.Evicted() {
		return ErrFull
	}
	return ErrTimeout
}

// Shrink takes bytes from the share, at most those that it has.
func (s *Share) Shrink(bytes int) {
	s.allotter.mu.Lock()
	defer s.allotter.mu.Unlock()
	s.allotter.release(s, min(int64(bytes), s.bytes))
}

// Settle marks the message as complete. It keeps its bytes and is not ended for another
// one any more. Settle returns ErrFull if it had to end already.
func (s *Share) Settle() error {
	s.allotter.mu.Lock()
	defer s.allotter.mu.Unlock()
	if s.isEvicted {
		return ErrFull
	}
	if !s.isSettled {
		s.isSettled, s.isYielded = true, false
		s.allotter.settled += s.bytes
		s.allotter.announce()
	}
	return nil
}

// Yield lets a complete message be ended for others, before those that are incomplete, since
// its recipient does not take it. Settle reverts it.
func (s *Share) Yield() {
	s.allotter.mu.Lock()
	defer s.allotter.mu.Unlock()
	if !s.isSettled {
		return
	}
	s.isSettled, s.isYielded = false, true
	s.allotter.settled -= s.bytes
	s.allotter.announce()
}

// Close returns all bytes of the share.
func (s *Share) Close() {
	s.allotter.mu.Lock()
	defer s.allotter.mu.Unlock()
	s.allotter.release(s, s.bytes)
}
