package feeder

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// PausePolling stops calls to the store until the given time, since another
// instance sends the changes. The zero time resumes them.
func (f *Feeder) PausePolling(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.Before(f.pausedUntil) {
		close(f.resumed)
		f.resumed = make(chan struct{})
	}
	f.pausedUntil = until
	if !until.IsZero() && f.storeDown.Swap(false) {
		f.log.Info("another instance sends the table", zap.String("table", f.table), zap.Uint64("version", f.newest))
	}
}

// awaitPause waits until polling is not paused, and reports whether it waited.
func (f *Feeder) awaitPause(ctx context.Context) bool {
	f.mu.Lock()
	pause, resumed := time.Until(f.pausedUntil), f.resumed
	known := f.newest > 0
	f.mu.Unlock()
	if !known || pause <= 0 {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-resumed:
	case <-ctx.Done():
	}
	return true
}
