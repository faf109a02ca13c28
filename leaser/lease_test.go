package leaser_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/commander"
	"wisteriadrum/emulator"
	"wisteriadrum/inferrer"
	"wisteriadrum/leaser"
	"wisteriadrum/synchronizer"
	"wisteriadrum/tabler"
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

// distantTable is a table whose answers tell the time at which they were sent and
// take latency, from which clock estimates the table's clock. now is the time of all.
type distantTable struct {
	tabler.Table
	now     *time.Time
	latency time.Duration
	clock   *synchronizer.Synchronizer
	// local is the clock of the process.
	local func() time.Time
}

func (d distantTable) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	sentAt := d.local()
	rows, err := d.Table.Get(ctx, keys...)
	sent := *d.now
	*d.now = d.now.Add(d.latency)
	d.clock.Observe(sent, sentAt)
	return rows, err
}

// start returns the leaser of a process whose clock has another zero point than the
// table's, and that clock. Its estimate of the table's clock is behind by latency.
func start(table tabler.Table, now *time.Time, holder string, zero, latency time.Duration) (*leaser.Leaser, func() time.Time) {
	clock := func() time.Time { return now.Add(zero) }
	estimate := synchronizer.New(clock)
	distant := distantTable{Table: table, now: now, latency: latency, clock: estimate, local: clock}
	return leaser.New(distant, "lease", holder, leaser.DefaultTerms(), clock, estimate.Now), clock
}

// Guards against orders that wait for the end and the last use of a lease which ended
// before all instances were restarted, and against a bound before the last use if the
// estimates of the table's clock are not behind by the same.
func TestLeaseThatEndedBeforeTheStart(t *testing.T) {
	for _, behind := range []struct{ before, after time.Duration }{{40, 40}, {40, 0}, {0, 40}, {900, 0}, {0, 900}} {
		before, after := behind.before*time.Millisecond, behind.after*time.Millisecond
		now := time.UnixMilli(5000)
		table := emulator.New(func() time.Time { return now }).Table()
		first, _ := start(table, &now, "one", time.Hour, before)
		old, err := first.Acquire(t.Context())
		assert.NilError(t, err)
		acquired := now
		now = acquired.Add(9 * time.Second)
		early, _ := start(table, &now, "two", -time.Hour, after)
		_, err = early.Acquire(t.Context())
		assert.ErrorIs(t, err, leaser.ErrHeld, "the margin has not passed")
		now = acquired.Add(21 * time.Second)
		late, clock := start(table, &now, "three", 0, after)
		next, err := late.Acquire(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, next.FencingToken > old.FencingToken)
		idle := clock().Sub(next.PreviousUse)
		assert.Assert(t, idle > 7*time.Second && idle <= 14*time.Second, "idle for %s: used for at most 7 s of the 21 s", idle)
		lastUse := now
		had, err := late.Release(t.Context(), clock())
		assert.NilError(t, err)
		assert.Assert(t, had)
		now = now.Add(5 * time.Second)
		last, clock := start(table, &now, "four", time.Minute, before)
		next, err = last.Acquire(t.Context())
		assert.NilError(t, err)
		used := now.Sub(lastUse)
		idle = clock().Sub(next.PreviousUse)
		assert.Check(t, idle > used-before-2*time.Millisecond && idle <= used, "idle for %s, last used %s ago, behind by %s and then %s", idle, used, after, before)
	}
}

// Guards against a release that tells an earlier last use than there was, or a much
// later one, for a holder and a successor whose estimates of the table's clock are
// behind by different times.
func TestReleaseIsNotBeforeTheLastUse(t *testing.T) {
	latencies := []time.Duration{0, 60 * time.Millisecond, 900 * time.Millisecond}
	for _, behind := range latencies {
		for _, successorBehind := range latencies {
			now := time.UnixMilli(5000)
			table := emulator.New(func() time.Time { return now }).Table()
			holder, clock := start(table, &now, "one", time.Hour, behind)
			_, err := holder.Acquire(t.Context())
			assert.NilError(t, err)
			lastUse, lastUseByClock := now, clock()
			now = now.Add(2 * time.Second)
			had, err := holder.Release(t.Context(), lastUseByClock)
			assert.NilError(t, err)
			assert.Assert(t, had)
			now = now.Add(5 * time.Second)
			successor, clock := start(table, &now, "two", -time.Hour, successorBehind)
			next, err := successor.Acquire(t.Context())
			assert.NilError(t, err)
			late := now.Sub(lastUse) - clock().Sub(next.PreviousUse)
			assert.Check(t, late >= 0 && late < successorBehind+2*time.Millisecond, "the bound is %s after the last use, behind by %s and then %s", late, behind, successorBehind)
		}
	}
}

