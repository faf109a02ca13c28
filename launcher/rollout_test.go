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

// Guards against a rollout of new weights that takes away too much capacity.
// Ten engines are reloaded under traffic: at most two may load concurrently, the
// pool must keep its configured number of serving engines, no request may be
// refused, and a platform outage may only delay the rollout.
func TestRollout(t *testing.T) {
	t.Run("two concurrent loads", func(t *testing.T) { rollout(t, 5, 2) })
	t.Run("one spare engine", func(t *testing.T) { rollout(t, 9, 1) })
}

func rollout(t *testing.T, serving, allowed int) {
	deployment := launch(t, func(o *launcher.Options) {
		o.Instances, o.Engines, o.Engine.LoadTime = 3, 10, 200*time.Millisecond
		o.EditConfig = func(config *cataloguer.Config) { config.Pools[0].MinServing = serving }
	})
	var stop atomic.Bool
	var traffic sync.WaitGroup
	for worker := range 4 {
		traffic.Go(func() {
			for i := 0; !stop.Load(); i++ {
				got := call(t, request{target: deployment.CallerAddresses()[i%3], path: "/v1/completions", body: prompt(fmt.Sprint("rollout ", worker, i), 3, true)})
				assert.Check(t, got.complete, "%s %s", got.code, got.text)
			}
		})
	}
	deployment.Config.Pools[0].Version, deployment.Config.Pools[0].OlderVersions = "v2", []string{"v1"}
	_, err := deployment.Instances[0].Publish(t.Context(), deployment.Config.Encode(), nil)
	assert.NilError(t, err)
	outage := time.AfterFunc(time.Second, func() { deployment.Platform.SetFaults(emulator.Faults{Down: true}) })
	defer outage.Stop()
	time.AfterFunc(3*time.Second, func() { deployment.Platform.SetFaults(emulator.Faults{}) })
	maxLoading, done := 0, 0
	for deadline := time.Now().Add(60 * time.Second); done < len(deployment.Engines) && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		loading := 0
		done = 0
		for _, engine := range deployment.Engines {
			if engine.Loading() {
				loading++
			}
			if engine.Weights() == "v2" {
				done++
			}
		}
		maxLoading = max(maxLoading, loading)
	}
	stop.Store(true)
	traffic.Wait()
	assert.Equal(t, done, len(deployment.Engines))
	assert.Assert(t, maxLoading <= allowed, "%d engines loaded at once", maxLoading)
	for _, engine := range deployment.Engines {
		assert.DeepEqual(t, engine.LoadedWeights(), []string{"v2"})
	}
}

// Guards against answers from old weights: an engine that does not check fencing
// tokens applies an outdated order late. It must get no requests until it has
// been ordered back to the current version.
func TestUnfencedEngineIsSetRight(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Engines, o.Engine.LoadTime = 2, 50*time.Millisecond })
	deployment.Config.Pools[0].Version = "v2"
	_, err := deployment.Instances[0].Publish(t.Context(), deployment.Config.Encode(), nil)
	assert.NilError(t, err)
	late := deployment.Engines[0]
	loaded := func() bool {
		return late.Weights() == "v2" && deployment.Engines[1].Weights() == "v2" && !late.Loading()
	}
	eventually(t, 20*time.Second, "the engines did not load v2", loaded)
	assert.NilError(t, late.ApplyOrder(commander.Order{Weights: "v1"}))
	eventually(t, 5*time.Second, "the outdated order was not applied", func() bool { return late.Weights() == "v1" })
	served := late.Stats().Requests
	for i := range 10 {
		got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: prompt(fmt.Sprint("late ", i), 2, true)})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
		if late.Weights() == "v1" {
			assert.Equal(t, late.Stats().Requests, served)
		}
	}
	eventually(t, 20*time.Second, "the engine did not return to v2", loaded)
}
