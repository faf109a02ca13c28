// Package holder keeps one immutable value that readers load without a lock.
package holder

import (
	"sync"
	"sync/atomic"
)

// Value holds a value of type T. Readers never wait; writers take turns.
// The zero Section holds the zero T.
type Value[T any] struct {
	value  atomic.Pointer[T]
	writer sync.Mutex
}

// Load returns the value held.
func (s *Value[T]) Load() T {
	if value := s.value.Load(); value != nil {
		return *value
	}
	var zero T
	return zero
}

// Store replaces the value held.
func (s *Value[T]) Store(value T) {
	s.Update(func(T) T { return value })
}

// Update replaces the value held by what change makes of it.
// The change must not modify the value it is given.
func (s *Value[T]) Update(change func(T) T) {
	s.writer.Lock()
	defer s.writer.Unlock()
	next := change(s.Load())
	s.value.Store(&next)
}