// Guards against a holder that gives no order, or only older ones than the holder before
// it, and with whose release the next forgets the orders of that one.
func TestReleaseKeepsThePreviousUse(t *testing.T) {
	for _, known := range []bool{false, true} {
		for _, own := range []time.Duration{-time.Hour, 0} { // 0 is no use at all
			now := time.UnixMilli(5000)
			table := emulator.New(func() time.Time { return now }).Table()
			begin := func(holder string) (*leaser.Leaser, func() time.Time) {
				if known {
					return start(table, &now, holder, time.Hour, 0)
				}
				clock := func() time.Time { return now.Add(time.Hour) }
				return leaser.New(table, "lease", holder, leaser.DefaultTerms(), clock, noTableClock), clock
			}
			first, clock := begin("one")
			_, err := first.Acquire(t.Context())
			assert.NilError(t, err)
			used := clock()
			now = now.Add(200 * time.Millisecond)
			_, err = first.Release(t.Context(), used)
			assert.NilError(t, err)
			second, _ := begin("two")
			_, err = second.Acquire(t.Context())
			assert.NilError(t, err)
			now = now.Add(400 * time.Millisecond)
			lastUse := time.Time{}
			if own != 0 {
				lastUse = used.Add(own)
			}
			had, err := second.Release(t.Context(), lastUse)
			assert.NilError(t, err)
			assert.Assert(t, had)
			third, _ := begin("three")
			next, err := third.Acquire(t.Context())
			assert.NilError(t, err)
			late := next.PreviousUse.Sub(used)
			assert.Check(t, late >= 0 && late < 3*time.Millisecond, "the bound is %s after the last use (table's clock known: %t, own use: %s)", late, known, own)
		}
	}
}

// Guards against a bound of the last use that ignores orders which arrive late, or that is
// later than the takeover.
func TestLastUseOfALeaseThatEnded(t *testing.T) {
	for _, test := range []struct{ after, idle time.Duration }{
		{10002 * time.Millisecond, 0},                       // orders of the holder may still arrive
		{13 * time.Second, 0},                               // the last moment at which one may
		{21 * time.Second, 21*time.Second - 13*time.Second}, // 7 s of use and two margins
	} {
		now := time.UnixMilli(5000)
		table := emulator.New(func() time.Time { return now }).Table()
		holder, _ := start(table, &now, "one", time.Hour, 0)
		_, err := holder.Acquire(t.Context())
		assert.NilError(t, err)
		now = now.Add(test.after)
		successor, clock := start(table, &now, "two", -time.Hour, 0)
		next, err := successor.Acquire(t.Context())
		assert.NilError(t, err)
		idle := clock().Sub(next.PreviousUse)
		assert.Check(t, idle >= 0 && idle <= test.idle && idle > test.idle-2*time.Millisecond, "idle for %s after %s", idle, test.after)
	}
}

// Guards against a row without a time by the table's clock, as an instance writes that
// does not know that clock, which is taken for one that ended long ago.
func TestRowWithoutTheTablesTime(t *testing.T) {
	now := time.UnixMilli(5000)
	table := emulator.New(func() time.Time { return now }).Table()
	clock := func() time.Time { return now.Add(time.Hour) }
	first := leaser.New(table, "lease", "one", leaser.DefaultTerms(), clock, noTableClock)
	_, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	now = now.Add(20 * time.Second)
	second, clock := start(table, &now, "two", -time.Hour, 0)
	for _, wait := range []time.Duration{0, 12999 * time.Millisecond} {
		now = now.Add(wait)
		_, err = second.Acquire(t.Context())
		assert.ErrorIs(t, err, leaser.ErrHeld, "the length and the margin have not passed since the first read")
	}
	now = now.Add(time.Millisecond)
	next, err := second.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, next.PreviousUse, clock())

	now = time.UnixMilli(5000)
	table = emulator.New(func() time.Time { return now }).Table()
	first = leaser.New(table, "lease", "one", leaser.DefaultTerms(), clock, noTableClock)
	_, err = first.Acquire(t.Context())
	assert.NilError(t, err)
	_, err = first.Release(t.Context(), clock().Add(-time.Second))
	assert.NilError(t, err)
	now = now.Add(4 * time.Second)
	second, clock = start(table, &now, "two", time.Minute, 0)
	next, err = second.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, next.PreviousUse, clock().Add(-time.Second), "PreviousUse must be the first read of the release less the idle time")
}

// Guards against a wait for the lease of an earlier process of the instance, which is
// lost again and again with each holder, and against forgetting the use before that.
func TestLeaseOfAnEarlierProcess(t *testing.T) {
	now := time.UnixMilli(5000)
	table := emulator.New(func() time.Time { return now }).Table()
	other, _ := start(table, &now, "a@1", time.Hour, 0)
	_, err := other.Acquire(t.Context())
	assert.NilError(t, err)
	now = now.Add(21 * time.Second) // 8 s after the last order of the other may arrive
	for process := range 3 {
		now = now.Add(100 * time.Millisecond)
		l, clock := start(table, &now, fmt.Sprintf("b@%d", process), time.Duration(process)*time.Minute, 40*time.Millisecond)
		lease, err := l.Acquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, lease.FencingToken, uint64(process+2))
		idle, passed := clock().Sub(lease.PreviousUse), 8*time.Second+time.Duration(process+1)*100*time.Millisecond
		assert.Check(t, idle <= passed && idle > passed-200*time.Millisecond, "idle for %s after %s", idle, passed)
	}
	stranger, _ := start(table, &now, "bb@1", 0, 0)
	_, err = stranger.Acquire(t.Context())
	assert.ErrorIs(t, err, leaser.ErrHeld)
}

