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

// Every stream reaches its caller complete and in order, whatever the engines do.
func TestStreamsAreCompleteUnderFaults(t *testing.T) {
	faults := map[string]inferrer.Faults{
		"none":                 {},
		"cut every few events": {CutAfter: 5},
		"ended too soon":       {EndAfter: 5},
		"crossed answers":      {SwapAnswers: 1},
		"gaps":                 {SkipAt: 4},
		"duplicates":           {DuplicateEvents: true},
		"refused once":         {Refuse: 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			stage := open(t, nil)
			for _, engine := range stage.Engines {
				engine.SetFaults(fault)
			}
			for i := range 6 {
				body := prompt(fmt.Sprintf("%s %d %s", name, i, strings.Repeat("x", 300)), 20, i%2 == 0)
				got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
				assert.Equal(t, got.status, http.StatusOK, got.text)
				assert.Assert(t, got.complete)
				if i%2 == 0 {
					assert.Equal(t, got.text, reference(t, body))
				} else {
					assert.Assert(t, strings.Contains(got.text, reference(t, body)), got.text)
				}
			}
			counters := stage.Instances[0].Counters()
			assert.Equal(t, counters["stream.duplicates"] > 0, name == "duplicates")
			if name == "duplicates" {
				assert.Equal(t, counters["stream.resumed-upstream-lost"], int64(0))
			}
		})
	}
}

// An engine that is killed in the middle of its streams costs no caller a
// token, and no stream that was cut looks finished.
func TestEngineKilledMidStream(t *testing.T) {
	for _, continues := range []bool{true, false} {
		t.Run(fmt.Sprintf("continues=%t", continues), func(t *testing.T) {
			stage := open(t, func(o *launcher.Options) {
				o.Engine.TimePerToken = 10000
				o.EditSet = func(set *cataloguer.Config) { set.Pools[0].CanContinue = continues }
			})
			answers := make([]answer, 8)
			var all sync.WaitGroup
			for i := range answers {
				all.Go(func() {
					answers[i] = call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: prompt(fmt.Sprint("kill ", i), 50, true)})
				})
			}
			time.Sleep(200 * time.Millisecond)
			stage.Engines[0].Crash()
			all.Wait()
			moved := 0
			for i, got := range answers {
				want := reference(t, prompt(fmt.Sprint("kill ", i), 50, true))
				assert.Assert(t, strings.HasPrefix(want, got.text), "%q is not a beginning of %q", got.text, want)
				assert.Equal(t, got.complete, got.text == want)
				if !got.complete {
					moved++
					assert.Equal(t, got.code, "upstream-lost")
					assert.Equal(t, got.verdict, "ran")
				}
			}
			assert.Equal(t, moved > 0, !continues)
		})
	}
}

// Connections that go silent for good while new ones work cost time only.
func TestSilentConnections(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engine.TimePerToken = 10000 })
	caller := stage.CallerAddresses()[0]
	for i := range 8 { // opens connections to keep
		call(t, request{target: caller, path: "/v1/completions", body: prompt(fmt.Sprint("warm ", i), 2, true)})
	}
	body := prompt("in the middle", 50, true)
	result := make(chan answer, 1)
	go func() { result <- call(t, request{target: caller, path: "/v1/completions", body: body}) }()
	time.Sleep(150 * time.Millisecond)
	for _, engine := range stage.Engines {
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

// A caller that lost its stream resumes at another instance where it stopped.
func TestCallerResumesAtAnotherInstance(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Instances = 2 })
	body := prompt("resume", 30, true)
	whole := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, whole.complete)
	middle := strings.TrimSuffix(whole.last, "/30") + "/10"
	rest := call(t, request{target: stage.CallerAddresses()[1], path: "/v1/completions", body: body, last: middle})
	assert.Assert(t, rest.complete, rest.text)
	assert.Assert(t, rest.text != "" && strings.HasSuffix(whole.text, rest.text))
	assert.Equal(t, len(rest.text), len(whole.text)*2/3)
	stranger := call(t, request{target: stage.CallerAddresses()[1], path: "/v1/completions", body: body, last: middle, workspace: 1})
	assert.Equal(t, stranger.code, "answer-lost")
	for _, last := range []string{"nonsense", "a-engine-1/../load/3", "a-engine-1/x y/3", "a-engine-1/x?y/3", "a-engine-1/x/0"} {
		bad := call(t, request{target: stage.CallerAddresses()[1], path: "/v1/completions", body: body, last: last})
		assert.Equal(t, bad.code, "bad-request", last)
		assert.Equal(t, bad.verdict, "not-run")
	}
}

// A caller that leaves cancels its generation at the engine.
func TestCallerGoneCancels(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engine.TimePerToken = 5000 })
	response, err := send(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: prompt("leaver", 2000, true)})
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 10))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	eventually(t, 5*time.Second, "the engine saw no cancel", func() bool {
		return stage.Engines[0].Stats().Cancelled+stage.Engines[1].Stats().Cancelled == 1
	})
}

