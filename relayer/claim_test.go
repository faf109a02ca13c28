package relayer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/drainer"
	"wisteriadrum/monitor"
	"wisteriadrum/refuser"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/reserver"
	"wisteriadrum/restrainer"
	"wisteriadrum/router"
)

var engine = &router.Engine{Slots: 12, CapacityTokens: 100000}

// newEngines returns two busy engines of pool p, at which a prompt of 20,000 tokens waits.
func newEngines(now time.Time) *registrar.Registrar {
	state := registrar.New(time.Now)
	state.PutTable(router.New(1, nil, []router.Pool{{Name: "p", Engine: engine}}, nil, nil, router.Limits{}))
	state.PutEndpoints([]monitor.Entry{{Name: "a", Address: "10.0.0.1:80", Pool: "p", Incarnation: 1}, {Name: "b", Address: "10.0.0.2:80", Pool: "p", Incarnation: 1}}, nil, now, now)
	for _, endpoint := range state.Fleet().All() {
		endpoint.Begin(monitor.Load{Requests: 3, KVTokens: 39000}, now)
	}
	return state
}

func prompt(now time.Time) *requester.Request {
	return &requester.Request{Pool: router.Pool{Name: "p", Engine: engine}, ConfigVersion: 1, PromptTokens: 20000, ReceivedAt: now, Deadline: now.Add(20 * time.Second)}
}

func ignoreEnd(uint64, uint64) {}

// Guards against a prompt that waits for its turn at an engine that may not get it any more,
// and thus has a turn nowhere.
func TestClaimMovesFromAHeldEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		state := newEngines(begun)
		var claimed uint64
		var lastClaim time.Time
		take := func(key uint64, request reserver.Request) reserver.Answer {
			if request.Claims {
				claimed, lastClaim = key, time.Now()
			}
			return reserver.Refused
		}
		r := relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakeRoom: take, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = r.WaitForRoom(ctx, prompt(begun))
			close(done)
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		held := claimed
		assert.Assert(t, time.Since(lastClaim) < 200*time.Millisecond, "no claim for %s", time.Since(lastClaim))
		state.Fleet().ByKey(held).Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithWait(begun.Add(time.Hour)) })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		since, moved := time.Since(lastClaim), claimed != held
		cancel()
		<-done
		assert.Assert(t, moved && since < 300*time.Millisecond, "no claim for %s", since)
	})
}

// Guards against room that is taken for a prompt that gets no permit, while the next prompts
// find none.
func TestRoomWithoutAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		state := newEngines(begun)
		for _, endpoint := range state.Fleet().All() {
			endpoint.End(monitor.Load{Requests: 3, KVTokens: 39000})
			endpoint.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithLimit(5, begun) })
		}
		granted := 0
		take := func(uint64, reserver.Request) reserver.Answer { granted++; return reserver.Granted }
		refuse := func(uint64, float64) (bool, time.Time) { return false, time.Now().Add(100 * time.Millisecond) }
		r := relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakeRoom: take, EndClaim: ignoreEnd, TakePermit: refuse, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_ = r.WaitForRoom(ctx, prompt(begun))
		assert.Assert(t, granted <= 2, "room was taken %d times for a prompt that was not sent", granted)
	})
}

// Guards against a request that is sent during a planned stop with more time than is left,
// since it waited for its room when the stop began.
func TestStopBoundsRequestsThatWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		state := newEngines(begun)
		for _, endpoint := range state.Fleet().All() {
			endpoint.End(monitor.Load{Requests: 3, KVTokens: 39000})
		}
		var r *relayer.Relayer
		stop := func(uint64, reserver.Request) reserver.Answer {
			time.Sleep(50 * time.Millisecond)
			r.Drain(drainer.New(time.Now(), 2*time.Second, time.Second))
			return reserver.Granted
		}
		r = relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakeRoom: stop, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
		request := prompt(begun)
		request.Route.Repeat = router.Once
		refusal := r.WaitForRoom(t.Context(), request)
		assert.Assert(t, refusal != nil && refusal.Code == refuser.Stopping, "sent with 20 s left, 1.75 s before the end: %v", refusal)
	})
}

