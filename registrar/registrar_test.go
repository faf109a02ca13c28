package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/monitor"
	"wisteriadrum/registrar"
	"wisteriadrum/restrainer"
	"wisteriadrum/router"
	"wisteriadrum/versioner"
)

var start = time.Unix(1000, 0)

func entry(name string, incarnation int64) monitor.Entry {
	return monitor.Entry{Name: name, Address: "10.0.0.1:80", Pool: "p", Incarnation: incarnation}
}

// An older configuration must never replace a newer one.
func TestTableNeverGoesBack(t *testing.T) {
	state := registrar.New(time.Now)
	table := func(version int64) *router.Table { return router.New(version, nil, nil, nil, nil, router.Limits{}) }
	assert.Assert(t, state.PutTable(table(3)))
	assert.Assert(t, !state.PutTable(table(2)))
	assert.Assert(t, !state.PutTable(table(3)))
	assert.Equal(t, state.Table().Version, int64(3))
}

// A version that is known already, or older than the newest one, is not reported
// as newer.
func TestNewerVersions(t *testing.T) {
	state := registrar.New(time.Now)
	version := func(number int) versioner.Version {
		return versioner.Version{Number: number, OlderUntil: start}
	}
	assert.Assert(t, state.AddVersion("m", version(2)))
	assert.Assert(t, state.AddVersion("m", version(3)))
	assert.Assert(t, !state.AddVersion("m", version(2)))
	assert.Equal(t, state.Versions("m").Newest(), 3)
}

// An endpoint whose entry expires and returns stays in use. One whose entry
// does not return is removed, and one with a new incarnation is a new endpoint.
func TestEntriesThatLapse(t *testing.T) {
	state := registrar.New(time.Now)
	drainDeadline := start.Add(2 * time.Second)
	state.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start, drainDeadline)
	first := state.Fleet().All()["a"]
	first.AddPart(7, 100, true)
	state.PutEndpoints(nil, []string{"a"}, start, drainDeadline)
	assert.Assert(t, first.View("", start).Leaving)
	assert.Assert(t, !first.Left(start.Add(time.Second)))
	assert.Assert(t, first.Left(drainDeadline))
	state.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start.Add(time.Second), drainDeadline)
	assert.Equal(t, state.Fleet().All()["a"], first)
	assert.Assert(t, !first.View("", start).Leaving)
	state.PutEndpoints([]monitor.Entry{entry("a", 2)}, nil, start.Add(time.Second), drainDeadline)
	cached, _ := state.Fleet().All()["a"].HasPart(7)
	assert.Assert(t, !cached, "a new incarnation starts with an empty cache")
	state.PutEndpoints(nil, []string{"a"}, start, drainDeadline)
	state.PutEndpoints(nil, nil, start.Add(time.Minute), drainDeadline)
	assert.Equal(t, len(state.Fleet().All()), 0)
}

// Guards against an endpoint that has said that it leaves and is used again, since its
// entry says the opposite, or expires and returns.
func TestEndpointThatSaidItLeaves(t *testing.T) {
	state := registrar.New(time.Now)
	list := func(at time.Time) { state.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, at, at) }
	list(start)
	state.Fleet().All()["a"].Hear(func(said restrainer.Restrainer) restrainer.Restrainer {
		return said.WithLeaving(start.Add(time.Second))
	})
	for _, at := range []time.Time{start.Add(time.Second), start.Add(30 * time.Second)} {
		list(at)
		assert.Assert(t, state.Fleet().All()["a"].View("", at).Left)
	}
	state.PutEndpoints(nil, []string{"a"}, start, start.Add(40*time.Second))
	list(start.Add(time.Minute))
	assert.Assert(t, state.Fleet().All()["a"].Left(start.Add(time.Minute)))
	state.PutEndpoints([]monitor.Entry{entry("a", 2)}, nil, start.Add(time.Minute), start.Add(time.Minute))
	assert.Assert(t, !state.Fleet().All()["a"].Left(start.Add(time.Minute)), "a new incarnation has said nothing")
	state.Fleet().All()["a"].Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithLeaving(start) })
	state.PutEndpoints(nil, []string{"a"}, start, start)
	state.PutEndpoints(nil, nil, start.Add(time.Hour), start)
	assert.Equal(t, len(state.Fleet().All()), 0)
}

