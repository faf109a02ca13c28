// Package pacer waits between rounds of work.
package pacer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait pauses and reports whether ctx has not ended meanwhile.
func Wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a time between half of mean and one and a half of it, so that
// many processes do not act in step.
func Jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Repeat calls round at once and then again and again, about every mean, until
// ctx ends.
func Repeat(ctx context.Context, mean time.Duration, round func(context.Context)) {
	for ctx.Err() == nil {
		round(ctx)
		if !Wait(ctx, Jitter(mean)) {
			return
		}
	}
}
