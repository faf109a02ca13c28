package leaser_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/leaser"
	"wisteriadrum/tabler"
)

// local is the clock of all processes in a test of a restored table.
type local struct{ time time.Time }

func (l *local) now() time.Time { return l.time }

func (l *local) wait(d time.Duration) { l.time = l.time.Add(d) }

// begin returns the leaser of a process with a table.
func (l *local) begin(table tabler.Table, holder string) *leaser.Leaser {
	return leaser.New(table, "lease", holder, leaser.DefaultTerms(), l.now, noTableClock)
}

// acquireInTime acquires a lease that may have to be waited for.
func (l *local) acquireInTime(t *testing.T, from *leaser.Leaser) leaser.Lease {
	t.Helper()
	lease, err := from.Acquire(t.Context())
	if err != nil {
		l.wait(13 * time.Second)
		lease, err = from.Acquire(t.Context())
	}
	assert.NilError(t, err)
	return lease
}

// Guards against a fencing token that is given out again, or a lower one, after the row
// with the last one was lost.
func TestTokensOfALostRow(t *testing.T) {
	clock, table := &local{time.Unix(1000, 0)}, newStore()
	table.keep()
	latest := uint64(0)
	for _, holder := range []string{"a@1", "b@1", "", "b@1", "c@1", "", "d@1"} {
		if holder == "" {
			table.restore(0)
			continue
		}
		l := clock.begin(table, holder)
		lease := clock.acquireInTime(t, l)
		assert.Assert(t, lease.FencingToken > latest, "holder %s got the token %d after %d", holder, lease.FencingToken, latest)
		latest = lease.FencingToken
		assert.Assert(t, latest < 1<<53)
		_, err := l.Release(t.Context(), clock.now())
		assert.NilError(t, err)
	}
}

// Guards against a token that is given out again, after a late write of an earlier era has
// replaced the row with the last one.
func TestTokenOfAReplacedRow(t *testing.T) {
	clock, table := &local{time.Unix(1000, 0)}, newStore()
	table.keep()
	assert.Assert(t, table.write(tabler.Write{Value: []byte(`{"holder":"x@1","fence":1099511627776,"era":1}`)}))
	late := table.row
	table.restore(0)
	first := clock.acquireInTime(t, clock.begin(table, "a@1"))
	assert.Assert(t, table.write(tabler.Write{Value: late.Value, Version: table.row.Version}))
	next := clock.acquireInTime(t, clock.begin(table, "b@1"))
	assert.Assert(t, next.FencingToken > first.FencingToken)
}

// Guards against a token that wraps around.
func TestNoTokenIsLeft(t *testing.T) {
	clock := &local{time.Unix(1000, 0)}
	for _, row := range []tabler.Row{{Era: 1 << 13}, {Era: 1, Version: 1 << 40, Value: []byte("{}")}} {
		l := clock.begin(&store{row: row}, "a@1")
		_, _ = l.Acquire(t.Context())
		clock.wait(13 * time.Second)
		_, err := l.Acquire(t.Context())
		assert.ErrorContains(t, err, "no fencing token is left")
	}
}

// Guards against a second holder after the row of the first was lost, whatever an older
// row says, and against a bound of the last use before the end of the first.
func TestLeaseOfALostRow(t *testing.T) {
	for name, older := range map[string]string{
		"missing":         "",
		"released":        `{"fence":1099511627776,"count":2,"era":1}`,
		"earlier process": `{"holder":"b@0","fence":1099511627776,"count":1,"prior":1,"era":1}`,
		"ended":           `{"holder":"x@0","fence":1099511627776,"count":1,"until":1,"era":1}`,
		"reserved":        `{"holder":"x@0","fence":1099511627776,"count":1,"until":1,"reserved":true,"prior":1,"era":1}`,
		"without an era":  `{"holder":"","fence":7,"count":1}`,
	} {
		clock, table := &local{time.Unix(1000, 0)}, newStore()
		first := clock.acquireInTime(t, clock.begin(table, "a@1"))
		table.row.Value, table.row.Version = []byte(older), 0
		if older != "" {
			table.row.Version = 1
		}
		table.keep()
		table.restore(0)
		second := leaser.New(table, "lease", "b@1", leaser.DefaultTerms(), clock.now, func() (time.Time, bool) { return clock.now(), true })
		for _, wait := range []time.Duration{0, 12999 * time.Millisecond} {
			clock.wait(wait)
			_, err := second.Acquire(t.Context())
			assert.ErrorIs(t, err, leaser.ErrHeld, "row: %s, after %s", name, wait)
		}
		clock.wait(time.Millisecond)
		lease, err := second.Acquire(t.Context())
		assert.NilError(t, err, "row: %s", name)
		assert.Check(t, !lease.PreviousUse.Before(first.ExpiresAt.Add(6*time.Second)), "row: %s", name) // calls of the first may arrive late
	}
}

