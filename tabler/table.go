// Package tabler accesses the platform's transactional table service.
package tabler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrOtherEra means that a write was answered in another era than that of the row which it
// is conditional on. It may have replaced a row of any content, and may be lost.
var ErrOtherEra = eris.New("the table service lost writes since the row was read")

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
// Expires, or never if that is zero. Era is that of the row whose version it is.
type Write struct {
	Key     string    `json:"key"`
	Value   []byte    `json:"value"`
	Version uint64    `json:"version"`
	Expires time.Time `json:"expires,omitzero"`
	Era     uint64    `json:"era,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the rows of keys, in that order.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Apply commits all writes or none. It returns the current rows of those
	// writes whose version did not match; if there are any, nothing was
	// written. After an error the writes may still take effect at any later
	// time, unless the verdict of the error is judge.NotRun. The error is ErrOtherEra
	// if the answer is not of the era of all writes.
	Apply(ctx context.Context, writes []Write) ([]Row, error)
}
