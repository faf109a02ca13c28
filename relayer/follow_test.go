package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/framer"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/reserver"
	"wisteriadrum/restrainer"
	"wisteriadrum/router"
)

// exhausted keeps a workspace above its limit.
type exhausted struct{ relayer.Quotas }

func (exhausted) RefusedUntil(string, float64, int) (time.Time, bool) { return time.Time{}, false }

func (exhausted) Take(string, float64, int) (granted bool, retryAt time.Time) {
	return false, time.Now().Add(20 * time.Millisecond)
}

var (
	smallEngine = &router.Engine{Slots: 8, CapacityTokens: 10000, TokenBytes: 1000, LinkMbps: 1000}
	poolA       = router.Pool{Name: "a", Engine: smallEngine}
	poolB       = router.Pool{Name: "b", Engine: smallEngine}
	plainA      = router.Pool{Name: "a"}
)

// waitingPrompt is a prompt that waits in pool a, of which engine a1 caches a part of it.
// Engine b1 serves pool b.
type waitingPrompt struct {
	state *registrar.Registrar
	owner router.Workspace
	// prepared receives the name of the engine to which the prompt may be sent, or the code
	// of the refusal.
	prepared chan string
}

// newWaitingPrompt returns a prompt that may have run so many times and waits as wait makes it.
func newWaitingPrompt(t *testing.T, wait func(*waitingPrompt), runs int) *waitingPrompt {
	t.Helper()
	now := time.Now()
	w := &waitingPrompt{state: registrar.New(time.Now), owner: router.Workspace{Name: "w"}, prepared: make(chan string, 1)}
	w.state.PutEndpoints([]monitor.Entry{
		{Name: "a1", Address: "10.0.0.1:80", Pool: "a", Weights: map[string]int{"m": 1}},
		{Name: "b1", Address: "10.0.0.2:80", Pool: "b", Weights: map[string]int{"m": 1}},
	}, nil, now, now)
	wait(w)
	first := w.table(1, "a", poolA, poolB)
	w.state.PutTable(first)
	request := &requester.Request{
		Head: &framer.Head{Target: "/"}, Host: "h", Path: "/", Model: "m", PromptTokens: 1500,
		Parts: []requester.Part{{ID: "p", Tokens: 1000}, {ID: "q", Tokens: 500}}, ReceivedAt: now, Deadline: now.Add(8 * time.Second),
	}
	assert.Assert(t, relayer.Resolve(request, first) == nil)
	w.engine("a1").AddPart(relayer.PartKey(request, 1, request.Parts[0]), 1000, true)
	r := relayer.New(relayer.Dependencies{
		Registrar: w.state, Detector: detector.New(), Quarantine: quarantiner.New(), Quotas: exhausted{}, FollowedSince: func() (time.Time, bool) { return now, true },
		TakeRoom: w.takeRoom, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})
	go func() { w.prepared <- r.Prepare(t.Context(), request, runs) }()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(w.prepared), 0, "the prompt does not wait")
	return w
}

// table returns a configuration whose only route leads to a pool. Its requests may run several
// times by version 1.
func (w *waitingPrompt) table(version int64, leadsTo string, pools ...router.Pool) *router.Table {
	route := router.Route{Name: "r", Host: "h", Prefix: "/", Attempts: 2, TargetMillis: 8000, Splits: []router.Split{{Pool: leadsTo, Weight: 1}}}
	if version == 1 {
		route.Repeat = router.Repeatable
	}
	return router.New(version, []router.Route{route}, pools, nil, map[string]router.Workspace{"": w.owner}, router.Limits{})
}

func (w *waitingPrompt) engine(name string) *monitor.Monitor { return w.state.Fleet().All()[name] }

// takeRoom grants room at b1 only.
func (w *waitingPrompt) takeRoom(key uint64, _ reserver.Request) reserver.Answer {
	if key == w.engine("b1").Key {
		return reserver.Granted
	}
	return reserver.Refused
}

