package placer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/monitor"
	"wisteriadrum/placer"
	"wisteriadrum/router"
)

var engine = &router.Engine{Slots: 64, CapacityTokens: 150000, TokenBytes: 18432, LinkMbps: 180000}

func at(dataCentre string, change func(*placer.Candidate)) placer.Candidate {
	candidate := placer.Candidate{View: monitor.View{Entry: monitor.Entry{DataCentre: dataCentre, Slots: 64}, Engine: engine, Weights: 2, LatencyRatio: 1}}
	if change != nil {
		change(&candidate)
	}
	return candidate
}

var long = placer.Requirements{PromptTokens: 17000, OutputTokens: 100, DataCentre: "a", NewestVersion: 2}

func TestChoose(t *testing.T) {
	short := placer.Requirements{PromptTokens: 300, OutputTokens: 40, DataCentre: "a", NewestVersion: 2}
	busy := func(c *placer.Candidate) {
		c.View.Load = monitor.Load{Requests: 4, PrefillTokens: 40000, KVTokens: 70000}
	}
	for name, test := range map[string]struct {
		need       placer.Requirements
		candidates []placer.Candidate
		place      int
	}{
		"nowhere":           {short, nil, -1},
		"near":              {short, []placer.Candidate{at("b", nil), at("a", nil)}, 1},
		"less to read":      {short, []placer.Candidate{at("a", busy), at("b", nil)}, 1},
		"keeps the part":    {long, []placer.Candidate{at("a", nil), at("b", func(c *placer.Candidate) { c.CachedTokens = 13000 })}, 1},
		"slow one":          {long, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.LatencyRatio = 5 }), at("b", nil)}, 1},
		"barred":            {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.Excluded = true }), at("b", nil)}, 1},
		"left":              {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Left = true }), at("b", busy)}, 1},
		"only one left":     {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Left = true })}, -1},
		"leaving, at last":  {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Leaving = true })}, 0},
		"shunned":           {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.InBackoff = true }), at("b", busy)}, 1},
		"loading":           {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Loading = true }), at("b", busy)}, 1},
		"old weights":       {short, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Weights = 1 }), at("b", nil)}, 1},
		"old, but far less": {long, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Weights = 1 }), at("b", func(c *placer.Candidate) { c.View.Load.PrefillTokens = 60000 })}, 0},
		"room before speed": {long, []placer.Candidate{at("a", func(c *placer.Candidate) { c.View.Load = monitor.Load{Requests: 3, KVTokens: 70000} }), at("b", func(c *placer.Candidate) { c.View.Load = monitor.Load{Requests: 40, PrefillTokens: 30000} })}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, placer.Choose(test.need, test.candidates, nil).CandidateIndex, test.place)
		})
	}
}

// After the time for new weights, older ones are used only if none are newer.
func TestFloor(t *testing.T) {
	old := func(c *placer.Candidate) { c.View.Weights = 1 }
	need := placer.Requirements{PromptTokens: 300, DataCentre: "a", NewestVersion: 2, MinVersion: 2}
	full := at("b", func(c *placer.Candidate) { c.View.Load.PrefillTokens = 1000000 })
	assert.Equal(t, placer.Choose(need, []placer.Candidate{at("a", old), full}, nil).CandidateIndex, 1)
	assert.Equal(t, placer.Choose(need, []placer.Candidate{at("a", old)}, nil).CandidateIndex, 0)
}

// When all engines hold as much as they may, a long prompt waits, a short one
// does not.
func TestFull(t *testing.T) {
	loaded := at("a", func(c *placer.Candidate) { c.View.Load = monitor.Load{Requests: 4, KVTokens: 70000} })
	assert.Assert(t, placer.Choose(long, []placer.Candidate{loaded}, nil).Full)
	assert.Assert(t, !placer.Choose(placer.Requirements{PromptTokens: 300}, []placer.Candidate{loaded}, nil).Full)
	alone := at("a", nil)
	huge := placer.Requirements{PromptTokens: 140000}
	assert.Assert(t, !placer.Choose(huge, []placer.Candidate{alone}, nil).Full, "an idle engine takes any prompt")
}

// A long prompt waits for an engine that works rather than go to an empty one
// that would refuse it.
func TestRefusingEnginesHaveNoRoom(t *testing.T) {
	full := at("a", func(c *placer.Candidate) { c.View.Load = monitor.Load{Requests: 4, KVTokens: 70000} })
	loading := at("a", func(c *placer.Candidate) { c.View.Loading = true })
	failing := at("a", func(c *placer.Candidate) { c.View.InBackoff = true })
	choice := placer.Choose(long, []placer.Candidate{loading, full, failing}, nil)
	assert.Equal(t, choice.CandidateIndex, 1)
	assert.Assert(t, choice.Full)
	assert.Equal(t, placer.Choose(long, []placer.Candidate{loading, at("b", nil)}, nil).CandidateIndex, 1)
}

// A part is fetched where that is quicker than reading, from the quickest
// source with the same weights.
func TestFetch(t *testing.T) {
	near := placer.Source{DataCentre: "a", CachedTokens: 13000, Weights: 2, LinkMbps: 180000}
	far := placer.Source{DataCentre: "b", CachedTokens: 13000, Weights: 2, LinkMbps: 180000}
	store := placer.Source{DataCentre: "a", CachedTokens: 13000, Weights: 2, LinkMbps: 22000}
	crowded := placer.Source{DataCentre: "a", CachedTokens: 13000, Weights: 2, LinkMbps: 22000, QueuedTokens: 100000}
	other := placer.Source{DataCentre: "a", CachedTokens: 13000, Weights: 1, LinkMbps: 180000}
	for name, test := range map[string]struct {
		sources []placer.Source
		fetch   int
		unread  int
	}{
		"none":            {nil, -1, 17000},
		"near before far": {[]placer.Source{far, near}, 1, 4000},
		"engine first":    {[]placer.Source{store, far}, 1, 4000},
		"store":           {[]placer.Source{store}, 0, 4000},
		"crowded link":    {[]placer.Source{crowded}, -1, 17000},
		"other weights":   {[]placer.Source{other}, -1, 17000},
	} {
		t.Run(name, func(t *testing.T) {
			choice := placer.Choose(long, []placer.Candidate{at("a", nil)}, test.sources)
			assert.Equal(t, choice.SourceIndex, test.fetch)
			assert.Equal(t, choice.PrefillTokens, test.unread)
		})
	}
}

// Plain services are chosen by what waits there.
func TestServices(t *testing.T) {
	service := func(requests int) placer.Candidate {
		return placer.Candidate{View: monitor.View{Entry: monitor.Entry{DataCentre: "a", Slots: 2}, LatencyRatio: 1, Load: monitor.Load{Requests: requests}}}
	}
	assert.Equal(t, placer.Choose(placer.Requirements{DataCentre: "a"}, []placer.Candidate{service(2), service(1), service(5)}, nil).CandidateIndex, 1)
}