// Guards against a turn that is lost since the claim is renewed too late: the request asks at
// a second engine, whose home answers slowly, before it waits.
func TestClaimIsRenewedInTime(t *testing.T) {
	const claimLife, answerTime = 200 * time.Millisecond, 90 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		state := newEngines(begun)
		var last time.Time
		renewals, late := 0, 0
		take := func(_ uint64, request reserver.Request) reserver.Answer {
			if !request.Claims {
				time.Sleep(answerTime)
				return reserver.Refused
			}
			if !last.IsZero() && time.Since(last) >= claimLife {
				late++
			}
			renewals, last = renewals+1, time.Now()
			for _, endpoint := range state.Fleet().All() { // others look as if they had room
				if endpoint.OwnLoad().Requests > 0 && endpoint.OwnLoad().KVTokens == 39000 {
					endpoint.End(monitor.Load{KVTokens: 39000})
				}
			}
			return reserver.Refused
		}
		r := relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakeRoom: take, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		_ = r.WaitForRoom(ctx, prompt(begun))
		assert.Assert(t, late == 0, "%d of %d claims had expired when they were renewed", late, renewals)
	})
}

// Guards against a prompt that waits for half of its time behind others, when it can be told
// at once that it would wait too long.
func TestCrowdedPromptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		asked := map[uint64]bool{}
		take := func(key uint64, request reserver.Request) reserver.Answer {
			assert.Equal(t, request.QueueMillis, 300)
			asked[key] = request.Claims
			return reserver.Crowded
		}
		r := relayer.New(relayer.Dependencies{Registrar: newEngines(begun), Detector: detector.New(), TakeRoom: take, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
		request := prompt(begun)
		request.Route.TargetMillis = 600
		refusal := r.WaitForRoom(t.Context(), request)
		assert.Assert(t, refusal != nil && refusal.Code == refuser.Overloaded && refusal.RetryAt.After(begun), "refused with %v", refusal)
		assert.Assert(t, time.Since(begun) < 10*time.Millisecond, "refused after %s", time.Since(begun))
		assert.Equal(t, len(asked), 1)
	})
}

// Guards against a prompt that is sent so late that its caller leaves before an engine has
// read it.
func TestPromptIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		take := func(uint64, reserver.Request) reserver.Answer { return reserver.Refused }
		r := relayer.New(relayer.Dependencies{Registrar: newEngines(begun), Detector: detector.New(), TakeRoom: take, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
		request := prompt(begun)
		request.PromptTokens, request.Route.PatienceMillis = 60000, 3200
		refusal := r.WaitForRoom(t.Context(), request)
		assert.Assert(t, refusal != nil && refusal.Code == refuser.Overloaded, "refused with %v", refusal)
		assert.Assert(t, time.Since(begun) < 2200*time.Millisecond, "refused after %s, an idle engine takes over 1 s", time.Since(begun))
	})
}

// Guards against room that is saved for a prompt that waits no more.
func TestClaimEndsWithTheWait(t *testing.T) {
	for name, elsewhere := range map[string]bool{"placed elsewhere": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				state := newEngines(begun)
				var claimed, id, ended atomic.Uint64
				take := func(key uint64, request reserver.Request) reserver.Answer {
					if !request.Claims {
						return reserver.Granted
					}
					claimed.Store(key)
					id.Store(request.ID)
					if elsewhere {
						for _, endpoint := range state.Fleet().All() {
							if endpoint.Key != key && endpoint.OwnLoad().Requests > 0 {
								endpoint.End(monitor.Load{Requests: 3, KVTokens: 39000})
							}
						}
					}
					return reserver.Refused
				}
				end := func(key, promptID uint64) {
					if key == claimed.Load() {
						ended.Store(promptID)
					}
				}
				r := relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakeRoom: take, EndClaim: end, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
				refusal := r.WaitForRoom(t.Context(), prompt(begun))
				assert.Equal(t, refusal == nil, elsewhere)
				synctest.Wait()
				assert.Equal(t, ended.Load(), id.Load())
			})
		})
	}
}
