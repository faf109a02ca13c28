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

// Guards against a holder that acts on its lease after the process was
// suspended beyond its end: it must not renew the lease, and its orders must be
// refused after those of the next holder.
func TestFrozenHolderLosesTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	shared := emulator.New(clock).Table()
	first, second := leaser.New(shared, "lease", "one", leaser.DefaultTerms(), clock), leaser.New(shared, "lease", "two", leaser.DefaultTerms(), clock)
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
	first, second := leaser.New(shared, "lease", "one", leaser.DefaultTerms(), clock), leaser.New(shared, "lease", "two", leaser.DefaultTerms(), clock)
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
