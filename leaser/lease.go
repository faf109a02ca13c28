// Package leaser holds a lease with a fencing number in the table service.
package leaser

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/tabler"
)

const (
	// length is how long a lease lasts unless it is renewed.
	length = 10 * time.Second
	// margin is kept clear at its end by the holder, and after its end by
	// others, against clocks that differ and calls that take long.
	margin = 3 * time.Second
)

// ErrHeld is returned while another holds the lease.
var ErrHeld = eris.New("the lease is held by another")

// Lease is the right to give orders until Until by this process's clock.
type Lease struct {
	Fence uint64
	Until time.Time
}

// Valid reports whether the holder may still act at now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }

// Leaser takes and renews one lease for one holder.
type Leaser struct {
	table  tabler.Table
	key    string
	holder string
	now    func() time.Time
}

// row is the value of the lease's row.
type row struct {
	Holder string    `json:"holder"`
	Fence  uint64    `json:"fence"`
	Until  time.Time `json:"until"`
}

// New returns a leaser of the lease in the row key. The holder's name must be
// new with each start, so that a process never renews an earlier one's lease.
func New(table tabler.Table, key, holder string, now func() time.Time) *Leaser {
	return &Leaser{table: table, key: key, holder: holder, now: now}
}

// Take takes the lease or renews it. A lease that changes hands gets a higher
// fencing number. The error is ErrHeld, or the table's; after that the lease
// may have been taken, and the next call finds out.
func (l *Leaser) Take(ctx context.Context) (Lease, error) {
	begun := l.now() // the time of the answer would be too late
	rows, err := l.table.Get(ctx, l.key)
	if err != nil {
		return Lease{}, eris.Wrap(err, "read the lease")
	}
	var old row
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &old); err != nil {
			return Lease{}, eris.Wrap(err, "decode the lease")
		}
	}
	next := row{Holder: l.holder, Fence: old.Fence, Until: begun.Add(length)}
	if old.Holder != l.holder {
		if old.Holder != "" && begun.Before(old.Until.Add(margin)) {
			return Lease{}, ErrHeld
		}
		next.Fence++
	}
	return l.write(ctx, next, rows[0].Version, begun)
}

func (l *Leaser) write(ctx context.Context, next row, version uint64, begun time.Time) (Lease, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Lease{}, eris.Wrap(err, "encode the lease")
	}
	conflicts, err := l.table.Apply(ctx, []tabler.Write{{Key: l.key, Value: value, Version: version}})
	if err != nil {
		return Lease{}, eris.Wrap(err, "write the lease")
	}
	if len(conflicts) > 0 {
		return Lease{}, ErrHeld
	}
	return Lease{Fence: next.Fence, Until: begun.Add(length - margin)}, nil
}
