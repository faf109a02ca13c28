package launcher_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/budgeter"
	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
)

// Guards against instances that each send as many extra retries as all may send together.
func TestExtraRetriesOfAllInstances(t *testing.T) {
	const requests = 40
	deployment := launch(t, func(o *launcher.Options) { o.Instances = 3 })
	for _, engine := range deployment.Engines {
		engine.SetFaults(inferrer.Faults{Refuse: 1 << 20})
	}
	retries := int64(0)
	for n, address := range deployment.CallerAddresses() {
		var all sync.WaitGroup
		for range requests {
			all.Go(func() { call(t, request{target: address, path: "/v1/completions", body: prompt("x", 1, true)}) })
		}
		all.Wait()
		retries += deployment.Instances[n].Counters()["retry.upstream-busy"]
	}
	assert.Assert(t, retries > 0 && retries <= int64(budgeter.Default().ExtraRetries), "%d retries", retries)
}
