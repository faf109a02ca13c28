// Package pacer waits between rounds of periodic work.
package pacer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for the duration pause and returns true, or returns false as soon
// as ctx ends.
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

// Jitter returns a random duration between half of mean and one and a half
// times mean, so that many processes do not act at the same time.
func Jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Repeat calls round at once and then repeatedly until ctx ends, with a pause of
// mean with jitter after each call.
func Repeat(ctx context.Context, mean time.Duration, round func(context.Context)) {
	for ctx.Err() == nil {
		round(ctx)
		if !Wait(ctx, Jitter(mean)) {
			return
		}
	}
}
