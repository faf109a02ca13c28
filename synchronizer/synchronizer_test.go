package synchronizer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/synchronizer"
)

// Guards against an estimate that is ahead of the remote clock, after slow answers too, and
// against an age that is shorter than the true one.
func TestEstimateIsNeverAhead(t *testing.T) {
	local, remote := time.Unix(1000, 0), time.UnixMilli(70)
	clock := synchronizer.New(func() time.Time { return local })
	_, known := clock.Now()
	assert.Assert(t, !known)
	assert.Equal(t, clock.Age(remote), time.Duration(0))
	pass := func(d time.Duration) { local, remote = local.Add(d), remote.Add(d) }
	behind := time.Duration(1<<63 - 1)
	for _, latency := range []time.Duration{800, 20, 300, 5, 1000} {
		sent, sentAt := remote, local
		pass(latency * time.Millisecond)
		clock.Observe(sent, sentAt)
		behind = min(behind, latency*time.Millisecond)
		pass(time.Second)
		estimate, known := clock.Now()
		assert.Assert(t, known)
		assert.Equal(t, remote.Sub(estimate), behind)
		assert.Equal(t, clock.Age(sent), time.Second+latency*time.Millisecond)
	}
}

// Guards against estimates that stay wrong for a remote clock which runs at another rate,
// halts or starts anew.
func TestSlowRemoteClock(t *testing.T) {
	for name, rate := range map[string]float64{"slow": 0.99, "fast": 1.1, "halted": 0, "backward": -1} {
		t.Run(name, func(t *testing.T) {
			local, remote := time.Unix(1000, 0), time.Unix(500, 0)
			clock := synchronizer.New(func() time.Time { return local })
			for range 100 {
				sentAt, sent := local, remote
				local = local.Add(10 * time.Millisecond)
				clock.Observe(sent, sentAt)
				estimate, _ := clock.Now()
				assert.Assert(t, estimate.Sub(remote) <= 10*time.Millisecond, "%s ahead", estimate.Sub(remote))
				latest, _ := clock.Latest()
				assert.Assert(t, !latest.Before(remote), "%s behind", remote.Sub(latest))
				local, remote = local.Add(time.Second), remote.Add(time.Duration(rate*float64(time.Second)))
			}
		})
	}
}
