// Package simulator replays seeded traffic in virtual time against small
// models of engines, to compare routing policies.
package simulator

import (
	"fmt"
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/director"
	"wisteriadrum/mapper"
	"wisteriadrum/synthesizer"
)

// Deployment is one of the deployments to be measured.
type Deployment struct {
	Name        string
	Shape       synthesizer.Workload
	Weigh       director.Objective
	DataCentres int
	Instances   int
	Engines     int
	// Pieces is the number of prompt pieces that an engine's cache holds.
	Pieces int
	// PrefillPerByte is the prefill time of a byte in nanoseconds.
	PrefillPerByte int
	// TimePerToken is the time of a token, and Tokens their number in an answer.
	TimePerToken time.Duration
	Tokens       int
	// OneWayDelay is the one-way time between data centres.
	OneWayDelay time.Duration
	// ReportsPerSecond is the number of load reports that an instance hears of in a
	// second, 0 for one of each engine.
	ReportsPerSecond int
	// ViaHome sends a request by way of the instance that its prefix belongs to.
	ViaHome bool
	// AssumedHitRate is the share of a prompt assumed cached to define full load.
	AssumedHitRate float64
}

// Consorzio returns the first deployment of the brief.
func Consorzio() Deployment {
	return Deployment{
		Name: "consorzio", Shape: synthesizer.Consorzio(), Weigh: director.MinTailLatency, DataCentres: 4, Instances: 6, Engines: 10,
		Pieces: 160, PrefillPerByte: 2000, TimePerToken: 5 * time.Millisecond, Tokens: 40, OneWayDelay: time.Millisecond, AssumedHitRate: 0.65,
	}
}

// Gwasg returns the second deployment of the brief.
func Gwasg() Deployment {
	return Deployment{
		Name: "gwasg", Shape: synthesizer.Gwasg(), Weigh: director.MinRecompute, DataCentres: 3, Instances: 6, Engines: 10,
		Pieces: 120, PrefillPerByte: 2000, TimePerToken: 5 * time.Millisecond, Tokens: 30, OneWayDelay: 500 * time.Microsecond, AssumedHitRate: 0.65,
	}
}

// Scaled returns half of the size designed for, or a smaller deployment of
// the same make: so many instances before eight workers for three of them.
func Scaled(instances int, home bool) Deployment {
	site := Consorzio()
	site.Name = fmt.Sprintf("nodes%d", instances)
	site.Instances, site.DataCentres = instances, 3
	site.Engines = max(instances*8/3, 10)
	site.Shape.Workspaces = max(instances*9/4, 8)
	site.ReportsPerSecond, site.ViaHome = 27, home
	if home {
		site.Name += "-home"
	}
	return site
}

// Scenario is what happens while a policy is measured.
type Scenario struct {
	Name string
	// Load is the rate of requests as a share of full load.
	Load float64
	// ShiftPopularity moves the hot prefixes at half time.
	ShiftPopularity bool
	// FloodLoad is the load that one workspace adds in the second half. All
	// workspaces are then limited to twice their usual rate.
	FloodLoad float64
	// EventLoss is the share of cache events that are lost.
	EventLoss float64
	// CrashInterval is the time between crashes of an engine, 0 for none.
	CrashInterval time.Duration
	// RestartAll restarts all instances at half time.
	RestartAll bool
	// Partition separates the first data centre in the second half.
	Partition bool
	// Rollout reloads one engine after another in the second half.
	Rollout bool
}

// Scenarios returns the conditions that every policy is measured under.
func Scenarios() []Scenario {
	const usual = 0.8
	return []Scenario{
		{Name: "steady50", Load: 0.5},
		{Name: "steady80", Load: usual},
		{Name: "steady95", Load: 0.95},
		{Name: "shift", Load: usual, ShiftPopularity: true},
		{Name: "flood", Load: 0.5, FloodLoad: 0.4},
		{Name: "loss10", Load: usual, EventLoss: 0.1},
		{Name: "loss100", Load: usual, EventLoss: 1},
		{Name: "crash", Load: usual, CrashInterval: 4 * time.Second},
		{Name: "herd", Load: usual, RestartAll: true},
		{Name: "cut", Load: usual, Partition: true},
		{Name: "rollout", Load: usual, Rollout: true},
	}
}

// Router is one instance's policy with what it learns from.
type Router struct {
	Policy chooser.Policy
	// Holders, if set, is told what answers show of caches.
	Holders *mapper.Map
	// Events, if set, is told of the engines' cache events.
	Events CacheEventListener
	// EventsToHolders means that Holders is told of the engines' cache events.
	EventsToHolders bool
}

// CacheEventListener takes in cache events.
type CacheEventListener interface {
	Stored(level uint64, endpoint string)
	Evicted(level uint64, endpoint string)
	Cleared(endpoint string)
}
