// Package leaser implements a lease with fencing tokens on a row of the table
// service.
package leaser

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/tabler"
)

// ErrHeld means that another holder has the lease.
var ErrHeld = eris.New("the lease is held by another")

// eraBits and versionBits are the bits of a fencing token for the era and the version of the
// row. Together they fit in the integers that JSON numbers represent exactly.
const (
	eraBits     = 13
	versionBits = 40
)

// Terms are the durations of a lease.
type Terms struct {
	// LengthMillis is how long a lease lasts unless it is renewed.
	LengthMillis int
	// MarginMillis is subtracted from the end of the lease by its holder and
	// added to it by others, as a safety margin against slow calls.
	MarginMillis int
}

// DefaultTerms returns the terms for the router's native interface.
func DefaultTerms() Terms { return Terms{LengthMillis: 10000, MarginMillis: 3000} }

func (t Terms) length() time.Duration { return time.Duration(t.LengthMillis) * time.Millisecond }
func (t Terms) margin() time.Duration { return time.Duration(t.MarginMillis) * time.Millisecond }

// Lease is the exclusive right to act until ExpiresAt by the local clock.
type Lease struct {
	FencingToken uint64
	// PreviousUse is an upper bound of the time at which another instance last used
	// the lease, zero if there was no other.
	PreviousUse time.Time
	ExpiresAt   time.Time
	// Reserved means that the holder must acquire the lease before it acts.
	Reserved bool
}

// Valid reports whether the holder may still act at now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.ExpiresAt) }

// Leaser acquires and renews a lease for a holder. It does not compare the clocks of
// instances: the lease of another holder has expired when its row was seen unchanged
// for the length and the margin by the local clock, which must continue while the
// process is suspended, or when the end in its row has passed by the table's clock.
//
// A table that came back from an older copy may have lost the row of the holder. A row
// that was not written in the era in which it is read says nothing about that: whoever
// held the lease in earlier eras, it has ended when the row was seen unchanged in the new
// era for the length and the margin. Only the holder may write the row before.
type Leaser struct {
	table    tabler.Table
	key      string
	holder   string
	terms    Terms
	now      func() time.Time
	tableNow func() (time.Time, bool)

	mu sync.Mutex
	// rowEra and rowVersion are the last version of the row and the era in which it
	// was read, rowReadAt when that was first read.
	rowEra, rowVersion uint64
	rowReadAt          time.Time
	previousUse        time.Time
	// earlierUse is like previousUse, but also bounds the uses by an earlier process of
	// this instance.
	earlierUse time.Time
	// held is the lease that this holder acquired last.
	held Lease
	// attempted means that this holder has tried to acquire the lease, released
	// that it has released it permanently.
	attempted, released bool
}

// row is the value of the row that stores the lease. Count increases with each
// renewal.
type row struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	Count        uint64 `json:"count"`
	// Idle is set on release: the time since the last use of the lease in
	// milliseconds.
	Idle int64 `json:"idle,omitempty"`
	// Until is an upper bound of the time at which the lease was or can be used
	// last, in milliseconds by the table's clock, 0 if unknown.
	Until int64 `json:"until,omitempty"`
	// Reserved means that the holder has not used the lease.
	Reserved bool `json:"reserved,omitempty"`
	// Prior is an upper bound of the time at which another instance used the lease
	// before the holder had it, in milliseconds by the table's clock, 0 if unknown.
	Prior int64 `json:"prior,omitempty"`
	// Era is the era of the table in which the holder read the row that this one
	// replaced.
	Era uint64 `json:"era,omitempty"`
}

// New returns a leaser of the lease in the row with a key. The holder's name
// must be unique to each start of a process, so that a process never renews the
// lease of an earlier one. If it is that of the instance, an @ and what is unique to the
// start, the lease of an earlier process of the instance, which has ended, is taken over
// at once. tableNow returns the time by the table's clock, from which an
// instance that has just started knows that a lease has expired; it may be behind
// that clock but never ahead, after a read of the table by no more than that took, and
// returns false while it is unknown.
func New(table tabler.Table, key, holder string, terms Terms, now func() time.Time, tableNow func() (time.Time, bool)) *Leaser {
	return &Leaser{table: table, key: key, holder: holder, terms: terms, now: now, tableNow: tableNow}
}

