package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/cataloguer"
	"wisteriadrum/emulator"
	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
)

// Guards against incomplete, reordered or duplicated output when engines cut
// connections, end streams early, mix up answers, skip or repeat events.
func TestStreamsAreCompleteUnderFaults(t *testing.T) {
	faults := map[string]inferrer.Faults{
		"none":                 {},
		"cut every few events": {CutAfter: 5},
		"ended early":          {EndAfter: 5},
		"swapped answers":      {SwapAnswers: 1},
		"gaps":                 {SkipAt: 4},
		"duplicates":           {DuplicateEvents: true},
		"refused once":         {Refuse: 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			deployment := launch(t, nil)
			for _, engine := range deployment.Engines {
				engine.SetFaults(fault)
			}
			for i := range 6 {
				body := prompt(fmt.Sprintf("%s %d %s", name, i, strings.Repeat("x", 300)), 20, i%2 == 0)
				got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
				assert.Equal(t, got.status, http.StatusOK, got.text)
				assert.Assert(t, got.complete)
				if i%2 == 0 {
					assert.Equal(t, got.text, reference(t, body))
				} else {
					assert.Assert(t, strings.Contains(got.text, reference(t, body)), got.text)
				}
			}
			counters := deployment.Instances[0].Counters()
			assert.Equal(t, counters["stream.duplicates"] > 0, name == "duplicates")
			if name == "duplicates" {
				assert.Equal(t, counters["stream.resumed-upstream-lost"], int64(0))
			}
		})
	}
}

// Guards against lost tokens and streams that end as if complete after an engine
// crashes in the middle of them. If the pool can continue generations, another
// engine must finish them; otherwise callers must get an error event.
func TestEngineKilledMidStream(t *testing.T) {
	for _, continues := range []bool{true, false} {
		t.Run(fmt.Sprintf("continues=%t", continues), func(t *testing.T) {
			deployment := launch(t, func(o *launcher.Options) {
				o.Engine.MicrosPerToken = 10000
				o.EditConfig = func(config *cataloguer.Config) { config.Pools[0].CanContinue = continues }
			})
			answers := make([]answer, 8)
			var all sync.WaitGroup
			for i := range answers {
				all.Go(func() {
					answers[i] = call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: prompt(fmt.Sprint("kill ", i), 50, true)})
				})
			}
			time.Sleep(200 * time.Millisecond)
			deployment.Engines[0].Crash()
			all.Wait()
			failed := 0
			for i, got := range answers {
				want := reference(t, prompt(fmt.Sprint("kill ", i), 50, true))
				assert.Assert(t, strings.HasPrefix(want, got.text), "%q is not a prefix of %q", got.text, want)
				assert.Equal(t, got.complete, got.text == want)
				if !got.complete {
					failed++
					assert.Equal(t, got.code, "upstream-lost")
					assert.Equal(t, got.verdict, "ran")
				}
			}
			assert.Equal(t, failed > 0, !continues)
		})
	}
}

// Guards against requests that hang or fail when established connections stop
// passing data without being closed, while new connections work.
func TestSilentConnections(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engine.MicrosPerToken = 10000 })
	caller := deployment.CallerAddresses()[0]
	for i := range 8 { // fills the connection pool
		call(t, request{target: caller, path: "/v1/completions", body: prompt(fmt.Sprint("warm ", i), 2, true)})
	}
	body := prompt("in the middle", 50, true)
	result := make(chan answer, 1)
	go func() { result <- call(t, request{target: caller, path: "/v1/completions", body: body}) }()
	time.Sleep(150 * time.Millisecond)
	for _, engine := range deployment.Engines {
		engine.SetFaults(inferrer.Faults{Blackhole: true})
	}
	before := prompt("before the first byte", 5, true)
	got := call(t, request{target: caller, path: "/v1/completions", body: before})
	assert.Assert(t, got.complete)
	assert.Equal(t, got.text, reference(t, before))
	got = <-result
	assert.Assert(t, got.complete)
	assert.Equal(t, got.text, reference(t, body))
}

// A caller that lost its connection must be able to resume its stream at another
// instance from the last event it received; callers of other workspaces and
// malformed event IDs must be refused.
func TestCallerResumesAtAnotherInstance(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Instances = 2 })
	body := prompt("resume", 30, true)
	whole := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, whole.complete)
	middle := strings.TrimSuffix(whole.last, "/30") + "/10"
	rest := call(t, request{target: deployment.CallerAddresses()[1], path: "/v1/completions", body: body, last: middle})
	assert.Assert(t, rest.complete, rest.text)
	assert.Assert(t, rest.text != "" && strings.HasSuffix(whole.text, rest.text))
	assert.Equal(t, len(rest.text), len(whole.text)*2/3)
	otherWorkspace := call(t, request{target: deployment.CallerAddresses()[1], path: "/v1/completions", body: body, last: middle, workspace: 1})
	assert.Equal(t, otherWorkspace.code, "answer-lost")
	for _, last := range []string{"nonsense", "a-engine-1/../load/3", "a-engine-1/x y/3", "a-engine-1/x?y/3", "a-engine-1/x/0"} {
		bad := call(t, request{target: deployment.CallerAddresses()[1], path: "/v1/completions", body: body, last: last})
		assert.Equal(t, bad.code, "bad-request", last)
		assert.Equal(t, bad.verdict, "not-run")
	}
}

// Guards against wasted generation: when the caller disconnects, the engine must
// get a cancel request.
func TestCallerGoneCancels(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engine.MicrosPerToken = 5000 })
	response, err := send(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: prompt("leaver", 2000, true)})
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 10))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	eventually(t, 5*time.Second, "no engine cancelled the generation", func() bool {
		return deployment.Engines[0].Stats().Cancelled+deployment.Engines[1].Stats().Cancelled == 1
	})
}

