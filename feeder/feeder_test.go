package feeder_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/feeder"
)

// scriptedStore is a store that returns listed results, then blocks.
type scriptedStore struct {
	mu      sync.Mutex
	results []result
	calls   []string
	after   []uint64
}

type result struct {
	call string
	page feeder.Page
	err  error
}

func (s *scriptedStore) next(ctx context.Context, call string, after uint64) (feeder.Page, error) {
	s.mu.Lock()
	s.calls, s.after = append(s.calls, call), append(s.after, after)
	if len(s.results) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return feeder.Page{}, ctx.Err()
	}
	first := s.results[0]
	s.results = s.results[1:]
	s.mu.Unlock()
	return first.page, first.err
}

func (s *scriptedStore) Read(ctx context.Context, _ string) (feeder.Page, error) {
	return s.next(ctx, "read", 0)
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after uint64) (feeder.Page, error) {
	return s.next(ctx, "watch", after)
}

func (s *scriptedStore) Changes(ctx context.Context, _ string, after uint64) (feeder.Page, error) {
	return s.next(ctx, "changes", after)
}

func page(version uint64, keys ...string) feeder.Page {
	p := feeder.Page{Version: version}
	for _, key := range keys {
		p.Rows = append(p.Rows, feeder.Row{Key: key})
	}
	return p
}

// aged returns a page that was made so long ago.
func aged(page feeder.Page, age time.Duration) feeder.Page {
	page.Age = age
	return page
}

// Guards against lost or repeated changes after a failed call, against a feeder
// that does not read the whole table when the store has discarded its history,
// and against an outdated read that replaces newer rows.
func TestFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{results: []result{
			{err: errors.New("down")},
			{page: page(5, "a", "b")},
			{page: page(7, "c")},
			{err: errors.New("cut")},
			{page: page(8)},
			{err: feeder.ErrHistoryGone},
			{page: page(6, "stale")},
			{page: page(9, "a")},
		}}
		var mu sync.Mutex
		var applied []string
		apply := func(rows []feeder.Row, whole bool, _ time.Time) {
			mu.Lock()
			defer mu.Unlock()
			for _, row := range rows {
				applied = append(applied, row.Key)
			}
			if whole {
				applied = append(applied, "whole")
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		feed := feeder.New(store, "table", 0, apply, counter.New(metrics.NewRegistry()), zap.NewNop())
		go feed.Run(ctx)
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, applied, []string{"a", "b", "whole", "c", "a", "whole"})
		assert.DeepEqual(t, store.calls, []string{"read", "read", "watch", "watch", "watch", "watch", "read", "read", "watch"})
		assert.DeepEqual(t, store.after, []uint64{0, 0, 5, 7, 7, 8, 0, 0, 9})
	})
}

// Guards against pages from another instance that are ignored although newer, or
// applied although older.
func TestOffers(t *testing.T) {
	store := &scriptedStore{}
	var applied []string
	feed := feeder.New(store, "table", 0, func(rows []feeder.Row, _ bool, _ time.Time) {
		for _, row := range rows {
			applied = append(applied, row.Key)
		}
	}, counter.New(metrics.NewRegistry()), zap.NewNop())
	assert.Assert(t, !feed.ApplyFromPeer(feeder.Page{}))
	assert.Assert(t, feed.ApplyFromPeer(page(5, "a", "b")))
	assert.Assert(t, !feed.ApplyFromPeer(page(5, "c")))
	assert.Assert(t, !feed.ApplyFromPeer(page(4, "c")))
	assert.DeepEqual(t, applied, []string{"a", "b"})
	assert.Equal(t, len(feed.ChangesSince(0).Rows), 2)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	store.results = []result{{page: page(6)}}
	feed.Run(ctx)
	assert.Equal(t, feed.Version(), uint64(5))
}

