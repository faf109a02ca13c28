package packer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/packer"
	"wisteriadrum/reporter"
)

var now = time.Unix(1000, 0)

func TestLoadsSurvivePacking(t *testing.T) {
	for _, queue := range []int{0, 1, 63, 64, 1000, 99_999, 5_000_000} {
		load := packer.Load{Index: 879, ReceivedAt: now.Add(-time.Second), Report: reporter.Report{
			Incarnation: packer.Incarnation("boot"), Queue: queue, Running: 7, Leaving: queue == 64, Loading: queue == 63,
		}}
		got := packer.Unpack(packer.Pack([]packer.Load{load}, now), now)
		assert.Equal(t, len(got), 1)
		assert.Assert(t, got[0].Report.Queue >= queue && got[0].Report.Queue <= queue+queue/4+64, "%d became %d", queue, got[0].Report.Queue)
		got[0].Report.Queue = queue
		assert.DeepEqual(t, got[0], load)
	}
	old := packer.Load{ReceivedAt: now.Add(-time.Minute)}
	assert.Equal(t, len(packer.Pack([]packer.Load{old}, now)), 0)
}

// Guards against panics on arbitrary input from another instance.
func FuzzUnpack(f *testing.F) {
	f.Add(packer.Pack([]packer.Load{{Index: 3, ReceivedAt: now}}, now))
	f.Fuzz(func(t *testing.T, packed []byte) {
		loads := packer.Unpack(packed, now)
		assert.Assert(t, len(loads) <= len(packed))
		again := packer.Unpack(packer.Pack(loads, now), now)
		assert.Assert(t, len(again) <= len(loads))
		assert.Assert(t, len(packer.UnpackHeartbeats(packed)) <= len(packed))
	})
}