// A caller that reads slowly must get the whole answer.
func TestSlowCaller(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engine.MicrosPerToken = 100 })
	body := prompt("slow", 3000, true)
	response, err := send(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, buffer := []byte(nil), make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(buffer)
		text = append(text, buffer[:n]...)
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	got := answer{text: string(text)}
	readStream(&got)
	assert.Assert(t, got.complete)
	assert.Equal(t, got.text, reference(t, body))
}

// Guards against a request that crashes one engine after another through retries
// and resends: it may crash at most two, must then be quarantined on all
// instances, including those started later, and must not affect other requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Instances, o.Engines = 3, 6 })
	for _, engine := range deployment.Engines {
		engine.SetFaults(inferrer.Faults{Poison: "poison"})
	}
	body := prompt("some poison here", 10, true)
	refusals := 0
	for i := range 9 {
		got := call(t, request{target: deployment.CallerAddresses()[i%3], path: "/v1/completions", body: body})
		assert.Assert(t, got.code != "", got.text)
		if got.code == "quarantined" {
			refusals++
		}
	}
	assert.Assert(t, crashedEngines(deployment) <= 2, "%d engines were lost", crashedEngines(deployment))
	assert.Assert(t, refusals >= 8, "refused %d times", refusals)
	innocent := prompt("innocent", 10, true)
	assert.Equal(t, call(t, request{target: deployment.CallerAddresses()[1], path: "/v1/completions", body: innocent}).text, reference(t, innocent))
	added, err := deployment.AddInstance("a")
	assert.NilError(t, err)
	assert.NilError(t, deployment.WaitReady())
	eventually(t, 5*time.Second, "the new instance has not received the quarantine entry", func() bool {
		return call(t, request{target: added.Settings.CallerAddress, path: "/v1/completions", body: body}).verdict == "not-run"
	})
	assert.Assert(t, crashedEngines(deployment) <= 2)
}

func crashedEngines(deployment *launcher.Deployment) int {
	count := 0
	for _, engine := range deployment.Engines {
		if engine.Crashed() {
			count++
		}
	}
	return count
}

func eventually(t *testing.T, timeout time.Duration, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// Guards against an answer that reaches the wrong caller: an engine answers with
// the attempt ID and the output of another attempt.
func TestAnswerUnderAnotherName(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engines = 1 })
	for i := range 5 {
		first := prompt(fmt.Sprint("first ", i), 10, true)
		assert.Equal(t, call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: first}).text, reference(t, first))
		deployment.Engines[0].SetFaults(inferrer.Faults{SwapAnswers: 1})
		second := prompt(fmt.Sprint("second ", i), 10, true)
		got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: second})
		assert.Equal(t, got.text, reference(t, second))
	}
}

// Guards against a KV cache shared between workspaces: the same prompt from
// another workspace must not be a cache hit.
func TestNoCacheOfAnotherWorkspace(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engines = 1 })
	body := prompt(strings.Repeat("standing orders ", 50), 2, true)
	for workspace := range 2 {
		got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body, workspace: workspace})
		assert.Assert(t, got.complete)
		assert.Equal(t, deployment.Engines[0].Stats().Cached, 0)
	}
	call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, deployment.Engines[0].Stats().Cached > 0)
}

// Guards against answers from weights other than the published version while no
// engine has loaded it yet.
func TestNoOlderWeights(t *testing.T) {
	deployment := launch(t, nil)
	body := prompt("weights", 2, true)
	deployment.Config.Pools[0].Version = "v2"
	_, err := deployment.Instances[0].Publish(t.Context(), deployment.Config.Encode(), nil)
	assert.NilError(t, err)
	deployment.Platform.SetFaults(emulator.Faults{Down: true}) // so that no instance orders the engines to load v2
	got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, !got.complete || got.code != "", "answered from weights v1: %v", got)
	assert.Equal(t, got.verdict, "not-run")
	deployment.Engines[1].LoadWeights("v2")
	got = call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, got.complete, got.text)
	assert.Equal(t, deployment.Engines[0].Stats().Requests, 0)
}

// Guards against extra tokens: if the engine crashes after the last token but
// before the closing event, the answer is complete and must not be continued.
func TestEngineLostAfterLastToken(t *testing.T) {
	deployment := launch(t, nil)
	for _, engine := range deployment.Engines {
		engine.SetFaults(inferrer.Faults{StallAfter: 20})
	}
	body := prompt("the end", 20, true)
	result := make(chan answer, 1)
	go func() {
		result <- call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
	}()
	time.Sleep(300 * time.Millisecond)
	for _, engine := range deployment.Engines {
		if engine.Stats().Requests > 0 {
			engine.Crash()
		} else {
			engine.SetFaults(inferrer.Faults{})
		}
	}
	got := <-result
	assert.Equal(t, got.text, reference(t, body))
	assert.Assert(t, got.complete, "%s", got.code)
}

// Guards against a false quarantine: a connection that fails because its engine
// was restarted must not count as a crash caused by the request.
func TestRestartedEngineAnswers(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engines = 1 })
	for i := range 4 {
		body := prompt(fmt.Sprint("restart ", i), 3, true)
		got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: body})
		assert.Equal(t, got.text, reference(t, body), got.code)
		deployment.Engines[0].Crash()
		assert.NilError(t, deployment.RestartEngine(deployment.Engines[0]))
	}
	assert.Equal(t, deployment.Instances[0].Counters()["quarantine.losses"], int64(0))
}