// The drain deadline of a leaving endpoint is set by the first report; later
// reports must not extend it.
func TestLeavingCountsOnce(t *testing.T) {
	state := registrar.New(time.Now)
	state.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start, start)
	leaving := entry("a", 1)
	leaving.Leaving = true
	state.PutEndpoints([]monitor.Entry{leaving}, nil, start, start.Add(2*time.Second))
	state.PutEndpoints([]monitor.Entry{leaving}, nil, start, start.Add(9*time.Second))
	assert.Assert(t, state.Fleet().All()["a"].Left(start.Add(2*time.Second)))
}

// Guards against an endpoint that left long ago and is used again, since its entry is
// received again.
func TestLeavingEntryThatIsReadAgain(t *testing.T) {
	state := registrar.New(time.Now)
	state.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start, start)
	leaving := entry("a", 1)
	leaving.Leaving = true
	state.PutEndpoints([]monitor.Entry{leaving}, nil, start, start.Add(time.Second))
	later := start.Add(12 * time.Second)
	state.PutEndpoints(nil, nil, later, later)
	assert.Equal(t, len(state.Fleet().All()), 0)
	state.PutEndpoints([]monitor.Entry{leaving}, nil, later, later.Add(time.Second))
	assert.Assert(t, state.Fleet().All()["a"].Left(later))
}

// Guards against an endpoint that an older copy of its entry brings back, also if the copy is
// received twice.
func TestCopyOfEntries(t *testing.T) {
	state := registrar.New(time.Now)
	at := func(name string, incarnation, sequence int64, leaving bool) monitor.Entry {
		e := entry(name, incarnation)
		e.Sequence, e.Leaving = sequence, leaving
		return e
	}
	list := func(entries ...monitor.Entry) { state.PutEndpoints(entries, nil, start, start) }
	list(at("restarted", 2, 1, false), at("left", 1, 3, false), at("removed", 1, 3, false))
	list(at("left", 1, 4, true))
	state.PutEndpoints(nil, []string{"removed"}, start, start)
	earlier := []monitor.Entry{at("restarted", 1, 9, false), at("left", 1, 3, false), at("removed", 1, 3, false)}
	resumeAt := start.Add(4 * time.Second)
	state.PutCopy(earlier, start, start, resumeAt)
	assert.Equal(t, state.Fleet().All()["restarted"].Entry().Incarnation, int64(2))
	list(earlier[1:]...)
	left := func(name string, at time.Time) bool { return state.Fleet().All()[name].Left(at) }
	assert.Assert(t, left("left", resumeAt))
	assert.Assert(t, left("removed", resumeAt.Add(-1)))
	assert.Assert(t, !left("removed", resumeAt))
	state.PutEndpoints(nil, []string{"removed"}, start, start)
	assert.Assert(t, left("removed", resumeAt))
}

// Guards against stores and engines that keep the settings of an older configuration.
func TestChangedSettings(t *testing.T) {
	state := registrar.New(time.Now)
	put := func(version int64, tokens int) {
		pool := router.Pool{Name: "p", Engine: &router.Engine{CapacityTokens: tokens}}
		store := router.Store{Name: "s", Address: "10.0.0.2:80", CapacityTokens: tokens}
		state.PutTable(router.New(version, nil, []router.Pool{pool}, []router.Store{store}, nil, router.Limits{}))
	}
	put(1, 1000)
	state.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start, start)
	kept := []*monitor.Monitor{state.Fleet().All()["a"], state.Fleet().Stores()[0]}
	for _, holder := range kept {
		holder.AddPart(1, 400, true)
		holder.AddPart(2, 400, true)
	}
	put(2, 500)
	for i, holder := range []*monitor.Monitor{state.Fleet().All()["a"], state.Fleet().Stores()[0]} {
		assert.Assert(t, holder == kept[i])
		assert.Equal(t, holder.View("", start).Engine.CapacityTokens, 500)
		evicted, _ := holder.HasPart(1)
		recent, _ := holder.HasPart(2)
		assert.Assert(t, !evicted && recent)
	}
}