// Guards against changes or deletions that are missing in a page for another
// instance, and against a partial page when its version is too old for that.
func TestSince(t *testing.T) {
	feed := feeder.New(&scriptedStore{}, "table", 0, func([]feeder.Row, bool, time.Time) {}, counter.New(metrics.NewRegistry()), zap.NewNop())
	whole := page(5, "a", "b")
	whole.Whole = true
	assert.Assert(t, feed.ApplyFromPeer(whole))
	assert.Assert(t, feed.ApplyFromPeer(feeder.Page{Version: 9, Rows: []feeder.Row{{Key: "a", Deleted: true, Version: 7}, {Key: "c", Version: 8}}}))
	assert.Equal(t, feed.LastChange(), uint64(8))
	for version, want := range map[uint64][]string{0: {"b", "c"}, 4: {"b", "c"}, 5: {"-a", "c"}, 7: {"c"}, 8: nil} {
		page := feed.ChangesSince(version)
		var got []string
		for _, row := range page.Rows {
			if row.Deleted {
				got = append(got, "-"+row.Key)
			} else {
				got = append(got, row.Key)
			}
		}
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, page.Whole, version < 5)
		assert.Equal(t, page.Version, uint64(9))
	}
}

// Guards against a change that is taken for a recent one although answers were missing
// when it was made, or its own was late.
func TestLateChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{results: []result{{page: page(5, "a")}, {page: page(6, "b")}, {err: errors.New("cut")}, {err: errors.New("cut")}, {page: page(7, "c")}, {page: aged(page(8, "d"), 50*time.Millisecond)}, {page: aged(page(9, "f"), 2*time.Second)}}}
		late := map[string]time.Duration{}
		ctx, cancel := context.WithCancel(t.Context())
		feed := feeder.New(store, "table", 0, func(rows []feeder.Row, _ bool, since time.Time) {
			if !since.IsZero() {
				late[rows[0].Key] = time.Since(since)
			}
		}, counter.New(metrics.NewRegistry()), zap.NewNop())
		go feed.Run(ctx)
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(late), 2)
		assert.Equal(t, late["f"], 2*time.Second)
		assert.Assert(t, late["c"] > 100*time.Millisecond && late["c"] < time.Second, "late by %s", late["c"])
		assert.Assert(t, feed.ApplyFromPeer(page(19, "x")))
		feed.MarkLost(time.Now().Add(-time.Second))
		feed.MarkLost(time.Now())
		assert.Assert(t, feed.ApplyFromPeer(page(20, "e")))
		assert.Equal(t, late["e"], time.Second)
		feed.MarkLost(time.Now().Add(-3 * time.Second))
		assert.Assert(t, feed.ApplyFromPeer(aged(page(21, "g"), time.Second)))
		assert.Equal(t, late["g"], 3*time.Second)
	})
}

// Guards against a change that loses its age on the way through other instances.
func TestAgeOfChangesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := time.Duration(0)
		apply := func(_ []feeder.Row, _ bool, since time.Time) { late = time.Since(since) }
		hub := feeder.New(&scriptedStore{}, "table", 0, func([]feeder.Row, bool, time.Time) {}, counter.New(metrics.NewRegistry()), zap.NewNop())
		learner := feeder.New(&scriptedStore{}, "table", 0, apply, counter.New(metrics.NewRegistry()), zap.NewNop())
		whole := page(5, "a")
		whole.Whole = true
		hub.ApplyFromPeer(whole)
		hub.ApplyFromPeer(aged(feeder.Page{Version: 7, Rows: []feeder.Row{{Key: "b", Version: 7}}}, 2*time.Second))
		time.Sleep(time.Second)
		assert.Assert(t, learner.ApplyFromPeer(hub.ChangesSince(5)))
		assert.Equal(t, late, 3*time.Second)
	})
}

// Guards against a time of contact that includes an interruption.
func TestFollowedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{results: []result{{page: page(5, "a")}, {page: page(6)}}}
		feed := feeder.New(store, "table", 0, func([]feeder.Row, bool, time.Time) {}, counter.New(metrics.NewRegistry()), zap.NewNop())
		assertFollowed := func(want time.Time, wantFromStart bool) {
			t.Helper()
			since, fromStart := feed.FollowedSince()
			assert.Equal(t, since, want)
			assert.Equal(t, fromStart, wantFromStart)
		}
		assertFollowed(time.Time{}, true)
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		go feed.Run(ctx)
		time.Sleep(10 * time.Second)
		feed.MarkFollowed()
		assertFollowed(startedAt, true)
		feed.MarkLost(time.Now())
		assertFollowed(time.Time{}, false)
		time.Sleep(time.Second)
		feed.MarkFollowed()
		assertFollowed(time.Now(), false)
		cancel()
		synctest.Wait()
	})
}
