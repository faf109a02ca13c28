package feeder

import (
	"context"
	"errors"
	"time"

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
	f.count.Add("store", "reads")
	begun := time.Now()
	call := func(ctx context.Context) (Page, error) { return f.store.Read(ctx, f.table) }
	page, err := repeater.New(call, f.repeatMillis).Run(callCtx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Version < f.newest {
		return ErrStale
	}
	page.Whole = true
	f.applyPage(page)
	f.markComplete(begun)
	return nil
}
