package informer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriadrum/counter"
	"wisteriadrum/feeder"
	"wisteriadrum/informer"
)

// store is a store of one table that records when it is called and can fail.
type store struct {
	mu      sync.Mutex
	rows    []feeder.Row
	version uint64
	changed chan struct{}
	down    bool
	calls   []time.Time
}

func newStore() *store { return &store{version: 1, changed: make(chan struct{})} }

func (s *store) put(row feeder.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row.Version = s.version
	s.rows = append(s.rows, row)
	s.signal()
}

func (s *store) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) recordCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
}

func (s *store) callCount() int { return s.callsBetween(time.Time{}, time.Now()) }

// callsBetween returns the number of calls that were made between two times.
func (s *store) callsBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.calls {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

var errDown = errors.New("down")

func (s *store) since(after uint64) (feeder.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feeder.Page{}, nil, errDown
	}
	page := feeder.Page{Version: s.version}
	for _, row := range s.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.changed, nil
}

func (s *store) Read(context.Context, string) (feeder.Page, error) {
	s.recordCall()
	page, _, err := s.since(0)
	return page, err
}

func (s *store) Changes(_ context.Context, _ string, after uint64) (feeder.Page, error) {
	s.recordCall()
	page, _, err := s.since(after)
	return page, err
}

func (s *store) Watch(ctx context.Context, _ string, after uint64) (feeder.Page, error) {
	s.recordCall()
	for {
		page, changed, err := s.since(after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return feeder.Page{}, ctx.Err()
		case <-time.After(200 * time.Millisecond):
			return page, nil
		}
	}
}

// instance follows the table and serves it to other instances.
type instance struct {
	store   *store
	inform  *informer.Informer
	feed    *feeder.Feeder
	address string

	mu     sync.Mutex
	rows   map[string]string
	source string
	// late holds how long ago rows may have changed when they were applied.
	late map[string]time.Duration
}

// wallClock is the clock of the store in tests.
func wallClock() (time.Time, bool) { return time.Now(), true }

func newInstance(t *testing.T, table *store) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	i := &instance{store: table, address: listener.Addr().String(), rows: map[string]string{}, late: map[string]time.Duration{}}
	count := counter.New(metrics.NewRegistry())
	i.feed = feeder.New(table, "table", 0, i.apply, count, zap.NewNop())
	dial := func(address string) (net.Conn, error) { return net.Dial("tcp", address) }
	i.inform = informer.New([]*feeder.Feeder{i.feed}, dial, wallClock, wallClock, count, zap.NewNop())
	go func() { _ = i.inform.Serve(listener) }()
	go i.feed.Run(t.Context())
	go i.inform.Run(t.Context(), i.sourceAddress)
	t.Cleanup(func() { _ = listener.Close() })
	return i
}

func (i *instance) apply(rows []feeder.Row, whole bool, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if whole {
		clear(i.rows)
	}
	for _, row := range rows {
		i.rows[row.Key] = string(row.Value)
		if !since.IsZero() {
			i.late[row.Key] = time.Since(since)
		}
		if row.Deleted {
			delete(i.rows, row.Key)
		}
	}
}

func (i *instance) sourceAddress() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.source
}

func (i *instance) setSource(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.source = address
}

