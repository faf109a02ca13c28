package simulator

import (
	"time"

	"wisteriadrum/cacher"
	"wisteriadrum/hasher"
	"wisteriadrum/reporter"
	"wisteriadrum/tracker"
)

// engine computes prompts one after the other and decodes in a batch, which
// slows the computing down.
type engine struct {
	world       *world
	name        string
	site        int
	room        int
	incarnation int
	down        bool
	cache       *cacher.Cache
	queue       []*job
	busy        bool
	queued      int // prompt bytes waiting
	running     int
	computed    int // prompt bytes in all
}

// job is one attempt at an engine.
type job struct {
	request *request
	seat    *seat
	track   *tracker.Track
	missing int // bytes, as admitted
	// expected is the bytes that the instance expected to be missing.
	expected int
	first    bool // the first token has come
}

const (
	// batchDrag is how much one decoding request slows the prefill.
	batchDrag = 0.01
	eventLag  = 300 * time.Millisecond
	downTime  = time.Second
)

func (e *engine) reset() {
	e.incarnation++
	e.cache = cacher.New(e.room, func(level uint64) { e.world.event(e, func(l CacheEventListener) { l.Evicted(level, e.name) }) })
}

// admit takes in a job and returns what its head says.
func (e *engine) admit(j *job) (cached, queued int) {
	depth := e.cache.Depth(j.request.chain)
	j.missing = j.request.chain.MissingBytes(depth)
	queued = e.queued
	e.queued += j.missing
	e.running++
	e.queue = append(e.queue, j)
	if !e.busy {
		e.compute()
	}
	return j.request.chain.SizeBytes() - j.missing, queued
}

// compute starts the next job in the queue.
func (e *engine) compute() {
	e.busy = len(e.queue) > 0
	if !e.busy {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	missing := j.request.chain.MissingBytes(e.cache.Depth(j.request.chain))
	drag := 1 + batchDrag*float64(e.running)
	taken := time.Duration(float64(missing*e.world.site.PrefillPerByte) * drag)
	incarnation := e.incarnation
	e.world.after(taken, func() {
		if e.incarnation == incarnation {
			e.finish(j, missing)
		}
	})
}

func (e *engine) finish(j *job, missing int) {
	e.store(j.request.chain)
	e.computed += missing
	e.queued -= j.missing
	e.world.firstToken(j)
	incarnation := e.incarnation
	e.world.after(e.world.site.TimePerToken*time.Duration(e.world.site.Tokens), func() {
		if e.incarnation == incarnation {
			e.running--
			e.world.ended(j)
		}
	})
	e.compute()
}

func (e *engine) store(chain hasher.Chain) {
	depth := e.cache.Depth(chain)
	e.cache.Add(chain)
	for _, level := range chain.Levels()[depth:] {
		e.world.event(e, func(l CacheEventListener) { l.Stored(level, e.name) })
	}
}

// crash loses the cache and all jobs; the engine is back after a while.
func (e *engine) crash(jobs []*job) {
	e.down, e.busy = true, false
	e.queue, e.queued, e.running = nil, 0, 0
	e.reset()
	e.world.clear(e)
	for _, j := range jobs {
		e.world.after(e.world.distance(j.seat.site, e.site), func() { e.world.retry(j) })
	}
	e.world.after(downTime, func() { e.down = false })
}

func (e *engine) report() reporter.Report {
	return reporter.Report{Incarnation: string(rune('a'+e.incarnation%26)) + e.name, Running: e.running, Queue: e.queued}
}
