package simulator

import (
	"time"

	"wisteriadrum/cacher"
	"wisteriadrum/hasher"
	"wisteriadrum/reporter"
	"wisteriadrum/tracker"
)

// engine models an engine that prefills prompts sequentially and decodes in a
// batch. Every running request slows the prefill down.
type engine struct {
	simulation    *simulation
	name          string
	dataCentre    int
	capacity      int
	incarnation   int
	down          bool
	cache         *cacher.Cache
	queue         []*job
	busy          bool
	queuedBytes   int // prompt bytes that wait for prefill
	running       int
	computedBytes int // prompt bytes prefilled since the start
}

// job is one attempt of a request at an engine.
type job struct {
	request      *request
	instance     *instance
	track        *tracker.Track
	missingBytes int // prompt bytes not cached at admission
	// expectedMissing is the number of prompt bytes that the instance assumed not
	// to be cached.
	expectedMissing int
	answered        bool // the first token was generated
}

const (
	// slowdownPerRequest is the relative slowdown of the prefill by each running
	// request.
	slowdownPerRequest = 0.01
	eventDelay         = 300 * time.Millisecond
	restartTime        = time.Second
)

func (e *engine) reset() {
	e.incarnation++
	e.cache = cacher.New(e.capacity, func(level uint64) {
		e.simulation.publishEvent(e, func(l CacheEventListener) { l.Evicted(level, e.name) })
	})
}

// admit queues a job. It returns the values of the response headers: the cached
// prompt bytes and the prompt bytes queued before the job.
func (e *engine) admit(j *job) (cached, queued int) {
	depth := e.cache.Depth(j.request.chain)
	j.missingBytes = j.request.chain.MissingBytes(depth)
	queued = e.queuedBytes
	e.queuedBytes += j.missingBytes
	e.running++
	e.queue = append(e.queue, j)
	if !e.busy {
		e.compute()
	}
	return j.request.chain.SizeBytes() - j.missingBytes, queued
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
	slowdown := 1 + slowdownPerRequest*float64(e.running)
	duration := time.Duration(float64(missing*e.simulation.deployment.PrefillNanosPerByte) * slowdown)
	incarnation := e.incarnation
	e.simulation.after(duration, func() {
		if e.incarnation == incarnation {
			e.finish(j, missing)
		}
	})
}

func (e *engine) finish(j *job, missing int) {
	e.addToCache(j.request.chain)
	e.computedBytes += missing
	e.queuedBytes -= j.missingBytes
	e.simulation.firstToken(j)
	incarnation := e.incarnation
	e.simulation.after(e.simulation.deployment.TimePerToken*time.Duration(e.simulation.deployment.Tokens), func() {
		if e.incarnation == incarnation {
			e.running--
			e.simulation.finished(j)
		}
	})
	e.compute()
}

func (e *engine) addToCache(chain hasher.Chain) {
	depth := e.cache.Depth(chain)
	e.cache.Add(chain)
	for _, level := range chain.Levels()[depth:] {
		e.simulation.publishEvent(e, func(l CacheEventListener) { l.Stored(level, e.name) })
	}
}

// crash clears the cache and fails all jobs. The engine is up again after
// restartTime.
func (e *engine) crash(jobs []*job) {
	e.down, e.busy = true, false
	e.queue, e.queuedBytes, e.running = nil, 0, 0
	e.reset()
	e.simulation.publishCleared(e)
	for _, j := range jobs {
		e.simulation.after(e.simulation.delay(j.instance.dataCentre, e.dataCentre), func() { e.simulation.retry(j) })
	}
	e.simulation.after(restartTime, func() { e.down = false })
}

func (e *engine) report() reporter.Report {
	return reporter.Report{Incarnation: string(rune('a'+e.incarnation%26)) + e.name, Running: e.running, Queue: e.queuedBytes}
}
