package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/hasher"
	"wisteriadrum/limiter"
	"wisteriadrum/permuter"
	"wisteriadrum/synthesizer"
	"wisteriadrum/tenant"
	"wisteriadrum/tracker"
	"wisteriadrum/worker"
)

const (
	pollInterval  = time.Second
	reportDelay   = 200 * time.Millisecond
	localDelay    = 100 * time.Microsecond // one-way network delay within a data centre
	avoidTime     = 500 * time.Millisecond
	attemptLimit  = 8
	homeLevel     = 8                     // number of prefix pieces that select the home instance
	eventReadTime = 20 * time.Millisecond // time to read the retained events of an engine
)

// simulation is one run of a scenario with one policy.
type simulation struct {
	deployment Deployment
	scenario   Scenario
	newRouter  func(start time.Time) Router
	rand       *rand.Rand
	traffic    *synthesizer.Traffic
	now        time.Time
	start      time.Time
	end        time.Time
	events     eventQueue
	sequence   int
	instances  []*instance
	engines    []*engine
	inFlight   map[*job]*engine
	result     *Result

	workspaces    []tenant.Workspace
	engineRanking *permuter.Order // rendezvous hashing over the engines
	homeRanking   *permuter.Order // rendezvous hashing over the instances
}

// instance is a simulated router instance.
type instance struct {
	Router
	dataCentre int
	tracks     []*tracker.Track
	indexes    map[*tracker.Track]int
	ranking    *permuter.Order
	limits     *limiter.Limiter
	rand       *rand.Rand
	lostEvents int // cache events lost since the last one received
}

// request is a request in flight.
type request struct {
	workspace   int
	chain       hasher.Chain
	arrival     time.Time
	tried       []*tracker.Track
	answered    bool          // its first token was generated
	returnDelay time.Duration // from the home instance to the instance where it arrived
	queried     bool          // its load queries were sent
}

// Run simulates a deployment in a scenario for the given virtual time. It calls
// newRouter for each instance at its start and after a restart. The same seed
// gives the same traffic.
func Run(deployment Deployment, scenario Scenario, newRouter func(start time.Time) Router, seed uint64, length time.Duration) *Result {
	start := time.Unix(1_000_000, 0)
	sim := &simulation{
		deployment: deployment, scenario: scenario, newRouter: newRouter, rand: rand.New(rand.NewPCG(seed, 1)), traffic: synthesizer.New(deployment.Workload, seed),
		now: start, start: start, end: start.Add(length), inFlight: map[*job]*engine{}, result: newResult(deployment.Workload.Workspaces - 1),
	}
	sim.result.halfTime = start.Add(length / 2)
	for i := range deployment.Engines {
		e := &engine{simulation: sim, name: fmt.Sprintf("engine-%d", i), dataCentre: i % deployment.DataCentres, capacity: deployment.CachePieces}
		e.reset()
		sim.engines = append(sim.engines, e)
	}
	for i := range deployment.Instances {
		sim.instances = append(sim.instances, sim.newInstance(i))
	}
	sim.workspaces = workspaceLimits(deployment, float64(time.Second)/float64(sim.meanInterval(scenario.Load)))
	homeTracks := make([]*tracker.Track, deployment.Instances)
	for i := range homeTracks {
		homeTracks[i] = tracker.New(worker.Endpoint{Name: fmt.Sprint("instance-", i)}, true)
	}
	sim.homeRanking = permuter.New(trackHashes(homeTracks))
	sim.schedule()
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(timedEvent)
		sim.now = next.at
		next.run()
	}
	sim.result.finish(sim)
	return sim.result
}

func (sim *simulation) newInstance(i int) *instance {
	inst := &instance{Router: sim.newRouter(sim.now), dataCentre: i % sim.deployment.DataCentres, rand: rand.New(rand.NewPCG(sim.rand.Uint64(), uint64(i)))}
	inst.indexes = make(map[*tracker.Track]int, len(sim.engines))
	for i, e := range sim.engines {
		inst.tracks = append(inst.tracks, tracker.New(worker.Endpoint{Name: e.name}, e.dataCentre == inst.dataCentre))
		inst.indexes[inst.tracks[i]] = i
	}
	if sim.engineRanking == nil {
		sim.engineRanking = permuter.New(trackHashes(inst.tracks))
	}
	inst.ranking = sim.engineRanking
	inst.limits = limiter.New(1 << 20)
	inst.limits.SetInstances(sim.deployment.Instances)
	return inst
}

func trackHashes(tracks []*tracker.Track) []uint64 {
	list := make([]uint64, len(tracks))
	for i, track := range tracks {
		list[i] = track.Hash
	}
	return list
}

func (sim *simulation) route(inst *instance, r *request) {
	if len(r.tried) >= attemptLimit {
		sim.result.refusedCount++
		return
	}
	query := chooser.Query{
		Order: inst.ranking, Chain: r.chain, Now: sim.now, Rand: inst.rand, PrefillNanosPerByte: sim.deployment.PrefillNanosPerByte, Objective: sim.deployment.Objective,
		Excluded: func(track *tracker.Track) bool { return sim.excluded(inst, r, track) },
	}
	if sim.queryLoads(inst, r, query) {
		return
	}
	choice := inst.Policy.Choose(query, inst.tracks)
	if choice.Track == nil {
		query.IgnoreBackoff = true
		choice = inst.Policy.Choose(query, inst.tracks)
	}
	if choice.Track == nil {
		sim.result.refusedCount++
		return
	}
	e := sim.engineFor(inst, choice.Track)
	expected := r.chain.MissingBytes(min(choice.CachedLevels, r.chain.Depth()))
	choice.Track.Begin(expected)
	sim.after(sim.delay(inst.dataCentre, e.dataCentre), func() { sim.deliver(inst, r, e, choice, expected) })
}