// Guards against a pause after a holder that only reserved the lease, and against none
// after one that acquired it then.
func TestReservedLease(t *testing.T) {
	for _, acquired := range []bool{false, true} {
		now := time.UnixMilli(5000)
		table := emulator.New(func() time.Time { return now }).Table()
		first, _ := start(table, &now, "a@1", time.Hour, 0)
		_, err := first.Acquire(t.Context())
		assert.NilError(t, err)
		now = now.Add(14 * time.Second) // 1 s after the last order of the first may arrive
		second, _ := start(table, &now, "b@1", 0, 0)
		lease, err := second.Reserve(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, lease.Reserved)
		if acquired {
			lease, err = second.Acquire(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, !lease.Reserved)
			lease, err = second.Reserve(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, !lease.Reserved, "a holder that may have used the lease can only renew it")
		}
		now = now.Add(15 * time.Second)
		third, clock := start(table, &now, "c@1", time.Minute, 0)
		lease, err = third.Acquire(t.Context())
		assert.NilError(t, err)
		want := 16 * time.Second
		if acquired {
			want = 2 * time.Second // 7 s of use and two margins of 3 s
		}
		idle := clock().Sub(lease.PreviousUse)
		assert.Check(t, idle <= want && idle > want-10*time.Millisecond, "idle for %s, acquired: %t", idle, acquired)
	}
}

// Guards against a use by an earlier process that is forgotten when the next process of
// the instance only reserved the lease.
func TestReservationAfterAnEarlierProcess(t *testing.T) {
	now := time.UnixMilli(5000)
	table := emulator.New(func() time.Time { return now }).Table()
	for _, holder := range []string{"a@1", "a@2"} {
		l, _ := start(table, &now, holder, time.Hour, 0)
		take := l.Acquire
		if holder == "a@2" {
			take = l.Reserve
		}
		_, err := take(t.Context())
		assert.NilError(t, err)
		now = now.Add(time.Second)
	}
	now = now.Add(10 * time.Second)
	other, clock := start(table, &now, "b@1", 0, 0)
	lease, err := other.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Check(t, !lease.PreviousUse.Before(clock().Add(-11*time.Second)), "the lease was used 11 s ago, not %s", clock().Sub(lease.PreviousUse))
}

// slowRequests is a table whose reads call meanwhile before they take place.
type slowRequests struct {
	tabler.Table
	meanwhile func()
}

func (s slowRequests) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	s.meanwhile()
	return s.Table.Get(ctx, keys...)
}

// Guards against a bound of the last use before a use while the row is being read.
func TestUseDuringARead(t *testing.T) {
	now := time.UnixMilli(5000)
	table := emulator.New(func() time.Time { return now }).Table()
	first, _ := start(table, &now, "a@1", 0, 0)
	held, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	now = now.Add(6 * time.Second)
	used := now.Add(500 * time.Millisecond)
	second, _ := start(slowRequests{table, func() { now = now.Add(4010 * time.Millisecond) }}, &now, "b@1", 0, 0)
	lease, err := second.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, held.Valid(used))
	assert.Check(t, !lease.PreviousUse.Before(used), "the bound is %s before a use", used.Sub(lease.PreviousUse))
}

// Guards against a use by an earlier process that is forgotten when the next process of
// the instance releases the lease without having used it.
func TestReleaseAfterAnEarlierProcess(t *testing.T) {
	now := time.UnixMilli(5000)
	table := emulator.New(func() time.Time { return now }).Table()
	first, _ := start(table, &now, "a@1", time.Hour, 0)
	_, err := first.Acquire(t.Context())
	assert.NilError(t, err)
	now = now.Add(time.Second)
	second, _ := start(table, &now, "a@2", 0, 0)
	_, err = second.Acquire(t.Context())
	assert.NilError(t, err)
	_, err = second.Release(t.Context(), time.Time{})
	assert.NilError(t, err)
	now = now.Add(time.Second)
	other, clock := start(table, &now, "b@1", time.Minute, 0)
	lease, err := other.Acquire(t.Context())
	assert.NilError(t, err)
	assert.Check(t, !lease.PreviousUse.Before(clock().Add(-2*time.Second)), "the lease was used 1 to 2 s ago, not %s", clock().Sub(lease.PreviousUse))
}
