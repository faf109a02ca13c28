// Package allotter bounds the memory that all messages of a process take together while
// they are received. When a message needs more than is free, the largest one that is
// still being received ends, so that a message without an end does not displace others.
// Complete messages are kept unless their recipients do not take them.
package allotter

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"
)

var (
	// ErrFull is returned to the message that would be the largest one if it grew.
	ErrFull = errors.New("memory for received messages is exhausted")
	// ErrTimeout is returned if no memory became free in the time that a message has.
	ErrTimeout = errors.New("no memory for received messages became free in time")
)

// Allotter divides a number of bytes among messages.
type Allotter struct {
	capacity int64

	mu sync.Mutex
	// used is the sum of the shares, settled that of the complete messages and evicted
	// that of the shares that have to end.
	used, settled, evicted int64
	shares                 map[*Share]struct{}
	// changed is closed when bytes become free or a share has to end.
	changed chan struct{}
}

// New returns an allotter of capacity bytes, or of any number if capacity is not above 0.
func New(capacity int64) *Allotter {
	if capacity <= 0 {
		capacity = math.MaxInt64
	}
	return &Allotter{capacity: capacity, shares: map[*Share]struct{}{}, changed: make(chan struct{})}
}

// Open returns the share of a message, which has no bytes yet. If the message has to end
// for another one, cancel is called, which must make its reception fail. The share waits
// for free bytes until deadline, or until ctx ends.
func (a *Allotter) Open(ctx context.Context, deadline time.Time, cancel func()) *Share {
	return &Share{allotter: a, ended: ctx.Done(), deadline: deadline, cancel: cancel}
}

// Used returns the number of allotted bytes.
func (a *Allotter) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// decide returns what a share that needs more bytes does: it takes them, fails, or waits
// after victim, if not nil, was told to end.
func (a *Allotter) decide(s *Share, bytes int64) (taken bool, victim *Share, err error) {
	switch {
	case s.isEvicted:
		return false, nil, ErrFull
	case bytes <= a.capacity-a.used:
		return true, nil, nil
	case bytes <= a.capacity-a.used+a.evicted:
		return false, nil, nil
	}
	switch largest := a.largest(s, bytes); {
	case largest != s:
		return false, largest, nil
	case bytes <= a.capacity-a.used+a.evicted+a.settled:
		return false, nil, nil
	default:
		return false, nil, ErrFull
	}
}

// largest returns the share that ends if s needs more bytes: the largest one, of those whose
// recipients do not take them if there is any.
func (a *Allotter) largest(s *Share, bytes int64) *Share {
	largest, size := s, s.bytes+bytes
	for other := range a.shares {
		if other.isSettled || other.isEvicted {
			continue
		}
		if other.isYielded && !largest.isYielded || other.isYielded == largest.isYielded && other.bytes > size {
			largest, size = other, other.bytes
		}
	}
	return largest
}

// grow allots bytes to a share, or returns the channel that is closed at the next change.
func (a *Allotter) grow(s *Share, bytes int64) (changed <-chan struct{}, err error) {
	a.mu.Lock()
	taken, victim, err := a.decide(s, bytes)
	if taken {
		a.used += bytes
		s.bytes += bytes
		a.shares[s] = struct{}{}
	}
	if victim != nil {
		victim.isEvicted = true
		a.evicted += victim.bytes
		a.announce()
	}
	changed = a.changed
	a.mu.Unlock()
	if victim != nil {
		victim.cancel()
	}
	if taken || err != nil {
		return nil, err
	}
	return changed, nil
}

// release takes bytes back from a share.
func (a *Allotter) release(s *Share, bytes int64) {
	if bytes == 0 {
		return
	}
	a.used -= bytes
	s.bytes -= bytes
	if s.isSettled {
		a.settled -= bytes
	}
	if s.isEvicted {
		a.evicted -= bytes
	}
	if s.bytes == 0 {
		delete(a.shares, s)
	}
	a.announce()
}

// announce wakes the shares that wait.
func (a *Allotter) announce() {
	close(a.changed)
	a.changed = make(chan struct{})
}
