package feeder_test

import (
	"context"
	"errors"
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

const boundMillis = 2000

// deafStore is a store whose watches are never answered.
type deafStore struct {
	mu      sync.Mutex
	content feeder.Page
	err     error
	silent  bool
	checks  int
	// horizon is the version before which the changes are discarded.
	horizon uint64
	// lost is the number of checks that are not answered from now on.
	lost int
}

func (s *deafStore) Read(ctx context.Context, _ string) (feeder.Page, error) { return s.answer(ctx, 0) }

func (s *deafStore) Watch(ctx context.Context, _ string, _ uint64) (feeder.Page, error) {
	<-ctx.Done()
	return feeder.Page{}, ctx.Err()
}

func (s *deafStore) Changes(ctx context.Context, _ string, after uint64) (feeder.Page, error) {
	s.mu.Lock()
	s.checks++
	gone, lost := after < s.horizon, s.lost > 0
	s.lost--
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return feeder.Page{}, ctx.Err()
	}
	if gone {
		return feeder.Page{}, feeder.ErrHistoryGone
	}
	return s.answer(ctx, after)
}

// answer returns the rows after a version, or waits until ctx ends if the store is silent.
func (s *deafStore) answer(ctx context.Context, after uint64) (feeder.Page, error) {
	s.mu.Lock()
	page, err, silent := feeder.Page{Version: s.content.Version}, s.err, s.silent
	for _, row := range s.content.Rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return feeder.Page{}, ctx.Err()
	}
	return page, err
}

// set changes the store and returns the number of checks until now.
func (s *deafStore) set(change func(s *deafStore)) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	return s.checks
}

// deafFeeder follows a store whose watches are never answered.
type deafFeeder struct {
	*feeder.Feeder
	store *deafStore

	mu sync.Mutex
	// knownAt holds when a row was applied, changedAt the time from which on it may have
	// changed.
	knownAt, changedAt map[string]time.Time
}

// known returns how long after a time a row was applied, which may be negative.
func (d *deafFeeder) known(key string, at time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knownAt[key].Sub(at)
}

func newDeafFeeder(t *testing.T, bound int) *deafFeeder {
	t.Helper()
	d := &deafFeeder{store: &deafStore{content: feeder.Page{Version: 5, Rows: []feeder.Row{{Key: "a", Version: 5}}}}, knownAt: map[string]time.Time{}, changedAt: map[string]time.Time{}}
	apply := func(rows []feeder.Row, _ bool, since time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, row := range rows {
			d.knownAt[row.Key], d.changedAt[row.Key] = time.Now(), since
		}
	}
	d.Feeder = feeder.New(d.store, "table", bound, apply, counter.New(metrics.NewRegistry()), zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	go d.Run(ctx)
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	time.Sleep(10 * time.Second)
	return d
}

// put makes a change and returns when.
func (d *deafFeeder) put(key string) time.Time {
	d.store.set(func(s *deafStore) {
		s.content.Version += 3
		s.content.Rows = append(s.content.Rows, feeder.Row{Key: key, Version: s.content.Version - 1})
	})
	return time.Now()
}

// Guards against changes that are unknown while a watch is lost, and against one that is
// taken for a change of just now.
func TestLostWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeafFeeder(t, boundMillis)
		for _, key := range []string{"b", "c"} {
			at := d.put(key)
			time.Sleep(5 * time.Second)
			delay := d.known(key, at)
			assert.Assert(t, delay > 0 && delay <= boundMillis/2*time.Millisecond, "known after %s", delay)
			d.mu.Lock()
			assert.Assert(t, !d.changedAt[key].IsZero() && !d.changedAt[key].After(at))
			d.mu.Unlock()
		}
		_, completeAt := d.Known()
		assert.Assert(t, time.Since(completeAt) <= boundMillis/2*time.Millisecond)
		assert.Assert(t, !d.StoreDown())
	})
}

// Guards against calls of all instances although one of them has confirmed the table, and
// against a table that is taken for confirmed without a change that another one has.
func TestConfirmedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeafFeeder(t, boundMillis)
		d.Compare(5, time.Now())
		before := d.store.set(func(*deafStore) {})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !d.Compare(5, time.Now()))
		}
		assert.Equal(t, d.store.set(func(*deafStore) {}), before)
		at := d.put("b")
		for range 10 {
			assert.Assert(t, d.Compare(8, time.Now()) == (d.known("b", at) < 0))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, d.known("b", at) <= boundMillis/8*time.Millisecond, "known after %s", d.known("b", at))
	})
}

// Guards against an instance that does not return to the store in time after a silence or
// a refusal, against calls without a pause, and against a source that is not told.
func TestStoreAwayAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeafFeeder(t, boundMillis)
		for key, fault := range map[string]func(s *deafStore){
			"silent":  func(s *deafStore) { s.silent = true },
			"refused": func(s *deafStore) { s.err = errors.New("refused") },
		} {
			before := d.store.set(fault)
			time.Sleep(20 * time.Second)
			assert.Assert(t, d.StoreDown())
			at := d.put(key)
			checks := d.store.set(func(s *deafStore) { s.silent, s.err = false, nil })
			assert.Assert(t, checks-before <= 50, "%d calls in 20 s", checks-before)
			time.Sleep(boundMillis * time.Millisecond)
			assert.Assert(t, d.known(key, at) <= boundMillis/2*time.Millisecond, "known after %s", d.known(key, at))
			assert.Assert(t, !d.StoreDown())
		}
	})
}

// Guards against calls to the store while another instance sends the table in time.
func TestSourceGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeafFeeder(t, boundMillis)
		d.PausePolling(time.Now().Add(time.Hour))
		d.Compare(5, time.Now())
		before := d.store.set(func(*deafStore) {})
		for range 20 {
			time.Sleep(time.Second)
			d.Compare(5, time.Now())
		}
		assert.Equal(t, d.store.set(func(*deafStore) {}), before)
		at := d.put("b")
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.known("b", at) <= boundMillis*3/4*time.Millisecond, "known after %s", d.known("b", at))
	})
}

// Guards against a table that stays outdated while another instance is waited for, after the
// store has discarded the changes since.
func TestDiscardedWhileASourceIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeafFeeder(t, boundMillis)
		d.PausePolling(time.Now().Add(time.Hour))
		d.store.set(func(s *deafStore) { s.content.Version, s.horizon = 1000, 1000 })
		at := d.put("b")
		time.Sleep(5 * time.Second)
		delay := d.known("b", at)
		assert.Assert(t, delay > 0 && delay <= boundMillis*3/4*time.Millisecond, "known after %s", delay)
		_, completeAt := d.Known()
		assert.Assert(t, time.Since(completeAt) <= boundMillis*3/4*time.Millisecond)
	})
}

// Guards against a table that is read whole only after the timeout of a call whose answer
// was lost, although another one has said that the changes since are discarded.
func TestDiscardedAfterALostCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeafFeeder(t, boundMillis)
		d.store.set(func(s *deafStore) { s.content.Version, s.horizon, s.lost = 1000, 1000, 1 })
		at := d.put("b")
		time.Sleep(5 * time.Second)
		delay := d.known("b", at)
		assert.Assert(t, delay > 0 && delay <= boundMillis*time.Millisecond, "known after %s", delay)
	})
}
