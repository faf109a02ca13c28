// Package simulator is a discrete-event simulator. It runs seeded traffic in
// virtual time against simple models of engines, to compare routing policies.
package simulator

import (
	"fmt"
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/director"
	"wisteriadrum/mapper"
	"wisteriadrum/synthesizer"
)

// Deployment describes a simulated deployment.
type Deployment struct {
	Name        string
	Workload    synthesizer.Workload
	Objective   director.Objective
	DataCentres int
	Instances   int
	Engines     int
	// CachePieces is the capacity of an engine's prefix cache in prompt pieces.
	CachePieces int
	// PrefillNanosPerByte is the prefill time of a byte in nanoseconds.
	PrefillNanosPerByte int
	// TimePerToken is the decode time of a token, Tokens the number of tokens in an
	// answer.
	TimePerToken time.Duration
	Tokens       int
	// OneWayDelay is the one-way network delay between data centres.
	OneWayDelay time.Duration
	// ReportsPerSecond is the number of load reports that an instance receives per
	// second; 0 means one of each engine.
	ReportsPerSecond int
	// ViaHome routes each request at the home instance of its prefix.
	ViaHome bool
	// AssumedHitRate is the cached share of a prompt that the definition of full
	// load assumes.
	AssumedHitRate float64
}

// Consorzio returns a deployment of four data centres with long supplier
// contracts as prompts, routed for low tail latency.
func Consorzio() Deployment {
	return Deployment{
		Name: "consorzio", Workload: synthesizer.Consorzio(), Objective: director.MinTailLatency, DataCentres: 4, Instances: 6, Engines: 10,
		CachePieces: 160, PrefillNanosPerByte: 2000, TimePerToken: 5 * time.Millisecond, Tokens: 40, OneWayDelay: time.Millisecond, AssumedHitRate: 0.65,
	}
}

// Gwasg returns a deployment of three data centres with checks against standing
// orders as prompts, routed for little recomputation.
func Gwasg() Deployment {
	return Deployment{
		Name: "gwasg", Workload: synthesizer.Gwasg(), Objective: director.MinRecompute, DataCentres: 3, Instances: 6, Engines: 10,
		CachePieces: 120, PrefillNanosPerByte: 2000, TimePerToken: 5 * time.Millisecond, Tokens: 30, OneWayDelay: 500 * time.Microsecond, AssumedHitRate: 0.65,
	}
}

// Scaled returns a deployment like Consorzio with the given number of instances
// in three data centres and eight engines for every three instances. With 165
// instances it is half of the maximum size that the router is designed for.
func Scaled(instances int, home bool) Deployment {
	deployment := Consorzio()
	deployment.Name = fmt.Sprintf("nodes%d", instances)
	deployment.Instances, deployment.DataCentres = instances, 3
	deployment.Engines = max(instances*8/3, 10)
	deployment.Workload.Workspaces = max(instances*9/4, 8)
	deployment.ReportsPerSecond, deployment.ViaHome = 27, home
	if home {
		deployment.Name += "-home"
	}
	return deployment
}

// Scenario describes the load and the faults during a measurement.
type Scenario struct {
	Name string
	// Load is the rate of requests as a share of full load.
	Load float64
	// ShiftPopularity changes the most popular prefixes at half time.
	ShiftPopularity bool
	// FloodLoad is the load that one workspace adds in the second half, as a share
	// of full load. If it is set, all workspaces are limited to twice their usual
	// rate.
	FloodLoad float64
	// EventLoss is the share of cache events that are lost.
	EventLoss float64
	// CrashInterval is the time between engine crashes; 0 means none.
	CrashInterval time.Duration
	// RestartAll restarts all instances at half time.
	RestartAll bool
	// Partition disconnects the first data centre in the second half.
	Partition bool
	// Rollout restarts one engine after another in the second half.
	Rollout bool
}

// Scenarios returns the scenarios in which every policy is measured.
func Scenarios() []Scenario {
	const usualLoad = 0.8
	return []Scenario{
		{Name: "steady50", Load: 0.5},
		{Name: "steady80", Load: usualLoad},
		{Name: "steady95", Load: 0.95},
		{Name: "shift", Load: usualLoad, ShiftPopularity: true},
		{Name: "flood", Load: 0.5, FloodLoad: 0.4},
		{Name: "loss10", Load: usualLoad, EventLoss: 0.1},
		{Name: "loss100", Load: usualLoad, EventLoss: 1},
		{Name: "crash", Load: usualLoad, CrashInterval: 4 * time.Second},
		{Name: "herd", Load: usualLoad, RestartAll: true},
		{Name: "cut", Load: usualLoad, Partition: true},
		{Name: "rollout", Load: usualLoad, Rollout: true},
	}
}

// Router is the routing policy of one instance with the state that it uses.
type Router struct {
	Policy chooser.Policy
	// CacheMap, if set, records which engines cache the prefixes of answered
	// requests.
	CacheMap *mapper.Map
	// Events, if set, receives the engines' cache events.
	Events CacheEventListener
	// EventsToCacheMap applies the engines' cache events to CacheMap.
	EventsToCacheMap bool
}

// CacheEventListener receives cache events.
type CacheEventListener interface {
	Stored(level uint64, endpoint string)
	Evicted(level uint64, endpoint string)
	Cleared(endpoint string)
}