// Guards against a prompt that waits in the pool of an older configuration: its instance ended
// when the pool had no engine settings any more, and where it did not, the prompt went to a
// service that its route had left, or waited for one that nobody serves.
func TestConfigurationChangesDuringAWait(t *testing.T) {
	waits := map[string]func(*waitingPrompt){
		"room":  func(w *waitingPrompt) { w.engine("a1").Begin(monitor.Load{Requests: 9, KVTokens: 9000}, time.Now()) },
		"limit": func(w *waitingPrompt) { w.owner.Quota = router.Quota{PerSecond: 1} },
		"held": func(w *waitingPrompt) {
			w.engine("a1").Hear(func(said restrainer.Restrainer) restrainer.Restrainer {
				return said.WithWait(time.Now().Add(time.Second))
			})
		},
	}
	noRoute := router.New(2, nil, nil, nil, nil, router.Limits{})
	type tables = []*router.Table
	for name, c := range map[string]struct {
		next func(*waitingPrompt) tables
		want string
		runs int
	}{
		"goes":              {func(w *waitingPrompt) tables { return tables{w.table(2, "b", poolB)} }, "b1", 0},
		"stays listed":      {func(w *waitingPrompt) tables { return tables{w.table(2, "b", poolA, poolB)} }, "b1", 0},
		"goes for good":     {func(w *waitingPrompt) tables { return tables{w.table(2, "c", poolB)} }, "no-endpoint", 0},
		"without a route":   {func(*waitingPrompt) tables { return tables{noRoute} }, "no-route", 0},
		"turns plain":       {func(w *waitingPrompt) tables { return tables{w.table(2, "b", plainA, poolB)} }, "b1", 0},
		"comes back":        {func(w *waitingPrompt) tables { return tables{w.table(2, "c", poolB), w.table(3, "b", poolA, poolB)} }, "b1", 0},
		"turns plain first": {func(w *waitingPrompt) tables { return tables{w.table(2, "a", plainA), w.table(3, "b", poolB)} }, "b1", 0},
		"once only":         {func(w *waitingPrompt) tables { return tables{w.table(2, "a", poolA)} }, "upstream-lost", 1},
	} {
		for kind, wait := range waits {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWaitingPrompt(t, wait, c.runs)
					changedAt := time.Now()
					w.owner.Quota = router.Quota{}
					for _, next := range c.next(w) {
						w.state.PutTable(next)
					}
					assert.Equal(t, <-w.prepared, c.want)
					assert.Assert(t, time.Since(changedAt) < 150*time.Millisecond)
				})
			})
		}
	}
}

// Guards against an instance that ends when it counts or fetches the cached parts of engines
// whose pool has no engine settings any more, and against a prompt that goes to such an engine
// without room for it, since the configuration changed while it was placed.
func TestFormerEngines(t *testing.T) {
	state, now := registrar.New(time.Now), time.Now()
	put := func(version int64, engine *router.Engine) {
		state.PutTable(router.New(version, nil, []router.Pool{{Name: "p", Engine: engine}}, nil, nil, router.Limits{}))
	}
	put(1, engine)
	state.PutEndpoints([]monitor.Entry{{Name: "a", Address: "10.0.0.1:80", Pool: "p"}, {Name: "b", Address: "10.0.0.2:80", Pool: "p"}}, nil, now, now)
	earlier, later := prompt(now), prompt(now)
	later.Pool, later.ConfigVersion, later.Parts = router.Pool{Name: "p"}, 2, []requester.Part{{ID: "q", Tokens: 20000}}
	for name, ready := range map[string]bool{"a": true, "b": false} {
		state.Fleet().All()[name].AddPart(relayer.PartKey(later, 0, later.Parts[0]), 20000, ready)
		state.Fleet().All()[name].Begin(monitor.Load{Requests: 3, KVTokens: 39000}, now)
	}
	put(2, nil)
	refuse := func(uint64, reserver.Request) reserver.Answer { return reserver.Refused }
	r := relayer.New(relayer.Dependencies{Registrar: state, Detector: detector.New(), TakeRoom: refuse, EndClaim: ignoreEnd, Count: counter.New(metrics.NewRegistry()), Now: time.Now})
	assert.Assert(t, len(r.Place(t.Context(), later)) == 1)
	assert.Equal(t, r.Place(t.Context(), earlier), "no-route")
}
