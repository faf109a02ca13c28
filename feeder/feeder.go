// Package feeder follows a table of the platform's store: it reads the table
// whole, then takes in changes as they come, and starts over when the history
// it needs is gone.
package feeder

import (
	"context"
	"errors"
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
	// after is where the changes go on, 0 to read the table whole; newest is
	// the newest version seen.
	after, newest uint64
}

// New returns a feeder that hands rows to apply; whole says that there are no others.
func New(source Source, table string, apply func(rows []Row, whole bool), count *counter.Counter, log *zap.Logger) *Feeder {
	return &Feeder{source: source, table: table, apply: apply, again: make(chan struct{}, 1), count: count, log: log}
}

// Again has the table read whole after the watch under way.
func (f *Feeder) Again() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Run follows the table until ctx ends.
func (f *Feeder) Run(ctx context.Context) {
	pause := retryFirst
	lost := false
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			if lost {
				f.log.Info("store answers again", zap.String("table", f.table), zap.Uint64("version", f.after))
			}
			lost, pause = false, retryFirst
			pacer.Wait(ctx, gather)
			continue
		}
		if errors.Is(err, ErrHistory) {
			f.log.Info("history is gone; the table is read whole", zap.String("table", f.table), zap.Uint64("after", f.after))
			f.after = 0
			continue
		}
		if !lost && ctx.Err() == nil {
			f.log.Warn("store does not answer", zap.String("table", f.table), zap.Uint64("after", f.after), zap.String("error", err.Error()))
		}
		lost = true
		f.count.Add("store", "failed")
		pacer.Wait(ctx, pacer.Jitter(pause))
		pause = min(2*pause, retryMost)
	}
}

func (f *Feeder) step(ctx context.Context) error {
	select {
	case <-f.again:
		return f.read(ctx)
	default:
	}
	if f.after == 0 {
		return f.read(ctx)
	}
	f.count.Add("store", "watches")
	page, err := f.source.Watch(ctx, f.table, f.after)
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		f.apply(page.Rows, false)
	}
	f.after = max(f.after, page.Version)
	f.newest = max(f.newest, f.after)
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
	if page.Version < f.newest {
		return ErrStale
	}
	f.apply(page.Rows, true)
	f.after, f.newest = page.Version, page.Version
	return nil
}
