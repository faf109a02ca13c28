// Package repeater makes a call again while it is not answered, since a connection may
// have been lost without notice.
package repeater

import (
	"context"
	"time"
)

// Repeater makes a call whose answer has the type T.
type Repeater[T any] struct {
	call           func(ctx context.Context) (T, error)
	intervalMillis int
}

// New returns a repeater that makes call again every intervalMillis, or once only if
// intervalMillis is 0.
func New[T any](call func(ctx context.Context) (T, error), intervalMillis int) Repeater[T] {
	return Repeater[T]{call: call, intervalMillis: intervalMillis}
}

// outcome is the result of one call.
type outcome[T any] struct {
	answer T
	err    error
}

// Run returns the first answer to any of the calls. It returns an error if all calls that
// were made have failed, and that of ctx when this ends.
func (r Repeater[T]) Run(ctx context.Context) (T, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T])
	begin := func() {
		go func() {
			answer, err := r.call(callCtx)
			select {
			case outcomes <- outcome[T]{answer, err}:
			case <-callCtx.Done():
			}
		}()
	}
	var again <-chan time.Time
	if r.intervalMillis > 0 {
		ticker := time.NewTicker(time.Duration(r.intervalMillis) * time.Millisecond)
		defer ticker.Stop()
		again = ticker.C
	}
	begin()
	for pending := 1; ; {
		select {
		case result := <-outcomes:
			pending--
			if result.err == nil || pending == 0 {
				return result.answer, result.err
			}
		case <-again:
			begin()
			pending++
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}
