package launcher_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/cataloguer"
	"wisteriadrum/commander"
	"wisteriadrum/emulator"
	"wisteriadrum/launcher"
)

// New weights reach ten engines under traffic: at most two load at once, the
// pool keeps the engines that the set names, and no request is refused. An
// outage of the platform holds the rollout up and traffic goes on.
func TestRollout(t *testing.T) {
	t.Run("two at once", func(t *testing.T) { rollout(t, 5, 2) })
	t.Run("one to spare", func(t *testing.T) { rollout(t, 9, 1) })
}

func rollout(t *testing.T, serving, allowed int) {
	stage := open(t, func(o *launcher.Options) {
		o.Instances, o.Engines, o.Engine.LoadTime = 3, 10, 200*time.Millisecond
		o.EditSet = func(set *cataloguer.Config) { set.Pools[0].MinServing = serving }
	})
	var stop atomic.Bool
	var traffic sync.WaitGroup
	for worker := range 4 {
		traffic.Go(func() {
			for i := 0; !stop.Load(); i++ {
				got := call(t, request{target: stage.CallerAddresses()[i%3], path: "/v1/completions", body: prompt(fmt.Sprint("rollout ", worker, i), 3, true)})
				assert.Check(t, got.complete, "%s %s", got.code, got.text)
			}
		})
	}
	stage.Set.Pools[0].Version, stage.Set.Pools[0].OlderVersions = "v2", []string{"v1"}
	_, err := stage.Instances[0].Publish(t.Context(), stage.Set.Encode(), nil)
	assert.NilError(t, err)
	outage := time.AfterFunc(time.Second, func() { stage.Platform.SetFaults(emulator.Faults{Down: true}) })
	defer outage.Stop()
	time.AfterFunc(3*time.Second, func() { stage.Platform.SetFaults(emulator.Faults{}) })
	mostLoading, done := 0, 0
	for deadline := time.Now().Add(60 * time.Second); done < len(stage.Engines) && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		loading := 0
		done = 0
		for _, engine := range stage.Engines {
			if engine.Loading() {
				loading++
			}
			if engine.Weights() == "v2" {
				done++
			}
		}
		mostLoading = max(mostLoading, loading)
	}
	stop.Store(true)
	traffic.Wait()
	assert.Equal(t, done, len(stage.Engines))
	assert.Assert(t, mostLoading <= allowed, "%d engines loaded at once", mostLoading)
	for _, engine := range stage.Engines {
		assert.DeepEqual(t, engine.LoadedWeights(), []string{"v2"})
	}
}

// An engine that ignores fences and obeys an old order late answers nothing
// with the old weights and is ordered forward again.
func TestUnfencedEngineIsSetRight(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Engines, o.Engine.LoadTime = 2, 50*time.Millisecond })
	stage.Set.Pools[0].Version = "v2"
	_, err := stage.Instances[0].Publish(t.Context(), stage.Set.Encode(), nil)
	assert.NilError(t, err)
	late := stage.Engines[0]
	loaded := func() bool { return late.Weights() == "v2" && stage.Engines[1].Weights() == "v2" && !late.Loading() }
	eventually(t, 20*time.Second, "the engines were not ordered", loaded)
	assert.NilError(t, late.ApplyOrder(commander.Order{Weights: "v1"}))
	eventually(t, 5*time.Second, "the old order was not obeyed", func() bool { return late.Weights() == "v1" })
	served := late.Stats().Requests
	for i := range 10 {
		got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: prompt(fmt.Sprint("late ", i), 2, true)})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
		if late.Weights() == "v1" {
			assert.Equal(t, late.Stats().Requests, served)
		}
	}
	eventually(t, 20*time.Second, "the engine was not set right", loaded)
}
