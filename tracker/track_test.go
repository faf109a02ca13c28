package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/reporter"
	"wisteriadrum/tracker"
	"wisteriadrum/worker"
)

// What is known of an incarnation is not known of the next.
func TestNewIncarnationHasNewSlot(t *testing.T) {
	track := tracker.New(worker.Endpoint{Name: "e"}, true)
	slots := uint16(0)
	slot := func(*tracker.Track) uint16 { slots++; return slots }
	now := time.Unix(1000, 0)
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now, slot)
	first := track.View().Slot
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now.Add(time.Second), slot)
	assert.Equal(t, track.View().Slot, first)
	track.ApplyAnswer("two", "v1", 0, now.Add(2*time.Second), slot)
	assert.Assert(t, track.View().Slot != first)
	late := track.View()
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now.Add(time.Second), slot)
	assert.Equal(t, track.View(), late, "a late report counts for nothing")
}

func TestQueueDrainsAndGrows(t *testing.T) {
	const perByte = 1000 // nanoseconds
	track := tracker.New(worker.Endpoint{Name: "e"}, true)
	now := time.Unix(1000, 0)
	track.ApplyReport(reporter.Report{Incarnation: "one", Queue: 10000}, now, func(*tracker.Track) uint16 { return 1 })
	assert.Equal(t, track.QueuedBytes(now, perByte), 10000)
	assert.Equal(t, track.QueuedBytes(now.Add(4*time.Millisecond), perByte), 6000)
	track.Begin(3000)
	assert.Equal(t, track.QueuedBytes(now, perByte), 13000)
	assert.Equal(t, track.QueuedBytes(now.Add(time.Second), perByte), 3000, "own work is waited for")
	track.FirstToken(3000)
	track.End()
	assert.Equal(t, track.QueuedBytes(now.Add(time.Second), perByte), 0)
}
