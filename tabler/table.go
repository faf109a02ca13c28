// Package tabler reads and writes the platform's transactional table service.
package tabler

import (
	"context"
	"time"
)

// Row is one record. Version counts its writes; version 0 means absent.
type Row struct {
	Key     string    `json:"key"`
	Value   []byte    `json:"value,omitempty"`
	Version uint64    `json:"version"`
	Expires time.Time `json:"expires,omitzero"`
}

// Write replaces the row Key if its version still is Version.
// The row ends at Expires unless that is zero.
type Write struct {
	Key     string    `json:"key"`
	Value   []byte    `json:"value"`
	Version uint64    `json:"version"`
	Expires time.Time `json:"expires,omitzero"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the rows named by keys, in that order.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Apply commits all writes or none. It returns the current rows of those
	// writes whose version did not match; if there are any, nothing was
	// written. After an error the writes may take effect at any later time,
	// unless its verdict is judge.NotRun.
	Apply(ctx context.Context, writes []Write) ([]Row, error)
}
