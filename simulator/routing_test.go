package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"wisteriadrum/balancer"
	"wisteriadrum/bounder"
	"wisteriadrum/calibrator"
	"wisteriadrum/chooser"
	"wisteriadrum/coster"
	"wisteriadrum/eventer"
	"wisteriadrum/mapper"
	"wisteriadrum/randomizer"
	"wisteriadrum/simulator"
	"wisteriadrum/spreader"
)

const (
	length    = 60 * time.Second // of virtual time
	seeds     = 3
	hashLevel = 10 // pieces: the preamble and the document of both shapes
	boundLoad = 1.25
	mapBytes  = 8 << 20
	ours      = "cost"
)

type contender struct {
	name string
	mind func(time.Time) simulator.Router
}

func contenders() []contender {
	plain := func(policy chooser.Policy) func(time.Time) simulator.Router {
		return func(time.Time) simulator.Router { return simulator.Router{Policy: policy} }
	}
	return []contender{
		{"random", plain(randomizer.New())},
		{"least", plain(balancer.New())},
		{"hash", plain(spreader.New(hashLevel))},
		{"bounded", plain(bounder.New(hashLevel, boundLoad))},
		{"events", func(time.Time) simulator.Router {
			events := eventer.New(balancer.New())
			return simulator.Router{Policy: events, Events: events}
		}},
		{ours, func(start time.Time) simulator.Router {
			holders := mapper.New(mapBytes, start)
			return simulator.Router{Policy: coster.New(holders, calibrator.New()), Holders: holders, EventsToHolders: true}
		}},
	}
}

// BenchmarkRouting prints one line for each deployment, condition and policy:
// the mean over seeds of each measure.
func BenchmarkRouting(b *testing.B) {
	for _, site := range []simulator.Deployment{simulator.Consorzio(), simulator.Gwasg()} {
		for _, scene := range simulator.Scenarios() {
			for _, c := range contenders() {
				b.Run(fmt.Sprintf("%s/%s/%s", site.Name, scene.Name, c.name), func(b *testing.B) {
					for b.Loop() {
						measure(b, site, scene, c)
					}
				})
			}
		}
	}
}

func measure(b *testing.B, site simulator.Deployment, scene simulator.Scenario, c contender) {
	var sum simulator.Result
	for seed := range uint64(seeds) {
		r := simulator.Run(site, scene, c.mind, seed+1, length)
		sum.HitRate += r.HitRate / seeds
		sum.P50 += r.P50 / seeds
		sum.P95 += r.P95 / seeds
		sum.P99 += r.P99 / seeds
		sum.OthersP99 += r.OthersP99 / seeds
		sum.Wasted += r.Wasted / seeds
		sum.LoadQueries += r.LoadQueries / seeds
		sum.Skew += r.Skew / seeds
		sum.RestartHitRatio += r.RestartHitRatio / seeds
		sum.RateLimited += r.RateLimited
		sum.Refused += r.Refused
	}
	report(b, &sum)
	b.ReportMetric(sum.OthersP99, "others-p99ms")
	b.ReportMetric(100*sum.RestartHitRatio, "halftime%")
	b.ReportMetric(float64(sum.RateLimited), "limited")
	b.ReportMetric(float64(sum.Refused), "refused")
}

// BenchmarkScale compares, at 6, 55 and 165 instances (a region of the size
// designed for), choosing alone with asking the home instance of a prefix.
// Cache events are out of reach at this size and left out.
func BenchmarkScale(b *testing.B) {
	alone := contender{ours, func(start time.Time) simulator.Router {
		holders := mapper.New(scaleMap, start)
		return simulator.Router{Policy: coster.New(holders, calibrator.New()), Holders: holders}
	}}
	scene := simulator.Scenario{Name: "steady80", Load: 0.8}
	for _, instances := range []int{6, 55, 165} {
		for _, home := range []bool{false, true} {
			site := simulator.Scaled(instances, home)
			b.Run(site.Name, func(b *testing.B) {
				for b.Loop() {
					report(b, simulator.Run(site, scene, alone.mind, 1, scaleLength))
				}
			})
		}
		site := simulator.Scaled(instances, false)
		site.Name += "-bounded"
		b.Run(site.Name, func(b *testing.B) {
			for b.Loop() {
				report(b, simulator.Run(site, scene, contenders()[3].mind, 1, scaleLength))
			}
		})
	}
}

const (
	scaleMap    = 1 << 20
	scaleLength = 32 * time.Second
)

// report gives what every benchmark of routing measures.
func report(b *testing.B, r *simulator.Result) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*r.HitRate, "hit%")
	b.ReportMetric(r.P50, "p50ms")
	b.ReportMetric(r.P95, "p95ms")
	b.ReportMetric(r.P99, "p99ms")
	b.ReportMetric(100*r.Wasted, "wasted%")
	b.ReportMetric(r.Skew, "skew")
	b.ReportMetric(r.LoadQueries, "asked/req")
}
