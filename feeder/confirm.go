package feeder

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/confirmer"
	"wisteriadrum/repeater"
)

// Known returns the version of the last change received and the time up to which all
// changes are known, zero before the table is.
func (f *Feeder) Known() (lastChange uint64, completeAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastChange, f.confirm.CompleteAt()
}

// Confirmed returns a channel that receives a value when the store has confirmed the
// table. It has one receiver.
func (f *Feeder) Confirmed() <-chan struct{} { return f.confirmed }

// Compare applies what another instance knows: the version of the last change, and the
// time up to which it knows all changes, zero if unknown. It reports whether that change
// is missing here.
func (f *Feeder) Compare(lastChange uint64, completeAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lastChange > f.newest {
		f.setConfirm(f.confirm.WithSuspicion(time.Now()))
		return true
	}
	f.markComplete(completeAt)
	return false
}

// markComplete records that all changes up to a time are known. The caller holds the lock.
func (f *Feeder) markComplete(at time.Time) { f.setConfirm(f.confirm.WithComplete(at)) }

// setConfirm replaces the confirmer and wakes confirmWhenDue if it has to confirm the
// table earlier. The caller holds the lock.
func (f *Feeder) setConfirm(next confirmer.Confirmer) {
	dueAt, isDue := f.confirm.DueAt(false)
	nextDueAt, nextIsDue := next.DueAt(false)
	f.confirm = next
	if nextIsDue && (!isDue || nextDueAt.Before(dueAt)) {
		close(f.dueSooner)
		f.dueSooner = make(chan struct{})
	}
}

// confirmWhenDue confirms the table whenever that is due, until ctx ends.
func (f *Feeder) confirmWhenDue(ctx context.Context) {
	for f.awaitDue(ctx) {
		begun := time.Now()
		page, err := f.check(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.applyCheck(page, begun)
			f.recordAnswer()
			select {
			case f.confirmed <- struct{}{}:
			default: // an earlier one was not received yet
			}
		} else {
			f.recordFailedCheck(ctx, err)
		}
	}
}

// awaitDue waits until the table has to be confirmed. It returns false when ctx ends.
func (f *Feeder) awaitDue(ctx context.Context) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		now, sooner := time.Now(), f.dueSooner
		dueAt, isDue := f.confirm.DueAt(f.pausedUntil.After(now))
		f.mu.Unlock()
		if isDue && !now.Before(dueAt) {
			return true
		}
		var timeout <-chan time.Time
		if isDue {
			timeout = time.After(dueAt.Sub(now))
		}
		select {
		case <-timeout:
		case <-sooner:
		case <-ctx.Done():
		}
	}
	return false
}

// check requests the changes that are not known yet, or the whole table if the store has
// discarded them: another instance that sends the table may not know them either.
func (f *Feeder) check(ctx context.Context) (Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	call := func(ctx context.Context) (Page, error) {
		f.count.Add("store", "checks")
		page, err := f.store.Changes(ctx, f.table, f.Version())
		if errors.Is(err, ErrHistoryGone) {
			f.logHistoryGone()
			return f.readWhole(ctx)
		}
		return page, err
	}
	return repeater.New(call, f.repeatMillis).Run(callCtx)
}

// applyCheck applies the answer to a check that began at a time. Its changes were made
// since the table was complete, and neither a watch nor another instance has sent them.
func (f *Feeder) applyCheck(page Page, begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !page.Whole {
		page.Rows = slices.DeleteFunc(page.Rows, func(row Row) bool { return row.Version > 0 && row.Version <= f.newest })
	}
	if page.Version > f.newest {
		if page.Whole {
			f.dropWatch()
		} else if len(page.Rows) > 0 {
			f.count.Add("store", "missed")
			f.log.Info("changes had not arrived", zap.String("table", f.table), zap.Uint64("version", page.Version))
			f.dropWatch()
		}
		page.Age = max(page.Age, time.Since(f.confirm.CompleteAt()))
		f.applyPage(page)
	}
	f.markFollowed()
	f.markComplete(begun)
}

// recordAnswer records that the store has answered.
func (f *Feeder) recordAnswer() {
	if f.storeDown.Swap(false) {
		f.log.Info("store answers again", zap.String("table", f.table), zap.Uint64("version", f.Version()))
	}
}

// recordFailedCheck records that the table was not confirmed.
func (f *Feeder) recordFailedCheck(ctx context.Context, err error) {
	f.fail(ctx, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setConfirm(f.confirm.WithFailure(time.Now()))
}

// dropWatch ends the wait for the call in progress. The caller holds the lock.
func (f *Feeder) dropWatch() {
	close(f.watchLost)
	f.watchLost = make(chan struct{})
}
