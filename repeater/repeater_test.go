package repeater_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/repeater"
)

// Guards against a lost call that delays the answer until its timeout, and against calls
// that go on after the answer.
func TestLostCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, ended atomic.Int32
		call := func(ctx context.Context) (int32, error) {
			number := calls.Add(1)
			if number < 3 {
				<-ctx.Done()
				ended.Add(1)
				return 0, ctx.Err()
			}
			return number, nil
		}
		begun := time.Now()
		answer, err := repeater.New(call, 100).Run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, answer, int32(3))
		assert.Equal(t, time.Since(begun), 200*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, ended.Load(), int32(2))
	})
}

// Guards against waiting for calls although all have failed, against an error that ends
// the wait for calls in progress, and against a wait without end.
func TestFailedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		begun := time.Now()
		_, err := repeater.New(func(context.Context) (int, error) { return 0, refused }, 100).Run(t.Context())
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, time.Since(begun), time.Duration(0))

		var calls atomic.Int32
		answer, err := repeater.New(func(context.Context) (int, error) {
			if calls.Add(1) > 1 {
				return 0, refused
			}
			time.Sleep(150 * time.Millisecond)
			return 7, nil
		}, 100).Run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, answer, 7)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = repeater.New(func(ctx context.Context) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		}, 0).Run(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
