package simulator

import (
	"fmt"
	"time"

	"wisteriadrum/hasher"
	"wisteriadrum/synthesizer"
	"wisteriadrum/tenant"
)

// schedule schedules the arrivals, the polls and the scenario's changes.
func (sim *simulation) schedule() {
	half := sim.end.Sub(sim.start) / 2
	sim.scheduleArrivals(sim.meanInterval(sim.scenario.Load), func() synthesizer.Request { return sim.traffic.Next() }, sim.start)
	for i := range sim.instances {
		sim.poll(i)
	}
	sim.after(half, func() {
		if sim.scenario.ShiftPopularity {
			sim.traffic.ShiftPopularity()
		}
		if sim.scenario.FloodLoad > 0 {
			sim.scheduleArrivals(sim.meanInterval(sim.scenario.FloodLoad), func() synthesizer.Request { return sim.traffic.NextOf(sim.deployment.Workload.Workspaces - 1) }, sim.now)
		}
		if sim.scenario.RestartAll {
			for i := range sim.instances {
				sim.instances[i] = sim.newInstance(i)
				sim.readCacheContents(sim.instances[i])
			}
		}
		if sim.scenario.Rollout {
			sim.rollout(0)
		}
	})
	if sim.scenario.CrashInterval > 0 {
		sim.crashNext(0)
	}
}

// meanInterval returns the mean time between requests for the given share of
// full load. Full load keeps all engines busy with prefill at the assumed hit
// rate.
func (sim *simulation) meanInterval(load float64) time.Duration {
	workload := sim.deployment.Workload
	size := float64(workload.PreambleBytes + workload.DocumentBytes + workload.SectionBytes + workload.QuestionBytes)
	prefillNanos := size * (1 - sim.deployment.AssumedHitRate) * float64(sim.deployment.PrefillNanosPerByte)
	return time.Duration(prefillNanos / float64(sim.deployment.Engines) / load)
}

func (sim *simulation) scheduleArrivals(mean time.Duration, next func() synthesizer.Request, from time.Time) {
	arrival := from.Add(time.Duration(sim.rand.ExpFloat64() * float64(mean)))
	if arrival.After(sim.end) {
		return
	}
	sim.at(arrival, func() {
		generated := next()
		r := &request{workspace: generated.Workspace, chain: prefixChain(generated), arrival: sim.now}
		inst := sim.instances[sim.rand.IntN(len(sim.instances))]
		if sim.admit(inst, generated.Workspace) {
			sim.dispatch(inst, r)
		}
		sim.scheduleArrivals(mean, next, sim.now)
	})
}

// dispatch routes a request at the instance where it arrived, or forwards it to
// the home instance of its prefix.
func (sim *simulation) dispatch(inst *instance, r *request) {
	home := sim.home(r)
	if home == nil || home == inst {
		sim.route(inst, r)
		return
	}
	oneWay := sim.delay(inst.dataCentre, home.dataCentre)
	r.returnDelay = oneWay
	sim.after(oneWay, func() { sim.route(home, r) })
}

// home returns the home instance of the request's prefix, or nil if the
// deployment does not route through home instances or the prompt is shorter than
// a piece.
func (sim *simulation) home(r *request) *instance {
	if !sim.deployment.ViaHome || r.chain.Depth() == 0 {
		return nil
	}
	key := r.chain.Level(min(homeLevel, r.chain.Depth()) - 1)
	return sim.instances[sim.homeRanking.First(key)[0]]
}

// admit applies the rate limits of the workspaces, in scenarios with a flood.
func (sim *simulation) admit(inst *instance, workspace int) bool {
	if sim.scenario.FloodLoad == 0 {
		return true
	}
	release, err := inst.limits.Admit(sim.workspaces[workspace], sim.now)
	if err != nil {
		sim.result.limitedCount++
		return false
	}
	release()
	return true
}

// workspaceLimits returns workspaces with a rate limit of twice their usual
// rate, which is estimated from a sample of the traffic.
func workspaceLimits(deployment Deployment, perSecond float64) []tenant.Workspace {
	const sample = 20000
	traffic := synthesizer.New(deployment.Workload, sample)
	list := make([]tenant.Workspace, deployment.Workload.Workspaces)
	for range sample {
		list[traffic.Next().Workspace].Rate += 2 * perSecond / sample
	}
	for i := range list {
		list[i].Name = fmt.Sprint("workspace-", i)
		list[i].Burst = int(list[i].Rate/float64(deployment.Instances)) + 1
	}
	return list
}

// prefixChain returns a hash chain for the request's prompt that depends only on
// the names of its segments, which is faster than hashing the text.
func prefixChain(generated synthesizer.Request) hasher.Chain {
	const piece = 4000 // bytes
	var levels []uint64
	for _, segment := range generated.Segments {
		hash := hasher.New(segment.Name, "", "", "x", 1).Level(0)
		for i := range segment.Bytes / piece {
			levels = append(levels, hash+uint64(i))
		}
	}
	return hasher.FromLevels(levels, piece, generated.Size())
}
