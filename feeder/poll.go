package feeder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/repeater"
)

// poll waits for changes and applies them, or reads the whole table.
func (f *Feeder) poll(ctx context.Context) error {
	after := f.position()
	if after == 0 {
		return f.read(ctx)
	}
	f.count.Add("store", "watches")
	page, err := f.watch(ctx, after)
	if err != nil || page == nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version > f.newest {
		f.applyPage(*page)
	}
	f.markFollowed()
	f.markComplete(time.Now().Add(-page.Age))
	return nil
}

// watch waits for changes. It returns nil once the changes were received otherwise.
func (f *Feeder) watch(ctx context.Context, after uint64) (*Page, error) {
	type answer struct {
		page Page
		err  error
	}
	f.mu.Lock()
	lost := f.watchLost
	f.mu.Unlock()
	answers := make(chan answer, 1)
	go func() {
		page, err := f.store.Watch(ctx, f.table, after)
		answers <- answer{page, err}
	}()
	select {
	case result := <-answers:
		return &result.page, result.err
	case <-lost:
		return nil, nil
	}
}

// ErrStale means that a read returned an older version than the newest one
// received.
var ErrStale = errors.New("read returned an outdated version of the table")

func (f *Feeder) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	page, err := repeater.New(f.readWhole, f.repeatMillis).Run(callCtx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version < f.newest {
		return ErrStale
	}
	f.applyPage(page)
	f.markComplete(begun)
	return nil
}

// readWhole reads the whole table.
func (f *Feeder) readWhole(ctx context.Context) (Page, error) {
	f.count.Add("store", "reads")
	page, err := f.store.Read(ctx, f.table)
	page.Whole = true
	return page, err
}

// logHistoryGone logs that the table is read whole.
func (f *Feeder) logHistoryGone() {
	f.log.Info("store has discarded the requested changes; reading the whole table", zap.String("table", f.table))
}
