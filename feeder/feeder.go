// Package feeder follows a table of the platform's store: it reads the table
// whole, then takes in changes as they come, and starts over when the history
// it needs is gone.
package feeder

import (
	"context"
	"errors"
	"maps"
	"slices"
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
	gather = 30 * time.Millisecond
	// readTimeout bounds the reading of a whole table.
	readTimeout = 3 * time.Second
)

// ErrHistory means that the changes asked for are no longer kept.
var ErrHistory = errors.New("history is gone")

// Row is a row as it was at a version.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Page is rows as of a version.
type Page struct {
	Rows    []Row
	Version uint64
}

// Source is the store.
type Source interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the rows that changed after a version, as soon as there are
	// any or after a while none. The error is ErrHistory if they are not known.
	Watch(ctx context.Context, table string, after uint64) (Page, error)
}

// Feeder follows one table.
type Feeder struct {
	source Source
	table  string
	apply  func(rows []Row, whole bool)
	again  chan struct{}
	count  *counter.Counter
	log    *zap.Logger
	lost   atomic.Bool

	mu sync.Mutex
	// after is where the changes go on, 0 to read the table whole; newest is
	// the newest version seen, and rows the table as of it.
	after, newest uint64
	rows          map[string]Row
}

// New returns a feeder that hands rows to apply; whole says that there are no others.
func New(source Source, table string, apply func(rows []Row, whole bool), count *counter.Counter, log *zap.Logger) *Feeder {
	return &Feeder{source: source, table: table, apply: apply, again: make(chan struct{}, 1), count: count, log: log, rows: map[string]Row{}}
}

// Name returns the name of the table.
func (f *Feeder) Name() string { return f.table }

// Lost reports whether the store does not answer.
func (f *Feeder) Lost() bool { return f.lost.Load() }

// Again has the table read whole after the watch under way.
func (f *Feeder) Again() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Snapshot returns the table as far as it is known.
func (f *Feeder) Snapshot() Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Page{Rows: slices.Collect(maps.Values(f.rows)), Version: f.newest}
}

// Offer takes in the table as another instance knows it, if that is newer, and
// reports whether it was.
func (f *Feeder) Offer(page Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version <= f.newest {
		return false
	}
	f.take(page, true)
	return true
}

// Run follows the table until ctx ends.
func (f *Feeder) Run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			if f.lost.Swap(false) {
				f.log.Info("store answers again", zap.String("table", f.table), zap.Uint64("version", f.Snapshot().Version))
			}
			pause = retryFirst
			pacer.Wait(ctx, gather)
		case errors.Is(err, ErrHistory):
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
		f.log.Warn("store does not answer", zap.String("table", f.table), zap.Uint64("version", f.Snapshot().Version), zap.String("error", err.Error()))
	}
}

func (f *Feeder) step(ctx context.Context) error {
	select {
	case <-f.again:
		return f.read(ctx)
	default:
	}
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
		f.take(page, false)
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
	f.take(page, true)
	return nil
}

// take applies a whole table or changes. The caller holds the lock, so that
// changes are applied in order.
func (f *Feeder) take(page Page, whole bool) {
	if whole {
		f.rows = map[string]Row{}
	}
	for _, row := range page.Rows {
		f.rows[row.Key] = row
		if row.Deleted {
			delete(f.rows, row.Key)
		}
	}
	f.after, f.newest = page.Version, page.Version
	if whole || len(page.Rows) > 0 {
		f.apply(page.Rows, whole)
	}
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
