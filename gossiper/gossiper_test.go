package gossiper_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/gossiper"
	"wisteriadrum/keeper"
	"wisteriadrum/messenger"
	"wisteriadrum/quarantiner"
)

// A call must not outlast its context while the connection is being opened: the
// other instance may be cut off, and a request waits for the advice.
func TestCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(string) (net.Conn, error) {
			time.Sleep(time.Second)
			return nil, errors.New("timeout")
		}
		gossip := gossiper.New(messenger.Member{Name: "a"}, nil, &keeper.Board{}, quarantiner.New(), nil, nil, dial, counter.New(metrics.NewRegistry()), zap.NewNop(), time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		_, err := gossip.Advise(ctx, "10.0.0.1:1", messenger.AdviceRequest{})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(startedAt), 40*time.Millisecond)
		time.Sleep(time.Second) // until the dial has ended
	})
}
