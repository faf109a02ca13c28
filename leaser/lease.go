// Package leaser holds a lease with a fencing number in the table service.
package leaser

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/tabler"
)

// ErrHeld is returned while another holds the lease.
var ErrHeld = eris.New("the lease is held by another")

// Terms are the lengths of a lease, in milliseconds.
type Terms struct {
	// LengthMillis is how long a lease lasts unless it is renewed.
	LengthMillis int
	// MarginMillis is kept clear at its end by the holder, and after its end by
	// others, against calls that take long.
	MarginMillis int
}

// DefaultTerms is the terms of the product's own interface.
func DefaultTerms() Terms { return Terms{LengthMillis: 10000, MarginMillis: 3000} }

func (t Terms) length() time.Duration { return time.Duration(t.LengthMillis) * time.Millisecond }
func (t Terms) margin() time.Duration { return time.Duration(t.MarginMillis) * time.Millisecond }

// Lease is the right to give orders until Until by this process's clock.
type Lease struct {
	FencingToken uint64
	// PreviousUse is the earliest time at which another may have used the lease last,
	// zero if it had no other holder before.
	PreviousUse time.Time
	ExpiresAt   time.Time
}

// Valid reports whether the holder may still act at now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.ExpiresAt) }

// Leaser takes and renews one lease for one holder. Times are those of its
// own clock only, which must go on while the process is frozen: another's
// lease has ended when its row was seen unchanged for so long.
type Leaser struct {
	table  tabler.Table
	key    string
	holder string
	terms  Terms
	now    func() time.Time

	mu     sync.Mutex
	seen   uint64
	seenAt time.Time
	since  time.Time
	// taken reports that this holder has tried to get the lease, ended that it
	// gave it back for good.
	taken, ended bool
}

// row is the value of the lease's row. Count rises with each renewal.
type row struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	Count  uint64 `json:"count"`
	// Idle is set when the lease was given back: how long before that it had
	// been used last, in milliseconds.
	Idle int64 `json:"idle,omitempty"`
}

// New returns a leaser of the lease in the row key. The holder's name must be
// new with each start, so that a process never renews an earlier one's lease.
func New(table tabler.Table, key, holder string, terms Terms, now func() time.Time) *Leaser {
	return &Leaser{table: table, key: key, holder: holder, terms: terms, now: now}
}

// Acquire takes the lease or renews it. A lease that changes hands gets a higher
// fencing number. The error is ErrHeld, or the table's; after that the lease
// may have been taken, and the next call finds out. After Release it is ErrHeld.
func (l *Leaser) Acquire(ctx context.Context) (Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return Lease{}, ErrHeld
	}
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
	if rows[0].Version != l.seen {
		l.seen, l.seenAt = rows[0].Version, l.now()
	}
	next := row{Holder: l.holder, Fence: old.Fence, Count: old.Count + 1}
	if old.Holder != l.holder {
		if old.Holder != "" && begun.Before(l.seenAt.Add(l.terms.length()+l.terms.margin())) {
			return Lease{}, ErrHeld
		}
		next.Fence++
		l.since = time.Time{}
		if old.Fence > 0 {
			l.since = l.seenAt.Add(-time.Duration(old.Idle) * time.Millisecond)
		}
		if old.Holder != "" {
			l.since = begun
		}
	}
	l.taken = true
	return l.write(ctx, next, rows[0].Version, begun)
}

// Release gives the lease back for good and reports whether this holder had it.
// lastUse is when it was used last, which the next holder is told.
func (l *Leaser) Release(ctx context.Context, lastUse time.Time) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if !l.taken {
		return false, nil
	}
	rows, err := l.table.Get(ctx, l.key)
	if err != nil {
		return false, eris.Wrap(err, "read the lease")
	}
	var old row
	if rows[0].Version == 0 {
		return false, nil
	}
	if err := json.Unmarshal(rows[0].Value, &old); err != nil {
		return false, eris.Wrap(err, "decode the lease")
	}
	if old.Holder != l.holder {
		return false, nil
	}
	_, err = l.write(ctx, row{Fence: old.Fence, Count: old.Count + 1, Idle: l.now().Sub(lastUse).Milliseconds()}, rows[0].Version, l.now())
	return err == nil, err
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
	return Lease{FencingToken: next.Fence, PreviousUse: l.since, ExpiresAt: begun.Add(l.terms.length() - l.terms.margin())}, nil
}
