// Package tabler accesses the platform's transactional table service.
package tabler

import (
	"context"
	"time"
)

// Row is one row. Version is the number of times that it was written; 0 means that
// the row does not exist.
type Row struct {
	Key     string    `json:"key"`
	Value   []byte    `json:"value,omitempty"`
	Version uint64    `json:"version"`
	Expires time.Time `json:"expires,omitzero"`
	// Era is the era of the table service as of which the row was read, also of one
	// that does not exist, 0 if unknown. It rises when the service lost writes;
	// versions of different eras are not comparable.
	Era uint64 `json:"era,omitempty"`
}

// Write replaces the row Key if its version is still Version. The row expires at
// Expires, or never if that is zero.
type Write struct {
	Key     string    `json:"key"`
	Value   []byte    `json:"value"`
	Version uint64    `json:"version"`
	Expires time.Time `json:"expires,omitzero"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the rows of keys, in that order.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Apply commits all writes or none. It returns the current rows of those
	// writes whose version did not match; if there are any, nothing was
	// written. After an error the writes may still take effect at any later
	// time, unless the verdict of the error is judge.NotRun.
	Apply(ctx context.Context, writes []Write) ([]Row, error)
}