// Guards against a wait that began before the row came back under the same version.
func TestRowThatCameBack(t *testing.T) {
	clock, table := &local{time.Unix(1000, 0)}, newStore()
	first, second := clock.begin(table, "a@1"), clock.begin(table, "b@1")
	clock.acquireInTime(t, first)
	table.keep()
	_, err := second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)
	clock.wait(6500 * time.Millisecond)
	renewed, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	clock.wait(6500 * time.Millisecond)
	table.restore(0)
	assert.Assert(t, renewed.Valid(clock.now()))
	_, err = second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)
}

// Guards against a holder that cannot go on after the row was lost, or that goes on with
// an older row after its lease has ended.
func TestHolderOfALostRow(t *testing.T) {
	for _, ended := range []bool{false, true} {
		clock, table := &local{time.Unix(1000, 0)}, newStore()
		first, second := clock.begin(table, "a@1"), clock.begin(table, "b@1")
		old := clock.acquireInTime(t, first)
		table.keep()
		if ended {
			clock.wait(7 * time.Second)
		}
		table.restore(0)
		held, err := first.Acquire(t.Context())
		if ended {
			assert.ErrorIs(t, err, leaser.ErrHeld)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, held.FencingToken, old.FencingToken)
		clock.wait(6 * time.Second)
		_, err = second.Acquire(t.Context())
		assert.ErrorIs(t, err, leaser.ErrHeld)
		_, err = first.Acquire(t.Context())
		assert.NilError(t, err)
	}
}

// lateTable is a table that comes back from a copy before each write takes place.
type lateTable struct{ *store }

func (l lateTable) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	l.restore(0)
	return l.store.Apply(ctx, writes)
}

// Guards against a lease by a write that replaced a row of another era, and against a row
// so written that is taken for one of the new era.
func TestWriteInANewEra(t *testing.T) {
	clock, table := &local{time.Unix(1000, 0)}, newStore()
	table.keep()
	holder := clock.begin(table, "a@1")
	held := clock.acquireInTime(t, holder)
	_, err := clock.begin(lateTable{table}, "b@1").Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)
	table.keep()
	_, err = clock.begin(lateTable{table}, "a@2").Acquire(t.Context()) // the lease of a@1 would be taken over at once
	assert.ErrorIs(t, err, tabler.ErrOtherEra)
	assert.Equal(t, table.row.Era, uint64(2))
	_, err = clock.begin(table, "a@3").Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld, "the row says that it is of the era before")
	renewed, err := holder.Acquire(t.Context())
	assert.NilError(t, err, "the holder did not get the row back")
	assert.Equal(t, renewed.FencingToken, held.FencingToken)
}

// Guards against a release that is lost with the row, and against one of a lease that has
// ended, which would give free the lease of another.
func TestReleaseOfALostRow(t *testing.T) {
	for _, ended := range []bool{false, true} {
		clock, table := &local{time.Unix(1000, 0)}, newStore()
		table.keep()
		first := clock.begin(table, "a@1")
		clock.acquireInTime(t, first)
		used := clock.now()
		clock.wait(6 * time.Second)
		if ended {
			table.keep()
			clock.wait(time.Second)
		}
		table.restore(len(table.copies) - 1)
		had, err := first.Release(t.Context(), used)
		assert.NilError(t, err)
		assert.Equal(t, had, !ended)
		next, err := clock.begin(table, "b@1").Acquire(t.Context())
		if ended {
			assert.ErrorIs(t, err, leaser.ErrHeld)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, next.PreviousUse, used)
	}
}

// Guards against a second release that gives free the lease of another, after the row with
// the first release was lost.
func TestSecondRelease(t *testing.T) {
	clock, table := &local{time.Unix(1000, 0)}, newStore()
	table.keep()
	first := clock.begin(table, "a@1")
	clock.acquireInTime(t, first)
	had, err := first.Release(t.Context(), clock.now())
	assert.NilError(t, err)
	assert.Assert(t, had)
	_, err = clock.begin(table, "b@1").Acquire(t.Context())
	assert.NilError(t, err)
	table.restore(0)
	had, err = first.Release(t.Context(), clock.now())
	assert.NilError(t, err)
	assert.Assert(t, !had)
	assert.Equal(t, table.row.Version, uint64(0))
}