// Acquire acquires or renews the lease. The fencing token increases when the
// holder changes. The error is ErrHeld if another has the lease or after
// Release, or an error of the table; after an error of the table the lease may
// have been acquired, which the next call detects.
func (l *Leaser) Acquire(ctx context.Context) (Lease, error) { return l.acquire(ctx, false) }

// Reserve acquires or renews the lease like Acquire, but a holder that only reserved it
// must not act. Its successor finds in the row that the lease was not used.
func (l *Leaser) Reserve(ctx context.Context) (Lease, error) { return l.acquire(ctx, true) }

// Observe reads the row of the lease. If it names no holder of the current era, Acquire waits
// for a holder of an earlier one from then on.
func (l *Leaser) Observe(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _, err := l.read(ctx)
	return err
}

func (l *Leaser) acquire(ctx context.Context, reserve bool) (Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return Lease{}, ErrHeld
	}
	begun := l.now() // not the time of the answer: the lease would end too late
	old, read, err := l.read(ctx)
	if err != nil {
		return Lease{}, err
	}
	next := row{Holder: l.holder, FencingToken: old.FencingToken, Count: old.Count + 1, Era: read.Era, Reserved: reserve && old.Reserved}
	switch lost := old.Era != read.Era; {
	case lost && l.held.Valid(l.now()):
		next.FencingToken, next.Reserved = l.held.FencingToken, reserve && l.held.Reserved
	case lost || old.Holder != l.holder:
		if l.isHeld(old, read, begun) {
			return Lease{}, ErrHeld
		}
		if next.FencingToken, err = nextToken(old, read); err != nil {
			return Lease{}, err
		}
		next.Reserved = reserve && (lost || old.Reserved || !l.isEarlierProcess(old.Holder))
		l.previousUse = l.lastUse(old, read, old.Reserved || l.isEarlierProcess(old.Holder))
		l.earlierUse = l.lastUse(old, read, old.Reserved)
	}
	next.Prior = l.priorMillis(begun)
	l.attempted = true
	next.Until = l.tableMillis(l.terms.length() - l.terms.margin())
	lease, err := l.write(ctx, next, read, begun)
	if err == nil {
		l.held = lease
	}
	return lease, err
}

// read reads the row of the lease and records when this version of it was first read.
func (l *Leaser) read(ctx context.Context) (row, tabler.Row, error) {
	rows, err := l.table.Get(ctx, l.key)
	if err != nil {
		return row{}, tabler.Row{}, eris.Wrap(err, "read the row of the lease")
	}
	var decoded row
	read := rows[0]
	if read.Version > 0 {
		if err := json.Unmarshal(read.Value, &decoded); err != nil {
			return row{}, tabler.Row{}, eris.Wrap(err, "decode the row of the lease")
		}
	}
	if read.Version != l.rowVersion || read.Era != l.rowEra {
		l.rowEra, l.rowVersion, l.rowReadAt = read.Era, read.Version, l.now()
	}
	return decoded, read, nil
}

// nextToken returns a fencing token that is above all earlier ones. In a table with eras it
// is of the era and the version that is replaced, which only one write in the era can do:
// tokens in rows may have been lost.
func nextToken(old row, read tabler.Row) (uint64, error) {
	if read.Era == 0 {
		return old.FencingToken + 1, nil
	}
	if read.Era>>eraBits > 0 || read.Version>>versionBits > 0 {
		return 0, eris.Errorf("no fencing token is left in era %d for version %d", read.Era, read.Version)
	}
	return read.Era<<versionBits | read.Version, nil
}

// isHeld reports whether another holder may have the lease in a row that was read.
func (l *Leaser) isHeld(old row, read tabler.Row, begun time.Time) bool {
	if !begun.Before(l.rowReadAt.Add(l.terms.length() + l.terms.margin())) {
		return false
	}
	if old.Era != read.Era {
		return true
	}
	return old.Holder != "" && !l.isEarlierProcess(old.Holder) && !l.endedByTable(old)
}

