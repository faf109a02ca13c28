package attempter_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/answerer"
	"wisteriadrum/attempter"
	"wisteriadrum/balancer"
	"wisteriadrum/batcher"
	"wisteriadrum/budgeter"
	"wisteriadrum/caller"
	"wisteriadrum/cataloguer"
	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/emulator"
	"wisteriadrum/follower"
	"wisteriadrum/judge"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/picker"
	"wisteriadrum/quarantiner"
	"wisteriadrum/resolver"
)

// endpoint counts the calls that it receives.
type endpoint struct {
	dialer.Dialer
	calls int
}

func (e *endpoint) Send(caller.Call) (*answerer.Answer, error) {
	e.calls++
	return nil, context.Canceled
}

const config = `{
	"data_centres": [{"name": "a"}],
	"pools": [{"name": "office", "kind": "service"}],
	"endpoints": [{"name": "s", "pool": "office", "data_centre": "a", "address": "127.0.0.1:1"}],
	"workspaces": [{"name": "w", "key": "d5ead6fdd3d16630aad4f07f5e49486337a42e58fb4eef0deaabb814c003b134"}],
	"routes": [{"name": "booking", "pool": "office", "prefix": "/book", "once": true}],
}`

// A process that is suspended between claiming a request and sending it may
// resume after the claim has expired, when another instance may have run the
// request. It must not send the request then, and the verdict must be "not run".
func TestLateClaimIsNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	lateNow := func() time.Time { return now.Add(time.Minute) }
	count := counter.New(metrics.NewRegistry())
	board := keeper.New()
	parsed, err := cataloguer.New([]byte(config))
	assert.NilError(t, err)
	source := parsed.Encode()
	assert.NilError(t, follower.New(board, "me", "a", nil, nil, nil, count, zap.NewNop()).Adopt(1, cataloguer.Digest(source), source))

	table := emulator.New(time.Now).Table()
	dialed := &endpoint{}
	cacheMap := mapper.New(1<<16, now)
	endpoints := picker.New(board, balancer.New(), balancer.New(), nil, nil, cacheMap, quarantiner.New(), count, func() time.Time { return now }, func() {})
	claims := claimer.New("me", "", batcher.New(table, count), table, nil, nil, count, func() time.Time { return now })
	attempts := attempter.New(dialed, endpoints, claims, budgeter.New(budgeter.Default(), lateNow), count, lateNow)
	request, err := resolver.New(resolver.Input{ID: "r", Method: "POST", Path: "/book", Authorization: "Bearer key-0", IdempotencyKey: "k", Body: []byte("slot"), ReceivedAt: now}, board.Index.Load())
	assert.NilError(t, err)
	_, err = attempts.Run(t.Context(), request)
	assert.Equal(t, judge.FromError(err), judge.NotRun, "%v", err)
	assert.Equal(t, dialed.calls, 0)
}
