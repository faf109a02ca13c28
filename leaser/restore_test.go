package leaser_test

import (
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
