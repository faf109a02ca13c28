package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/monitor"
	"wisteriadrum/registrar"
	"wisteriadrum/router"
)

var start = time.Unix(1000, 0)

func entry(name string, born int64) monitor.Entry {
	return monitor.Entry{Name: name, Address: "10.0.0.1:80", Pool: "p", Incarnation: born}
}

// An older configuration never replaces a newer one.
func TestTableNeverGoesBack(t *testing.T) {
	beliefs := registrar.New()
	table := func(version int64) *router.Table { return router.New(version, nil, nil, nil, nil, router.Limits{}) }
	assert.Assert(t, beliefs.PutTable(table(3)))
	assert.Assert(t, !beliefs.PutTable(table(2)))
	assert.Assert(t, !beliefs.PutTable(table(3)))
	assert.Equal(t, beliefs.Table().Version, int64(3))
}

// Each version of weights goes out of use by its own time: a newer one named
// meanwhile does not make the oldest last longer.
func TestFloorOfVersions(t *testing.T) {
	beliefs := registrar.New()
	assert.Assert(t, beliefs.AddVersion("m", 2, start))
	assert.Assert(t, beliefs.AddVersion("m", 3, start.Add(6*time.Second)))
	assert.Assert(t, !beliefs.AddVersion("m", 2, start.Add(7*time.Second)))
	named := beliefs.Versions("m")
	assert.Equal(t, named.Newest(), 3)
	assert.Equal(t, named.NewestBefore(start), 0)
	assert.Equal(t, named.NewestBefore(start.Add(time.Second)), 2)
	assert.Equal(t, named.NewestBefore(start.Add(7*time.Second)), 3)
}

// An entry that lapsed and came back leaves its endpoint in use; one that
// stays away ends it, and one with a new birth is another endpoint.
func TestEntriesThatLapse(t *testing.T) {
	beliefs := registrar.New()
	leaveBy := start.Add(2 * time.Second)
	beliefs.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start, leaveBy)
	first := beliefs.Fleet().All()["a"]
	first.AddPart(7, 100, true)
	beliefs.PutEndpoints(nil, []string{"a"}, start, leaveBy)
	assert.Assert(t, first.View("", start).Leaving)
	assert.Assert(t, !first.Left(start.Add(time.Second)))
	assert.Assert(t, first.Left(leaveBy))
	beliefs.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start.Add(time.Second), leaveBy)
	assert.Equal(t, beliefs.Fleet().All()["a"], first)
	assert.Assert(t, !first.View("", start).Leaving)
	beliefs.PutEndpoints([]monitor.Entry{entry("a", 2)}, nil, start.Add(time.Second), leaveBy)
	held, _ := beliefs.Fleet().All()["a"].HasPart(7)
	assert.Assert(t, !held, "a new incarnation knows nothing of before")
	beliefs.PutEndpoints(nil, []string{"a"}, start, leaveBy)
	beliefs.PutEndpoints(nil, nil, start.Add(time.Minute), leaveBy)
	assert.Equal(t, len(beliefs.Fleet().All()), 0)
}

// A reported departure counts from its first report.
func TestLeavingCountsOnce(t *testing.T) {
	beliefs := registrar.New()
	beliefs.PutEndpoints([]monitor.Entry{entry("a", 1)}, nil, start, start)
	leaving := entry("a", 1)
	leaving.Leaving = true
	beliefs.PutEndpoints([]monitor.Entry{leaving}, nil, start, start.Add(2*time.Second))
	beliefs.PutEndpoints([]monitor.Entry{leaving}, nil, start, start.Add(9*time.Second))
	assert.Assert(t, beliefs.Fleet().All()["a"].Left(start.Add(2*time.Second)))
}
