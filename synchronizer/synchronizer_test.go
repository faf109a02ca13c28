package synchronizer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/synchronizer"
)

// Guards against an estimate that is ahead of the remote clock, after slow answers too.
func TestEstimateIsNeverAhead(t *testing.T) {
	local, remote := time.Unix(1000, 0), time.UnixMilli(70)
	clock := synchronizer.New(func() time.Time { return local })
	_, known := clock.Now()
	assert.Assert(t, !known)
	pass := func(d time.Duration) { local, remote = local.Add(d), remote.Add(d) }
	behind := time.Duration(1<<63 - 1)
	for _, latency := range []time.Duration{800, 20, 300, 5, 1000} {
		sent := remote
		pass(latency * time.Millisecond)
		clock.Observe(sent)
		behind = min(behind, latency*time.Millisecond)
		pass(time.Second)
		estimate, known := clock.Now()
		assert.Assert(t, known)
		assert.Equal(t, remote.Sub(estimate), behind)
	}
}