// queryLoads queries the current loads of the policy's shortlist, at most once
// for a request, and routes the request when all have been received. It reports
// whether it sent any query.
func (sim *simulation) queryLoads(inst *instance, r *request, query chooser.Query) bool {
	lister, ok := inst.Policy.(chooser.Shortlister)
	if !ok || r.queried {
		return false
	}
	r.queried = true
	list := lister.Shortlist(query, inst.tracks)
	maxDelay := time.Duration(0)
	for _, track := range list {
		e := sim.engineFor(inst, track)
		oneWay := sim.delay(inst.dataCentre, e.dataCentre)
		maxDelay = max(maxDelay, oneWay)
		sim.result.loadQueries++
		sim.after(oneWay, func() {
			report, sampledAt := e.report(), sim.now
			sim.after(oneWay, func() { track.ApplyReport(report, sampledAt, inst.newSlot()) })
		})
	}
	if len(list) > 0 {
		sim.after(2*maxDelay+1, func() { sim.route(inst, r) })
	}
	return len(list) > 0
}

// excluded reports whether an endpoint was tried before or is on the other side
// of a partition.
func (sim *simulation) excluded(inst *instance, r *request, track *tracker.Track) bool {
	for _, tried := range r.tried {
		if tried == track {
			return true
		}
	}
	return sim.isPartitioned() && (inst.dataCentre == 0) != (sim.engineFor(inst, track).dataCentre == 0)
}

func (sim *simulation) isPartitioned() bool {
	return sim.scenario.Partition && sim.now.Sub(sim.start) > sim.end.Sub(sim.start)/2
}

func (sim *simulation) deliver(inst *instance, r *request, e *engine, choice chooser.Choice, expected int) {
	track := choice.Track
	if e.down {
		track.FirstToken(expected)
		track.End()
		sim.after(sim.delay(inst.dataCentre, e.dataCentre), func() {
			track.AvoidUntil(sim.now.Add(avoidTime))
			r.tried = append(r.tried, track)
			sim.route(inst, r)
		})
		return
	}
	sim.countDuplicatePrefill(r, e)
	j := &job{request: r, instance: inst, track: track, expectedMissing: expected}
	sim.inFlight[j] = e
	cached, queued := e.admit(j)
	sim.result.recordAdmission(sim.now, r.chain.SizeBytes(), cached)
	report := e.report()
	sim.after(sim.delay(inst.dataCentre, e.dataCentre), func() {
		sim.recordAnswer(inst, r, track, report.Incarnation, queued+r.chain.SizeBytes()-cached)
		if choice.OnCached != nil {
			choice.OnCached(r.chain.Depth() * cached / r.chain.SizeBytes())
		}
	})
}

// recordAnswer applies the response headers to the state of an instance.
func (sim *simulation) recordAnswer(inst *instance, r *request, track *tracker.Track, incarnation string, queued int) {
	if inst.CacheMap == nil {
		track.ApplyAnswer(incarnation, "", queued, sim.now, inst.newSlot())
		return
	}
	track.ApplyAnswer(incarnation, "", queued, sim.now, inst.CacheMap.NewSlot)
	for _, level := range r.chain.Levels() {
		inst.CacheMap.Add(level, track.View().Slot, sim.now)
	}
}

// countDuplicatePrefill counts the prompt bytes that an engine computes although
// another reachable engine has them cached.
func (sim *simulation) countDuplicatePrefill(r *request, at *engine) {
	maxDepth := 0
	for _, e := range sim.engines {
		reachable := !sim.isPartitioned() || (e.dataCentre == 0) == (at.dataCentre == 0)
		if !e.down && reachable {
			maxDepth = max(maxDepth, e.cache.Depth(r.chain))
		}
	}
	sim.result.duplicateBytes += r.chain.MissingBytes(at.cache.Depth(r.chain)) - r.chain.MissingBytes(maxDepth)
}

func (sim *simulation) firstToken(j *job) {
	oneWay := sim.delay(j.instance.dataCentre, sim.inFlight[j].dataCentre)
	j.answered = true
	sim.after(oneWay, func() { j.track.FirstToken(j.expectedMissing) })
	if !j.request.answered {
		j.request.answered = true
		sim.result.recordFirstToken(j.request, sim.now.Add(oneWay+j.request.returnDelay).Sub(j.request.arrival))
	}
}

func (sim *simulation) finished(j *job) {
	sim.after(sim.delay(j.instance.dataCentre, sim.inFlight[j].dataCentre), j.track.End)
	delete(sim.inFlight, j)
}

// retry routes a request again after its engine crashed.
func (sim *simulation) retry(j *job) {
	j.track.AvoidUntil(sim.now.Add(avoidTime))
	j.track.End()
	if !j.answered {
		j.track.FirstToken(j.expectedMissing)
	}
	j.request.tried = append(j.request.tried, j.track)
	delete(sim.inFlight, j)
	sim.route(j.instance, j.request)
}

func (sim *simulation) engineFor(inst *instance, track *tracker.Track) *engine {
	return sim.engines[inst.indexes[track]]
}

func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return sim.deployment.OneWayDelay
}
