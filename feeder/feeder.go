// Package feeder follows a table of the platform's store: it reads the table
// whole, then takes in changes as they come, and starts over when the history
// it needs is gone.
package feeder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/pacer"
)

const (
	// retryFirst and retryMost bound the wait after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// gather is the wait after changes, so that changes that come together
	// cost one call.
	gather = 100 * time.Millisecond
	// readTimeout bounds the reading of a whole table.
	readTimeout = 3 * time.Second
	// restEvery is the interval at which a feeder that is supplied by another
	// instance looks whether it still is.
	restEvery = 100 * time.Millisecond
	// mostDeleted bounds the deleted rows that are remembered for others.
	mostDeleted = 1000
)

// ErrHistoryGone means that the changes asked for are no longer kept.
var ErrHistoryGone = errors.New("history is gone")

// Feeder follows one table.
type Feeder struct {
	source Store
	table  string
	apply  func(rows []Row, whole bool)
	count  *counter.Counter
	log    *zap.Logger
	lost   atomic.Bool

	mu sync.Mutex
	// after is where the changes go on, 0 to read the table whole; newest is
	// the newest version seen, content that of the last change, and rows the
	// table as of it, with what was deleted since the version horizon.
	after, newest, content, horizon uint64

	rows    map[string]Row
	deleted int
	// changed is closed when a newer change is known or the store is lost.
	changed chan struct{}
	// supplyBy is until when another instance brings the changes.
	supplyBy time.Time
}

// New returns a feeder that hands rows to apply; whole says that there are no others.
func New(source Store, table string, apply func(rows []Row, whole bool), count *counter.Counter, log *zap.Logger) *Feeder {
	return &Feeder{source: source, table: table, apply: apply, count: count, log: log, rows: map[string]Row{}, changed: make(chan struct{})}
}

// Name returns the name of the table.
func (f *Feeder) Name() string { return f.table }

// StoreDown reports whether the store does not answer.
func (f *Feeder) StoreDown() bool { return f.lost.Load() }

// Version returns the newest version that is known.
func (f *Feeder) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// LastChange returns the version of the last change that is known.
func (f *Feeder) LastChange() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.content
}

// Changed returns a channel that is closed once another change is known, or
// once the store does not answer.
func (f *Feeder) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ChangesSince returns the rows that changed after a version, or the whole table if
// that is not known.
func (f *Feeder) ChangesSince(version uint64) Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := Page{Version: f.newest, Content: f.content, Whole: version < f.horizon || version == 0}
	for _, row := range f.rows {
		if page.Whole && !row.Deleted || !page.Whole && row.Version > version {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

// ApplyFromPeer takes in the table or its changes since the version known here as
// another instance knows them, if that is newer, and reports whether it was.
func (f *Feeder) ApplyFromPeer(page Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version <= f.newest {
		return false
	}
	f.take(page)
	return true
}

// PausePolling says that another instance brings the changes until by, so that the
// store is not asked.
func (f *Feeder) PausePolling(by time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.supplyBy = by
	if !by.IsZero() && f.lost.Swap(false) {
		f.log.Info("another instance brings the table", zap.String("table", f.table), zap.Uint64("version", f.newest))
	}
}

func (f *Feeder) supplied() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest > 0 && time.Now().Before(f.supplyBy)
}

// Run follows the table until ctx ends.
func (f *Feeder) Run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		if f.supplied() {
			pacer.Wait(ctx, restEvery)
			continue
		}
		err := f.step(ctx)
		switch {
		case err == nil:
			if f.lost.Swap(false) {
				f.log.Info("store answers again", zap.String("table", f.table), zap.Uint64("version", f.Version()))
			}
			pause = retryFirst
			pacer.Wait(ctx, gather)
		case errors.Is(err, ErrHistoryGone):
			f.log.Info("history is gone; the table is read whole", zap.String("table", f.table))
			f.forget()
		default:
			f.fail(ctx, err)
			pacer.Wait(ctx, pacer.Jitter(pause))
			pause = min(2*pause, retryMost)
		}
	}
}

// fail notes that a call failed.
func (f *Feeder) fail(ctx context.Context, err error) {
	f.count.Add("store", "failed")
	if ctx.Err() == nil && !f.lost.Swap(true) {
		f.log.Warn("store does not answer", zap.String("table", f.table), zap.Uint64("version", f.Version()), zap.String("error", err.Error()))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.signal()
	}
}

func (f *Feeder) step(ctx context.Context) error {
	after := f.position()
	if after == 0 {
		return f.read(ctx)
	}
	f.count.Add("store", "watches")
	page, err := f.source.Watch(ctx, f.table, after)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version > f.newest {
		f.take(page)
	}
	return nil
}

// ErrStale means that a read showed less than what is known already.
var ErrStale = errors.New("read is older than what is known")

func (f *Feeder) read(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.count.Add("store", "reads")
	page, err := f.source.Read(limit, f.table)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version < f.newest {
		return ErrStale
	}
	page.Whole = true
	f.take(page)
	return nil
}

// take applies a whole table or changes. The caller holds the lock, so that
// changes are applied in order.
func (f *Feeder) take(page Page) {
	if page.Whole {
		f.rows, f.deleted, f.horizon = map[string]Row{}, 0, page.Version
	}
	content := max(f.content, page.Content)
	if page.Whole && page.Content == 0 {
		content = page.Version // the last change is not known, but none came after
	}
	for _, row := range page.Rows {
		if row.Version == 0 {
			row.Version = page.Version
		}
		content = max(content, row.Version)
		f.put(row)
	}
	if f.deleted > mostDeleted {
		f.prune(page.Version)
	}
	f.after, f.newest = page.Version, page.Version
	if page.Whole || len(page.Rows) > 0 {
		f.apply(page.Rows, page.Whole)
	}
	if content > f.content {
		f.content = content
		f.signal()
	}
}

// signal wakes who waits for a change. The caller holds the lock.
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

// prune forgets what was deleted, after which changes are only known from
// version on.
func (f *Feeder) prune(version uint64) {
	maps.DeleteFunc(f.rows, func(_ string, row Row) bool { return row.Deleted })
	f.deleted, f.horizon = 0, version
}

func (f *Feeder) position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.after
}

// forget has the table read whole next.
func (f *Feeder) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after = 0
}