func (i *instance) hasRows(want map[string]string) func() bool {
	return func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		if len(want) != len(i.rows) {
			return false
		}
		for key, value := range want {
			if i.rows[key] != value {
				return false
			}
		}
		return true
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func row(key, value string) feeder.Row { return feeder.Row{Key: key, Value: []byte(value)} }

// Guards against changes or deletions that do not arrive from the source,
// against calls to the store while the source sends the changes, and against a
// follower that does not return to the store when the source has lost it.
func TestTablesComeFromTheSource(t *testing.T) {
	shared, own := newStore(), newStore()
	shared.put(row("a", "1"))
	own.put(row("a", "1"))
	source, follower := newInstance(t, shared), newInstance(t, own)
	eventually(t, "both have read the store", func() bool {
		return source.hasRows(map[string]string{"a": "1"})() && follower.hasRows(map[string]string{"a": "1"})()
	})
	follower.setSource(source.address)
	shared.put(row("b", "2"))
	shared.put(feeder.Row{Key: "a", Deleted: true})
	eventually(t, "the changes have arrived", follower.hasRows(map[string]string{"b": "2"}))
	time.Sleep(400 * time.Millisecond) // for the call to the store in flight to end
	before := own.callCount()
	shared.put(row("c", "3"))
	eventually(t, "further changes have arrived", follower.hasRows(map[string]string{"b": "2", "c": "3"}))
	time.Sleep(time.Second)
	assert.Equal(t, own.callCount(), before, "the store was called while the source sent the changes")

	for range 4 {
		own.put(row("d", "4"))
	}
	shared.fail()
	eventually(t, "the store is followed again", follower.hasRows(map[string]string{"b": "2", "c": "3", "d": "4"}))
}

// Guards against a change that a follower takes for a recent one although its source has
// known it for long, also if the source has sent it to another one before.
func TestAgeOfChangesFromTheSource(t *testing.T) {
	shared, unchanged := newStore(), newStore()
	shared.put(row("a", "1"))
	unchanged.put(row("a", "1"))
	source := newInstance(t, shared)
	followers := []*instance{newInstance(t, unchanged), newInstance(t, unchanged)}
	for _, i := range append(followers, source) {
		eventually(t, "all have the table", i.hasRows(map[string]string{"a": "1"}))
	}
	shared.put(row("b", "2"))
	eventually(t, "the source has the change", source.hasRows(map[string]string{"a": "1", "b": "2"}))
	for number, i := range followers {
		eventually(t, "the follower has the change", func() bool {
			i.inform.CatchUpFrom(source.address, source.inform.Versions())
			return i.hasRows(map[string]string{"a": "1", "b": "2"})()
		})
		i.mu.Lock()
		assert.Assert(t, i.late["b"] >= time.Duration(number)*time.Second, "follower %d: late by %s", number, i.late["b"])
		i.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// Guards against a follower that misses changes after it has no source any more.
func TestSourceIsGone(t *testing.T) {
	shared := newStore()
	shared.put(row("a", "1"))
	source, follower := newInstance(t, shared), newInstance(t, shared)
	eventually(t, "the follower has read the store", follower.hasRows(map[string]string{"a": "1"}))
	follower.setSource(source.address)
	time.Sleep(500 * time.Millisecond)
	follower.setSource("")
	shared.put(row("b", "2"))
	eventually(t, "the change has arrived", follower.hasRows(map[string]string{"a": "1", "b": "2"}))
}

// Guards against an instance that stays outdated when only its own connection to
// the store fails: it must request the table from a peer with a newer version.
func TestPeersKnowMore(t *testing.T) {
	reachable, failed := newStore(), newStore()
	reachable.put(row("a", "1"))
	failed.fail()
	first, second := newInstance(t, reachable), newInstance(t, failed)
	eventually(t, "the first instance has read the store", first.hasRows(map[string]string{"a": "1"}))
	second.inform.CatchUpFrom(first.address, first.inform.Versions())
	eventually(t, "the second instance has received the table", second.hasRows(map[string]string{"a": "1"}))
	assert.DeepEqual(t, first.inform.Versions(), second.inform.Versions())
}

// Guards against a table that is not requested from the peer that has it because another
// table has changed meanwhile.
func TestOtherTableMovesOn(t *testing.T) {
	reachable, failed := newStore(), newStore()
	reachable.put(row("a", "1"))
	failed.fail()
	first, second := newInstance(t, reachable), newInstance(t, failed)
	eventually(t, "the first instance has read the store", first.hasRows(map[string]string{"a": "1"}))
	count := counter.New(metrics.NewRegistry())
	other := feeder.New(failed, "other", 0, func([]feeder.Row, bool, time.Time) {}, count, zap.NewNop())
	dial := func(address string) (net.Conn, error) { return net.Dial("tcp", address) }
	both := informer.New([]*feeder.Feeder{second.feed, other}, dial, wallClock, wallClock, count, zap.NewNop())
	go both.Run(t.Context(), func() string { return "" })
	both.CatchUpFrom(first.address, []uint64{first.inform.Versions()[0], 0})
	go func() {
		for version := uint64(1); t.Context().Err() == nil; version++ {
			other.ApplyFromPeer(feeder.Page{Version: version, Rows: []feeder.Row{{Key: "b", Version: version}}})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	eventually(t, "the second instance has received the table", second.hasRows(map[string]string{"a": "1"}))
}

// Guards against a table that is taken for complete up to a later time than the sender knows
// it, by an instance whose only answers of the store were slow.
func TestCompleteByASlowClock(t *testing.T) {
	const slow = 800 * time.Millisecond
	behind := func() (time.Time, bool) { return time.Now().Add(-slow), true }
	count := counter.New(metrics.NewRegistry())
	feed := feeder.New(newStore(), "table", 2000, func([]feeder.Row, bool, time.Time) {}, count, zap.NewNop())
	i := informer.New([]*feeder.Feeder{feed}, nil, behind, wallClock, count, zap.NewNop())
	assert.Assert(t, feed.ApplyFromPeer(feeder.Page{Version: 5, Whole: true}))
	complete := time.Now().Add(-time.Second)
	assert.Assert(t, !i.Compare([]uint64{5}, []int64{complete.UnixMilli()}))
	_, known := feed.Known()
	assert.Assert(t, !known.After(complete), "%s too late", known.Sub(complete))
}

// Guards against calls to the store while an instance of a large fleet waits for its
// first source, and against waiting longer than allowed.
func TestWaitForTheFirstSource(t *testing.T) {
	table := newStore()
	i := newInstance(t, table)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table.callCount() > 0 {
			return poll.Success()
		}
		return poll.Continue("the table was not read")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	awaitedAt := time.Now()
	until := awaitedAt.Add(1500 * time.Millisecond)
	i.inform.AwaitSource(until)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table.callsBetween(until, time.Now()) > 0 {
			return poll.Success()
		}
		return poll.Continue("the table is not followed")
	}, poll.WithTimeout(10*time.Second))
	inProgress := awaitedAt.Add(500 * time.Millisecond) // until the watch in progress has ended
	assert.Equal(t, table.callsBetween(inProgress, until), 0)
}
