package relayer_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/monitor"
	"wisteriadrum/rationer"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/restrainer"
	"wisteriadrum/router"
)

// Guards against requests that wait for an endpoint with a limit for half of their time
// although others, which were received before them, begin to wait later, and against asks
// at the same time that each take a later turn.
func TestUnservableRequestsAreRefusedAtOnce(t *testing.T) {
	for name, mostDelay := range map[string]time.Duration{"at the same time": 0, "in another order": 8 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served, late := burst(t, 40, 5, mostDelay)
				assert.Equal(t, served, int32(7))
				assert.Equal(t, late, int32(0))
			})
		})
	}
}

// burst sends requests that wait for half of 2.5 s at most to one endpoint that takes
// perSecond of them, and returns how many may be sent, and how many are refused later than
// after a few checks. Each is received before the next, and placed after a delay of its own.
func burst(t *testing.T, requests int, perSecond float64, mostDelay time.Duration) (served, late int32) {
	const callTime, limit = 2 * time.Millisecond, 100 * time.Millisecond
	begun := time.Now()
	state := registrar.New(time.Now)
	state.PutEndpoints([]monitor.Entry{{Name: "a", Address: "10.0.0.1:80", Pool: "p", Incarnation: 1}}, nil, begun, begun)
	state.Fleet().All()["a"].Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithLimit(perSecond, begun) })
	var mu sync.Mutex
	home := rationer.New(perSecond, begun)
	take := func(uint64, float64) (granted bool, retryAt time.Time) {
		time.Sleep(callTime)
		mu.Lock()
		defer mu.Unlock()
		home, granted, retryAt = home.Take(time.Now())
		return granted, retryAt
	}
	r := relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakePermit: take, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
	var group sync.WaitGroup
	var servedCount, lateCount atomic.Int32
	for n := range requests {
		group.Go(func() {
			receivedAt := begun.Add(time.Duration(n) * time.Microsecond)
			time.Sleep(mostDelay * time.Duration(requests-n) / time.Duration(requests))
			request := &requester.Request{Pool: router.Pool{Name: "p"}, ReceivedAt: receivedAt, Deadline: begun.Add(2500 * time.Millisecond)}
			if refusal := r.WaitForRoom(t.Context(), request); refusal == nil {
				servedCount.Add(1)
			} else if time.Since(begun) > limit {
				lateCount.Add(1)
			}
		})
	}
	group.Wait()
	return servedCount.Load(), lateCount.Load()
}