// A slow caller gets the whole answer.
func TestSlowCaller(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engine.TimePerToken = 100 })
	body := prompt("slow", 3000, true)
	response, err := send(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, piece := []byte(nil), make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(piece)
		text = append(text, piece[:n]...)
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

// A request that crashes its engines costs at most two of them, however often
// and wherever it is sent; others go on, and a fresh instance knows of it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Instances, o.Engines = 3, 6 })
	for _, engine := range stage.Engines {
		engine.SetFaults(inferrer.Faults{Poison: "poison"})
	}
	body := prompt("some poison here", 10, true)
	refusals := 0
	for i := range 9 {
		got := call(t, request{target: stage.CallerAddresses()[i%3], path: "/v1/completions", body: body})
		assert.Assert(t, got.code != "", got.text)
		if got.code == "quarantined" {
			refusals++
		}
	}
	assert.Assert(t, lost(stage) <= 2, "%d engines were lost", lost(stage))
	assert.Assert(t, refusals >= 8, "refused %d times", refusals)
	innocent := prompt("innocent", 10, true)
	assert.Equal(t, call(t, request{target: stage.CallerAddresses()[1], path: "/v1/completions", body: innocent}).text, reference(t, innocent))
	fresh, err := stage.AddInstance("a")
	assert.NilError(t, err)
	assert.NilError(t, stage.WaitReady())
	eventually(t, 5*time.Second, "the fresh instance has not heard of the case", func() bool {
		return call(t, request{target: fresh.Settings.CallerAddress, path: "/v1/completions", body: body}).verdict == "not-run"
	})
	assert.Assert(t, lost(stage) <= 2)
}

func lost(stage *launcher.Deployment) int {
	lost := 0
	for _, engine := range stage.Engines {
		if engine.Crashed() {
			lost++
		}
	}
	return lost
}

func eventually(t *testing.T, within time.Duration, failure string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// An answer that belongs to another request never reaches a caller.
func TestAnswerUnderAnotherName(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engines = 1 })
	for i := range 5 {
		first := prompt(fmt.Sprint("first ", i), 10, true)
		assert.Equal(t, call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: first}).text, reference(t, first))
		stage.Engines[0].SetFaults(inferrer.Faults{SwapAnswers: 1})
		second := prompt(fmt.Sprint("second ", i), 10, true)
		got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: second})
		assert.Equal(t, got.text, reference(t, second))
	}
}

// The same prompt from two workspaces shares no cache.
func TestNoCacheOfAnotherWorkspace(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engines = 1 })
	body := prompt(strings.Repeat("standing orders ", 50), 2, true)
	for workspace := range 2 {
		got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body, workspace: workspace})
		assert.Assert(t, got.complete)
		assert.Equal(t, stage.Engines[0].Stats().Cached, 0)
	}
	call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, stage.Engines[0].Stats().Cached > 0)
}

// A request is never answered from other weights than those published.
func TestNoOlderWeights(t *testing.T) {
	stage := open(t, nil)
	body := prompt("weights", 2, true)
	stage.Set.Pools[0].Version = "v2"
	_, err := stage.Instances[0].Publish(t.Context(), stage.Set.Encode(), nil)
	assert.NilError(t, err)
	stage.Platform.SetFaults(emulator.Faults{Down: true}) // so that nobody orders v2
	got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, !got.complete || got.code != "", "answered from weights v1: %v", got)
	assert.Equal(t, got.verdict, "not-run")
	stage.Engines[1].LoadWeights("v2")
	got = call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
	assert.Assert(t, got.complete, got.text)
	assert.Equal(t, stage.Engines[0].Stats().Requests, 0)
}

// An answer whose last token has come is complete, also when its engine ends
// before the closing event: nothing is generated beyond it.
func TestEngineLostAfterLastToken(t *testing.T) {
	stage := open(t, nil)
	for _, engine := range stage.Engines {
		engine.SetFaults(inferrer.Faults{StallAfter: 20})
	}
	body := prompt("the end", 20, true)
	result := make(chan answer, 1)
	go func() {
		result <- call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
	}()
	time.Sleep(300 * time.Millisecond)
	for _, engine := range stage.Engines {
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

// A request that an engine answers after a restart has crashed nothing: it is
// answered there, and no crash is put down to it.
func TestRestartedEngineAnswers(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engines = 1 })
	for i := range 4 {
		body := prompt(fmt.Sprint("restart ", i), 3, true)
		got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: body})
		assert.Equal(t, got.text, reference(t, body), got.code)
		stage.Engines[0].Crash()
		assert.NilError(t, stage.RestartEngine(stage.Engines[0]))
	}
	assert.Equal(t, stage.Instances[0].Counters()["quarantine.losses"], int64(0))
}