// isEarlierProcess reports whether a holder was an earlier process of this instance.
func (l *Leaser) isEarlierProcess(other string) bool {
	name, _, named := strings.Cut(l.holder, "@")
	otherName, _, _ := strings.Cut(other, "@")
	return named && name == otherName
}

// endedByTable reports whether the lease in a row has ended by the table's clock.
func (l *Leaser) endedByTable(old row) bool {
	tableNow, known := l.tableNow()
	return known && old.Until > 0 && !tableNow.Before(time.UnixMilli(old.Until).Add(l.terms.margin()))
}

// lastUse returns an upper bound of the time at which the lease in a row was last used, by
// the local clock, or if it counts as unused, at which another instance used it before. It
// is zero if there was no other holder.
func (l *Leaser) lastUse(old row, read tabler.Row, unused bool) time.Time {
	if old.Era != read.Era {
		return l.rowReadAt.Add(l.terms.length() + l.terms.margin())
	}
	if old.FencingToken == 0 {
		return time.Time{}
	}
	bound := l.now()
	slack := 2 * l.terms.margin() // the last use may be a call that arrives late
	if old.Holder == "" {
		bound, slack = l.rowReadAt.Add(-time.Duration(old.Idle)*time.Millisecond), 0
	}
	until := old.Until
	if unused && old.Prior > 0 {
		until, slack = old.Prior, 0
	}
	tableNow, known := l.tableNow()
	if !known || until == 0 {
		return bound
	}
	byTable := l.now().Add(time.UnixMilli(until).Sub(tableNow) + slack)
	if byTable.Before(bound) {
		return byTable
	}
	return bound
}

// priorMillis returns the time of the previous use by the table's clock, which was read
// after begun, the first millisecond of that clock if there was none, and 0 if it is
// unknown.
func (l *Leaser) priorMillis(begun time.Time) int64 {
	if l.previousUse.IsZero() {
		return 1
	}
	return l.tableMillis(l.previousUse.Sub(begun)) // the estimate is not before the time at which the read began
}

// tableMillis returns the time by the table's clock after a duration, rounded up, and 0
// if it is unknown.
func (l *Leaser) tableMillis(after time.Duration) int64 {
	tableNow, known := l.tableNow()
	if !known {
		return 0
	}
	return tableNow.Add(after).UnixMilli() + 1
}

// Release releases the lease permanently and reports whether this holder had
// it. lastUse is the time of its last use, zero if there was none. From the later one of
// it and the last use by an earlier holder, the next holder computes PreviousUse.
func (l *Leaser) Release(ctx context.Context, lastUse time.Time) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	if !l.attempted {
		return false, nil
	}
	begun := l.now()
	old, read, err := l.read(ctx)
	if err != nil {
		return false, err
	}
	lost := old.Era != read.Era
	switch {
	case lost && l.held.Valid(l.now()):
		old.FencingToken = l.held.FencingToken
	case lost || old.Holder != l.holder:
		return false, nil
	}
	if lastUse.Before(l.earlierUse) {
		lastUse = l.earlierUse
	}
	next := row{FencingToken: old.FencingToken, Count: old.Count + 1, Era: read.Era, Idle: l.now().Sub(lastUse).Milliseconds()}
	next.Until = l.tableMillis(lastUse.Sub(begun)) // the estimate is not before the time at which the read began
	l.held = Lease{}                               // another may acquire it from now on
	_, err = l.write(ctx, next, read, l.now())
	return err == nil, err
}

func (l *Leaser) write(ctx context.Context, next row, read tabler.Row, begun time.Time) (Lease, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Lease{}, eris.Wrap(err, "encode the row of the lease")
	}
	conflicts, err := l.table.Apply(ctx, []tabler.Write{{Key: l.key, Value: value, Version: read.Version, Era: read.Era}})
	if err != nil {
		return Lease{}, eris.Wrap(err, "write the row of the lease")
	}
	if len(conflicts) > 0 {
		return Lease{}, ErrHeld
	}
	return Lease{FencingToken: next.FencingToken, PreviousUse: l.previousUse, ExpiresAt: begun.Add(l.terms.length() - l.terms.margin()), Reserved: next.Reserved}, nil
}
