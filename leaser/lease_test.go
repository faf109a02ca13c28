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

// A holder that was frozen past its lease may not act, cannot renew, and its
// orders lose against those of the next holder.
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
	assert.Assert(t, !old.Valid(now.Add(3*time.Second)), "the first term has ended")

	now = now.Add(11 * time.Second) // frozen meanwhile
	assert.Assert(t, !renewed.Valid(now))
	_, err = second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld, "the renewal is seen for the first time")
	now = now.Add(12 * time.Second)
	_, err = second.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld, "the margin is kept clear")
	now = now.Add(time.Second)
	next, err := second.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, next.FencingToken > renewed.FencingToken)
	_, err = first.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)

	engine := inferrer.New(inferrer.Options{Weights: "v1", Pieces: 1, ChecksFence: true})
	assert.NilError(t, engine.ApplyOrder(commander.Order{Fence: next.FencingToken, Weights: "v2"}))
	assert.Assert(t, engine.ApplyOrder(commander.Order{Fence: renewed.FencingToken, Weights: "v1"}) != nil, "an older order undoes a newer one")
}

// A lease that was given back can be taken at once, with a higher fence and
// word of its last use; the holder that gave it back never takes it again.
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
	assert.Equal(t, next.PreviousUse, now.Add(-time.Second), "counted from when the release was seen, a second after the last use")
	had, err = first.Release(t.Context(), lastUse)
	assert.NilError(t, err)
	assert.Assert(t, !had)
	_, err = second.Acquire(t.Context())
	assert.NilError(t, err, "a release of another's lease changes nothing")
}
