package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/commander"
	"wisteriadrum/emulator"
	"wisteriadrum/inferrer"
	"wisteriadrum/leaser"
)

// noTableClock is the clock of a table that tells no time.
func noTableClock() (time.Time, bool) { return time.Time{}, false }

// Guards against a holder that acts on its lease after the process was
// suspended beyond its end: it must not renew the lease, and its orders must be
// refused after those of the next holder.
func TestFrozenHolderLosesTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	shared := emulator.New(clock).Table()
	first, second := leaser.New(shared, "lease", "one", leaser.DefaultTerms(), clock, noTableClock), leaser.New(shared, "lease", "two", leaser.DefaultTerms(), clock, noTableClock)
	old, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, old.Valid(now))
	_, err = second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)
	now = now.Add(5 * time.Second)
	renewed, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, renewed.FencingToken, old.FencingToken)
	assert.Assert(t, !old.Valid(now.Add(3*time.Second)), "the lease is valid beyond its first term")

	now = now.Add(11 * time.Second) // the process is suspended
	assert.Assert(t, !renewed.Valid(now))
	_, err = second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld, "the first read of the renewal starts the wait")
	now = now.Add(12 * time.Second)
	_, err = second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld, "the lease was acquired within the margin")
	now = now.Add(time.Second)
	next, err := second.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, next.FencingToken > renewed.FencingToken)
	_, err = first.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)

	engine := inferrer.New(inferrer.Options{Weights: "v1", CachePieces: 1, ChecksFence: true})
	assert.NilError(t, engine.ApplyOrder(commander.Order{Fence: next.FencingToken, Weights: "v2"}))
	assert.Assert(t, engine.ApplyOrder(commander.Order{Fence: renewed.FencingToken, Weights: "v1"}) != nil, "an order with an outdated fencing token was accepted")
}

// Guards against a released lease that cannot be acquired at once, keeps its
// fencing token or loses the time of its last use, and against a holder that
// acquires it again after releasing it.
func TestReleasedLease(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	shared := emulator.New(clock).Table()
	first, second := leaser.New(shared, "lease", "one", leaser.DefaultTerms(), clock, noTableClock), leaser.New(shared, "lease", "two", leaser.DefaultTerms(), clock, noTableClock)
	old, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, old.PreviousUse.IsZero())
	lastUse := now
	now = now.Add(time.Second)
	had, err := first.Release(t.Context(), lastUse)
	assert.NilError(t, err)
	assert.Assert(t, had)
	_, err = first.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)
	now = now.Add(time.Second)
	next, err := second.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, next.FencingToken > old.FencingToken)
	assert.Equal(t, next.PreviousUse, now.Add(-time.Second), "PreviousUse must be the first read of the release less the idle time of a second")
	had, err = first.Release(t.Context(), lastUse)
	assert.NilError(t, err)
	assert.Assert(t, !had)
	_, err = second.Acquire(t.Context())
	assert.NilError(t, err, "a release by another than the holder changed the lease")
}

// Guards against orders that wait for the end and the last use of a lease which ended
// before all instances were restarted.
func TestLeaseThatEndedBeforeTheStart(t *testing.T) {
	tableNow := time.UnixMilli(5000)
	table := emulator.New(func() time.Time { return tableNow }).Table()
	// start returns the leaser of a process whose clock has another zero point.
	start := func(holder string, zero time.Duration) (*leaser.Leaser, func() time.Time) {
		clock := func() time.Time { return tableNow.Add(zero) }
		storeClock := func() (time.Time, bool) { return tableNow.Add(-40 * time.Millisecond), true }
		return leaser.New(table, "lease", holder, leaser.DefaultTerms(), clock, storeClock), clock
	}
	first, _ := start("one", time.Hour)
	old, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	tableNow = tableNow.Add(9 * time.Second)
	early, _ := start("two", -time.Hour)
	_, err = early.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld, "the margin has not passed")
	tableNow = tableNow.Add(12 * time.Second)
	late, clock := start("three", 0)
	next, err := late.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, next.FencingToken > old.FencingToken)
	idle := clock().Sub(next.PreviousUse)
	assert.Assert(t, idle > 7*time.Second && idle <= 14*time.Second, "idle for %s: used for at most 7 s of the 21 s", idle)
	had, err := late.Release(t.Context(), clock())
	assert.NilError(t, err)
	assert.Assert(t, had)
	tableNow = tableNow.Add(5 * time.Second)
	last, clock := start("four", time.Minute)
	next, err = last.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, clock().Sub(next.PreviousUse) > 4900*time.Millisecond && clock().Sub(next.PreviousUse) <= 5*time.Second)
}
