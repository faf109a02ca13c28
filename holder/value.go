// Package holder provides a copy-on-write value that readers load without a
// lock.
package holder

import (
	"sync"
	"sync/atomic"
)

// Value holds an immutable value of type T. Loading never blocks; writers
// exclude each other. The zero Value holds the zero T.
type Value[T any] struct {
	value  atomic.Pointer[T]
	writer sync.Mutex
}

// Load returns the current value.
func (v *Value[T]) Load() T {
	if value := v.value.Load(); value != nil {
		return *value
	}
	var zero T
	return zero
}

// Store replaces the value.
func (v *Value[T]) Store(value T) {
	v.Update(func(T) T { return value })
}

// Update replaces the value by the result of change, which must not modify its
// argument.
func (v *Value[T]) Update(change func(T) T) {
	v.writer.Lock()
	defer v.writer.Unlock()
	next := change(v.Load())
	v.value.Store(&next)
}
