// Package feeder follows a table of the platform's store: it reads the whole
// table, then applies changes as they are made. It reads the whole table again
// when the store has discarded the history that it needs.
package feeder

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/confirmer"
	"wisteriadrum/counter"
	"wisteriadrum/pacer"
)

const (
	// minRetryPause and maxRetryPause bound the backoff after failed calls.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// batchPause is the pause after a call, so that changes that are made in
	// quick succession need one call only.
	batchPause  = 100 * time.Millisecond
	readTimeout = 3 * time.Second
	// minLateAge is the age from which on a page is late, as after the process was
	// suspended: more than the differences between the times of answers.
	minLateAge = 100 * time.Millisecond
	// maxDeleted bounds the number of deleted rows that are kept to send the
	// deletions to other instances.
	maxDeleted = 1000
)

// ErrHistoryGone means that the store has discarded the requested changes.
var ErrHistoryGone = errors.New("requested changes are not stored any more")

// Feeder follows one table.
type Feeder struct {
	store Store
	table string
	// repeatMillis is the interval at which a call is made again until it is answered.
	repeatMillis int

	apply     Apply
	count     *counter.Counter
	log       *zap.Logger
	storeDown atomic.Bool

	mu sync.Mutex
	// watchFrom is the version after which changes are requested, 0 to read the
	// whole table. newest is the newest version received and lastChange the
	// version of the last change. rows is the table as of newest, including the
	// rows that were deleted after the version horizon.
	watchFrom, newest, lastChange, horizon uint64

	rows    map[string]Row
	deleted int
	// lostAt is when the first call began that was not answered since the last answer,
	// zero if all were.
	lostAt time.Time
	// followedSince is when the first answer since the last call without one was
	// received. interrupted means that there was such a call since the start.
	followedSince time.Time
	interrupted   bool
	// changed is closed when a newer change is received or the store fails.
	changed chan struct{}
	// pausedUntil is when the store is polled again. Until then another instance
	// sends the changes. resumed is closed when that time is brought forward.
	pausedUntil time.Time
	resumed     chan struct{}
	confirm     confirmer.Confirmer
	// dueSooner is closed when the table has to be confirmed earlier than before, and
	// watchLost when the call for changes in progress is not waited for any more.
	dueSooner chan struct{}
	watchLost chan struct{}
	// confirmed receives a value when the store has confirmed the table.
	confirmed chan struct{}
}

// New returns a feeder that passes rows to apply. All changes must be known within
// boundMillis; 0 means that no watch is confirmed.
func New(store Store, table string, boundMillis int, apply Apply, count *counter.Counter, log *zap.Logger) *Feeder {
	return &Feeder{
		store: store, table: table, repeatMillis: boundMillis / 2, apply: apply, count: count, log: log, rows: map[string]Row{}, changed: make(chan struct{}), resumed: make(chan struct{}),
		confirm: confirmer.New(boundMillis, rand.Float64), dueSooner: make(chan struct{}), watchLost: make(chan struct{}), confirmed: make(chan struct{}, 1),
	}
}

// Name returns the name of the table.
func (f *Feeder) Name() string { return f.table }

// StoreDown reports whether the last call to the store failed.
func (f *Feeder) StoreDown() bool { return f.storeDown.Load() }

// Version returns the newest version received.
func (f *Feeder) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// LastChange returns the version of the last change received.
func (f *Feeder) LastChange() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastChange
}

// Changed returns a channel that is closed when another change is received or
// the store fails.
func (f *Feeder) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ChangesSince returns the rows that changed after a version, or the whole
// table if the deletions since that version are not kept any more.
func (f *Feeder) ChangesSince(version uint64) Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := Page{Version: f.newest, Content: f.lastChange, Whole: version < f.horizon || version == 0}
	now := time.Now()
	for _, row := range f.rows {
		if page.Whole && !row.Deleted || !page.Whole && row.Version > version {
			page.Rows = append(page.Rows, row)
		}
		if !page.Whole && row.Version > version {
			page.Age = max(page.Age, now.Sub(row.changedAt))
		}
	}
	return page
}

// ApplyFromPeer applies the table, or the changes since the version of this
// feeder, as received from another instance. It reports whether the page was
// newer; otherwise it changes nothing.
func (f *Feeder) ApplyFromPeer(page Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version <= f.newest {
		return false
	}
	if completeAt := f.confirm.CompleteAt(); page.Whole && !completeAt.IsZero() {
		page.Age = time.Since(completeAt)
	}
	f.applyPage(page)
	return true
}

// Run follows the table until ctx ends.
func (f *Feeder) Run(ctx context.Context) {
	go f.confirmWhenDue(ctx)
	pause := minRetryPause
	for ctx.Err() == nil {
		if f.awaitPause(ctx) {
			continue
		}
		begun := time.Now()
		err := f.poll(ctx)
		if err != nil {
			f.markUnanswered(begun)
		}
		switch {
		case err == nil:
			f.recordAnswer()
			pause = minRetryPause
			pacer.Wait(ctx, batchPause)
		case errors.Is(err, ErrHistoryGone):
			f.logHistoryGone()
			f.restart()
		default:
			f.fail(ctx, err)
			pacer.Wait(ctx, pacer.Jitter(pause))
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// fail records a failed call to the store. The store counts as down unless the table was
// confirmed by another call.
func (f *Feeder) fail(ctx context.Context, err error) {
	f.count.Add("store", "failed")
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() == nil && f.confirm.Outdated(time.Now()) && !f.storeDown.Swap(true) {
		f.log.Warn("store does not answer", zap.String("table", f.table), zap.Uint64("version", f.newest), zap.String("error", err.Error()))
		f.signal()
	}
}

// applyPage applies a whole table or changes. The caller holds the lock, so
// that pages are applied in order.
func (f *Feeder) applyPage(page Page) {
	if page.Whole {
		f.rows, f.deleted, f.horizon = map[string]Row{}, 0, page.Version
	}
	lastChange := max(f.lastChange, page.Content)
	if page.Whole && page.Content == 0 {
		lastChange = page.Version // an upper bound of the version of the last change, which is unknown
	}
	since := f.changedAfter(page.Age)
	for _, row := range page.Rows {
		if row.Version == 0 {
			row.Version = page.Version
		}
		row.changedAt = since
		if since.IsZero() {
			row.changedAt = time.Now()
		}
		lastChange = max(lastChange, row.Version)
		f.put(row)
	}
	if f.deleted > maxDeleted {
		f.pruneDeleted(page.Version)
	}
	f.watchFrom, f.newest = page.Version, page.Version
	if page.Whole || len(page.Rows) > 0 {
		f.apply(page.Rows, page.Whole, since)
	}
	f.markFollowed()
	if lastChange > f.lastChange {
		f.lastChange = lastChange
		f.signal()
	}
}

// signal wakes the receivers of Changed. The caller holds the lock.
func (f *Feeder) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feeder) put(row Row) {
	if f.rows[row.Key].Deleted {
		f.deleted--
	}
	if row.Deleted {
		f.deleted++
	}
	f.rows[row.Key] = row
}

// pruneDeleted removes the deleted rows. Changes before version can only be
// sent as a whole table after that.
func (f *Feeder) pruneDeleted(version uint64) {
	maps.DeleteFunc(f.rows, func(_ string, row Row) bool { return row.Deleted })
	f.deleted, f.horizon = 0, version
}

func (f *Feeder) position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchFrom
}

// restart makes the next poll read the whole table.
func (f *Feeder) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchFrom = 0
}
