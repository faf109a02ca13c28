// Package replayer replays seeded traffic in virtual time against small
// models of engines, to compare routing policies.
package replayer

import (
	"fmt"
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/composer"
	"wisteriadrum/director"
	"wisteriadrum/mapper"
)

// Site is one of the deployments to be measured.
type Site struct {
	Name        string
	Shape       composer.Shape
	Weigh       director.Weigh
	DataCentres int
	Instances   int
	Engines     int
	// Pieces is the number of prompt pieces that an engine's cache holds.
	Pieces int
	// PerByte is the prefill time of a byte in nanoseconds.
	PerByte int
	// PerToken is the time of a token, and Tokens their number in an answer.
	PerToken time.Duration
	Tokens   int
	// Distance is the one-way time between data centres.
	Distance time.Duration
	// Reports is the number of load reports that an instance hears of in a
	// second, 0 for one of each engine.
	Reports int
	// Home sends a request by way of the instance that its prefix belongs to.
	Home bool
	// Hit is the share of a prompt assumed cached to define full load.
	Hit float64
}

// Consorzio returns the first deployment of the brief.
func Consorzio() Site {
	return Site{
		Name: "consorzio", Shape: composer.Consorzio(), Weigh: director.Tail, DataCentres: 4, Instances: 6, Engines: 10,
		Pieces: 160, PerByte: 2000, PerToken: 5 * time.Millisecond, Tokens: 40, Distance: time.Millisecond, Hit: 0.65,
	}
}

// Gwasg returns the second deployment of the brief.
func Gwasg() Site {
	return Site{
		Name: "gwasg", Shape: composer.Gwasg(), Weigh: director.Waste, DataCentres: 3, Instances: 6, Engines: 10,
		Pieces: 120, PerByte: 2000, PerToken: 5 * time.Millisecond, Tokens: 30, Distance: 500 * time.Microsecond, Hit: 0.65,
	}
}

// Region returns half of the size designed for, or a smaller deployment of
// the same make: so many instances before eight workers for three of them.
func Region(instances int, home bool) Site {
	site := Consorzio()
	site.Name = fmt.Sprintf("nodes%d", instances)
	site.Instances, site.DataCentres = instances, 3
	site.Engines = max(instances*8/3, 10)
	site.Shape.Workspaces = max(instances*9/4, 8)
	site.Reports, site.Home = 27, home
	if home {
		site.Name += "-home"
	}
	return site
}

// Scene is what happens while a policy is measured.
type Scene struct {
	Name string
	// Load is the rate of requests as a share of full load.
	Load float64
	// Shift moves the hot prefixes at half time.
	Shift bool
	// Flood is the load that one workspace adds in the second half. All
	// workspaces are then limited to twice their usual rate.
	Flood float64
	// Loss is the share of cache events that are lost.
	Loss float64
	// Crash is the time between crashes of an engine, 0 for none.
	Crash time.Duration
	// Herd restarts all instances at half time.
	Herd bool
	// Cut separates the first data centre in the second half.
	Cut bool
	// Rollout reloads one engine after another in the second half.
	Rollout bool
}

// Scenes returns the conditions that every policy is measured under.
func Scenes() []Scene {
	const usual = 0.8
	return []Scene{
		{Name: "steady50", Load: 0.5},
		{Name: "steady80", Load: usual},
		{Name: "steady95", Load: 0.95},
		{Name: "shift", Load: usual, Shift: true},
		{Name: "flood", Load: 0.5, Flood: 0.4},
		{Name: "loss10", Load: usual, Loss: 0.1},
		{Name: "loss100", Load: usual, Loss: 1},
		{Name: "crash", Load: usual, Crash: 4 * time.Second},
		{Name: "herd", Load: usual, Herd: true},
		{Name: "cut", Load: usual, Cut: true},
		{Name: "rollout", Load: usual, Rollout: true},
	}
}

// Mind is one instance's policy with what it learns from.
type Mind struct {
	Policy chooser.Policy
	// Holders, if set, is told what answers show of caches.
	Holders *mapper.Map
	// Events, if set, is told of the engines' cache events.
	Events Listener
	// Heeds means that Holders is told of the engines' cache events.
	Heeds bool
}

// Listener takes in cache events.
type Listener interface {
	Stored(level uint64, endpoint string)
	Evicted(level uint64, endpoint string)
	Cleared(endpoint string)
}
