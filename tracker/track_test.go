package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/chooser"
	"wisteriadrum/reporter"
	"wisteriadrum/restrainer"
	"wisteriadrum/tracker"
	"wisteriadrum/worker"
)

// A new incarnation of an endpoint has an empty cache, so it must get a new slot
// in the cache map. A report that arrives out of order must change nothing.
func TestNewIncarnationHasNewSlot(t *testing.T) {
	track := tracker.New(worker.Endpoint{Name: "e"}, true)
	slots := uint16(0)
	newSlot := func(*tracker.Track) uint16 { slots++; return slots }
	now := time.Unix(1000, 0)
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now, newSlot)
	first := track.View().Slot
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now.Add(time.Second), newSlot)
	assert.Equal(t, track.View().Slot, first)
	track.ApplyAnswer("two", "v1", 0, now.Add(2*time.Second), newSlot)
	assert.Assert(t, track.View().Slot != first)
	latest := track.View()
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now.Add(time.Second), newSlot)
	assert.Equal(t, track.View(), latest, "a late report must not change the view")
}

// Guards against requests to an endpoint that wants none, and against a wait that outlives
// the incarnation that asked for it.
func TestEndpointWantsNoRequests(t *testing.T) {
	track := tracker.New(worker.Endpoint{Name: "e"}, true)
	now := time.Unix(1000, 0)
	newSlot := func(*tracker.Track) uint16 { return 1 }
	track.ApplyReport(reporter.Report{Incarnation: "one"}, now, newSlot)
	waitUntil := now.Add(3 * time.Second)
	track.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithWait(waitUntil) })
	track.RecordSuccess()
	assert.Assert(t, !track.Available(now.Add(2999*time.Millisecond)) && track.Available(waitUntil))
	for ignoreBackoff, usableAt := range map[bool]time.Time{false: waitUntil, true: waitUntil} {
		query := chooser.Query{Now: now, IgnoreBackoff: ignoreBackoff}
		assert.Assert(t, !query.Usable(track))
		query.Now = usableAt
		assert.Assert(t, query.Usable(track))
	}
	track.ApplyReport(reporter.Report{Incarnation: "two"}, now.Add(time.Second), newSlot)
	assert.Assert(t, track.Available(now.Add(time.Second)))
}

func TestQueueDrainsAndGrows(t *testing.T) {
	const nanosPerByte = 1000
	track := tracker.New(worker.Endpoint{Name: "e"}, true)
	now := time.Unix(1000, 0)
	track.ApplyReport(reporter.Report{Incarnation: "one", Queue: 10000}, now, func(*tracker.Track) uint16 { return 1 })
	assert.Equal(t, track.QueuedBytes(now, nanosPerByte), 10000)
	assert.Equal(t, track.QueuedBytes(now.Add(4*time.Millisecond), nanosPerByte), 6000)
	track.Begin(3000)
	assert.Equal(t, track.QueuedBytes(now, nanosPerByte), 13000)
	assert.Equal(t, track.QueuedBytes(now.Add(time.Second), nanosPerByte), 3000, "requests without a first token stay queued")
	track.FirstToken(3000)
	track.End()
	assert.Equal(t, track.QueuedBytes(now.Add(time.Second), nanosPerByte), 0)
}
