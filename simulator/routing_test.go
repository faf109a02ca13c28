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
	length     = 60 * time.Second // of virtual time
	seedCount  = 3
	hashLevel  = 10 // pieces: the preamble and the document of both workloads
	boundLoad  = 1.25
	mapBytes   = 8 << 20
	costPolicy = "cost"
)

type policy struct {
	name      string
	newRouter func(time.Time) simulator.Router
}

func policies() []policy {
	plain := func(policy chooser.Policy) func(time.Time) simulator.Router {
		return func(time.Time) simulator.Router { return simulator.Router{Policy: policy} }
	}
	return []policy{
		{"random", plain(randomizer.New())},
		{"least", plain(balancer.New())},
		{"hash", plain(spreader.New(hashLevel))},
		{"bounded", plain(bounder.New(hashLevel, boundLoad))},
		{"events", func(time.Time) simulator.Router {
			events := eventer.New(balancer.New())
			return simulator.Router{Policy: events, Events: events}
		}},
		{costPolicy, func(start time.Time) simulator.Router {
			cacheMap := mapper.New(mapBytes, start)
			return simulator.Router{Policy: coster.New(cacheMap, calibrator.New()), CacheMap: cacheMap, EventsToCacheMap: true}
		}},
	}
}

// BenchmarkRouting reports, for each deployment, scenario and policy, the mean
// of each measurement over several seeds.
func BenchmarkRouting(b *testing.B) {
	for _, deployment := range []simulator.Deployment{simulator.Consorzio(), simulator.Gwasg()} {
		for _, scenario := range simulator.Scenarios() {
			for _, c := range policies() {
				b.Run(fmt.Sprintf("%s/%s/%s", deployment.Name, scenario.Name, c.name), func(b *testing.B) {
					for b.Loop() {
						measure(b, deployment, scenario, c)
					}
				})
			}
		}
	}
}

func measure(b *testing.B, deployment simulator.Deployment, scenario simulator.Scenario, c policy) {
	var sum simulator.Result
	for seed := range uint64(seedCount) {
		r := simulator.Run(deployment, scenario, c.newRouter, seed+1, length)
		sum.HitRate += r.HitRate / seedCount
		sum.P50 += r.P50 / seedCount
		sum.P95 += r.P95 / seedCount
		sum.P99 += r.P99 / seedCount
		sum.OthersP99 += r.OthersP99 / seedCount
		sum.Wasted += r.Wasted / seedCount
		sum.LoadQueries += r.LoadQueries / seedCount
		sum.Skew += r.Skew / seedCount
		sum.RestartHitRatio += r.RestartHitRatio / seedCount
		sum.RateLimited += r.RateLimited
		sum.Refused += r.Refused
	}
	report(b, &sum)
	b.ReportMetric(sum.OthersP99, "others-p99ms")
	b.ReportMetric(100*sum.RestartHitRatio, "halftime%")
	b.ReportMetric(float64(sum.RateLimited), "limited")
	b.ReportMetric(float64(sum.Refused), "refused")
}

// BenchmarkScale compares routing at the receiving instance with routing at the
// home instance of the prefix, at 6, 55 and 165 instances. 165 instances are a
// region of the size that the router is designed for. The benchmark leaves out
// cache events, which don't scale to that size.
func BenchmarkScale(b *testing.B) {
	local := policy{costPolicy, func(start time.Time) simulator.Router {
		cacheMap := mapper.New(scaleMapBytes, start)
		return simulator.Router{Policy: coster.New(cacheMap, calibrator.New()), CacheMap: cacheMap}
	}}
	scenario := simulator.Scenario{Name: "steady80", Load: 0.8}
	for _, instances := range []int{6, 55, 165} {
		for _, home := range []bool{false, true} {
			deployment := simulator.Scaled(instances, home)
			b.Run(deployment.Name, func(b *testing.B) {
				for b.Loop() {
					report(b, simulator.Run(deployment, scenario, local.newRouter, 1, scaleLength))
				}
			})
		}
		deployment := simulator.Scaled(instances, false)
		deployment.Name += "-bounded"
		b.Run(deployment.Name, func(b *testing.B) {
			for b.Loop() {
				report(b, simulator.Run(deployment, scenario, policies()[3].newRouter, 1, scaleLength))
			}
		})
	}
}

const (
	scaleMapBytes = 1 << 20
	scaleLength   = 32 * time.Second
)

// report reports the metrics that all routing benchmarks have in common.
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
