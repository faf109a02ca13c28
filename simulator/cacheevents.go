package simulator

import (
	"time"

	"wisteriadrum/mapper"
	"wisteriadrum/tracker"
)

// poll delivers load reports to an instance after a delay and schedules its next
// poll.
func (sim *simulation) poll(i int) {
	if sim.now.After(sim.end) {
		return
	}
	inst := sim.instances[i]
	for _, k := range sim.polledEngines() {
		e := sim.engines[k]
		if e.down || sim.isPartitioned() && (inst.dataCentre == 0) != (e.dataCentre == 0) {
			continue
		}
		report, sampledAt, track := e.report(), sim.now, inst.tracks[k]
		sim.after(reportDelay, func() { track.ApplyReport(report, sampledAt, inst.newSlot()) })
	}
	sim.after(pollInterval/2+time.Duration(sim.rand.Int64N(int64(pollInterval))), func() { sim.poll(i) })
}

// polledEngines returns the indexes of the engines whose load an instance
// receives in one poll, in random order.
func (sim *simulation) polledEngines() []int {
	order := sim.rand.Perm(len(sim.engines))
	if sim.deployment.ReportsPerSecond > 0 {
		order = order[:min(sim.deployment.ReportsPerSecond, len(order))]
	}
	return order
}

func (inst *instance) newSlot() func(*tracker.Track) uint16 {
	if inst.CacheMap == nil {
		return func(*tracker.Track) uint16 { return 1 }
	}
	return inst.CacheMap.NewSlot
}

// publishEvent delivers a cache event to all instances after a delay. It drops
// events at the scenario's loss rate.
func (sim *simulation) publishEvent(e *engine, deliver func(CacheEventListener)) {
	for _, inst := range sim.instances {
		listener := sim.listener(inst, e)
		if listener == nil {
			continue
		}
		if sim.rand.Float64() < sim.scenario.EventLoss {
			inst.lostEvents++
			continue
		}
		sim.after(eventDelay, func() {
			if inst.EventsToCacheMap {
				inst.CacheMap.RecordEvents(1, inst.lostEvents)
				inst.lostEvents = 0
			}
			deliver(listener)
		})
	}
}

func (sim *simulation) listener(inst *instance, e *engine) CacheEventListener {
	if !inst.EventsToCacheMap {
		return inst.Events
	}
	for i, other := range sim.engines {
		if other == e {
			return eventRecorder{simulation: sim, cacheMap: inst.CacheMap, track: inst.tracks[i]}
		}
	}
	return nil
}

// readCacheContents delivers the events that the engines retain to a restarted
// instance. They cover the whole contents of the caches.
func (sim *simulation) readCacheContents(inst *instance) {
	if !inst.EventsToCacheMap {
		return
	}
	for i, e := range sim.engines {
		sim.after(2*sim.delay(inst.dataCentre, e.dataCentre)+eventReadTime, func() {
			levels := e.cache.Levels()
			inst.tracks[i].ApplyReport(e.report(), sim.now, inst.newSlot())
			inst.CacheMap.RecordEvents(len(levels), 0)
			for _, level := range levels {
				inst.CacheMap.Add(level, inst.tracks[i].View().Slot, sim.now)
			}
		})
	}
}

// eventRecorder applies the cache events of one endpoint to a cache map.
type eventRecorder struct {
	simulation *simulation
	cacheMap   *mapper.Map
	track      *tracker.Track
}

func (r eventRecorder) Stored(level uint64, _ string) {
	r.cacheMap.Add(level, r.track.View().Slot, r.simulation.now)
}

func (r eventRecorder) Evicted(level uint64, _ string) { r.cacheMap.Remove(level, r.track.View().Slot) }

// Cleared does nothing, because a new incarnation gets a new slot in the map.
func (r eventRecorder) Cleared(string) {}

func (sim *simulation) publishCleared(e *engine) {
	for _, inst := range sim.instances {
		if inst.Events != nil {
			sim.after(eventDelay, func() { inst.Events.Cleared(e.name) })
		}
	}
}

func (sim *simulation) crashNext(i int) {
	sim.after(sim.scenario.CrashInterval, func() {
		if sim.now.After(sim.end) {
			return
		}
		sim.crash(sim.engines[i%len(sim.engines)])
		sim.crashNext(i + 3)
	})
}

// rollout restarts the engines one after another, starting with engine i.
func (sim *simulation) rollout(i int) {
	if i == len(sim.engines) {
		return
	}
	sim.crash(sim.engines[i])
	sim.after(restartTime, func() { sim.rollout(i + 1) })
}

func (sim *simulation) crash(e *engine) {
	var jobs []*job
	for j, at := range sim.inFlight {
		if at == e {
			jobs = append(jobs, j)
		}
	}
	e.crash(sortByArrival(jobs))
}
