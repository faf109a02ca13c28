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
	pollEvery = time.Second
	pollLag   = 200 * time.Millisecond
	nearTime  = 100 * time.Microsecond // one way within a data centre
	shunTime  = 500 * time.Millisecond
	maxTries  = 8
	homeLevel = 8                     // pieces of the prefix that decides on the home
	readTime  = 20 * time.Millisecond // to read the kept events of an engine
)

// world is one run of a scene with one policy.
type world struct {
	site    Deployment
	scene   Scenario
	mind    func(start time.Time) Router
	rand    *rand.Rand
	traffic *synthesizer.Traffic
	now     time.Time
	start   time.Time
	end     time.Time
	events  schedule
	order   int
	seats   []*seat
	engines []*engine
	live    map[*job]*engine
	result  *Result

	workspaces []tenant.Workspace
	ranked     *permuter.Order // the engines
	homes      *permuter.Order // the instances
}

// seat is one instance.
type seat struct {
	Router
	site   int
	tracks []*tracker.Track
	places map[*tracker.Track]int
	order  *permuter.Order
	limits *limiter.Limiter
	rand   *rand.Rand
	missed int // cache events since the last that arrived
}

// request is one caller's request on its way.
type request struct {
	workspace int
	chain     hasher.Chain
	at        time.Time
	tries     []*tracker.Track
	answered  bool          // its first token has come
	back      time.Duration // from its home to where it arrived
	asked     bool          // fresh loads were asked for
}

// Run measures one policy: mind makes one for each instance, and again after
// a restart. The traffic is the same for the same seed.
func Run(site Deployment, scene Scenario, mind func(start time.Time) Router, seed uint64, length time.Duration) *Result {
	start := time.Unix(1_000_000, 0)
	w := &world{
		site: site, scene: scene, mind: mind, rand: rand.New(rand.NewPCG(seed, 1)), traffic: synthesizer.New(site.Shape, seed),
		now: start, start: start, end: start.Add(length), live: map[*job]*engine{}, result: newResult(site.Shape.Workspaces - 1),
	}
	w.result.half = start.Add(length / 2)
	for i := range site.Engines {
		e := &engine{world: w, name: fmt.Sprintf("engine-%d", i), site: i % site.DataCentres, room: site.Pieces}
		e.reset()
		w.engines = append(w.engines, e)
	}
	for i := range site.Instances {
		w.seats = append(w.seats, w.seatOf(i))
	}
	w.workspaces = limitsOf(site, float64(time.Second)/float64(w.rate(scene.Load)))
	names := make([]*tracker.Track, site.Instances)
	for i := range names {
		names[i] = tracker.New(worker.Endpoint{Name: fmt.Sprint("instance-", i)}, true)
	}
	w.homes = permuter.New(hashes(names))
	w.plan()
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.result.close(w)
	return w.result
}

func (w *world) seatOf(i int) *seat {
	s := &seat{Router: w.mind(w.now), site: i % w.site.DataCentres, rand: rand.New(rand.NewPCG(w.rand.Uint64(), uint64(i)))}
	s.places = make(map[*tracker.Track]int, len(w.engines))
	for i, e := range w.engines {
		s.tracks = append(s.tracks, tracker.New(worker.Endpoint{Name: e.name}, e.site == s.site))
		s.places[s.tracks[i]] = i
	}
	if w.ranked == nil {
		w.ranked = permuter.New(hashes(s.tracks))
	}
	s.order = w.ranked
	s.limits = limiter.New(1 << 20)
	s.limits.SetInstances(w.site.Instances)
	return s
}

func hashes(tracks []*tracker.Track) []uint64 {
	list := make([]uint64, len(tracks))
	for i, track := range tracks {
		list[i] = track.Hash
	}
	return list
}

func (w *world) route(s *seat, r *request) {
	if len(r.tries) >= maxTries {
		w.result.refused++
		return
	}
	query := chooser.Query{
		Order: s.order, Chain: r.chain, Now: w.now, Rand: s.rand, PrefillNanosPerByte: w.site.PrefillPerByte, Objective: w.site.Weigh,
		Excluded: func(track *tracker.Track) bool { return w.barred(s, r, track) },
	}
	if w.ask(s, r, query) {
		return
	}
	choice := s.Policy.Choose(query, s.tracks)
	if choice.Track == nil {
		query.IgnoreBackoff = true
		choice = s.Policy.Choose(query, s.tracks)
	}
	if choice.Track == nil {
		w.result.refused++
		return
	}
	e := w.engineOf(s, choice.Track)
	expected := r.chain.MissingBytes(min(choice.CachedLevels, r.chain.Depth()))
	choice.Track.Begin(expected)
	w.after(w.distance(s.site, e.site), func() { w.deliver(s, r, e, choice, expected) })
}

// ask gets fresh loads where the policy wants them, once for a request, and
// goes on when they have come. It reports whether it does.
func (w *world) ask(s *seat, r *request, query chooser.Query) bool {
	lister, ok := s.Policy.(chooser.Shortlister)
	if !ok || r.asked {
		return false
	}
	r.asked = true
	list := lister.Shortlist(query, s.tracks)
	farthest := time.Duration(0)
	for _, track := range list {
		e := w.engineOf(s, track)
		way := w.distance(s.site, e.site)
		farthest = max(farthest, way)
		w.result.asked++
		w.after(way, func() {
			report, taken := e.report(), w.now
			w.after(way, func() { track.ApplyReport(report, taken, s.slot()) })
		})
	}
	if len(list) > 0 {
		w.after(2*farthest+1, func() { w.route(s, r) })
	}
	return len(list) > 0
}

// barred keeps away from endpoints tried before and beyond a cut.
func (w *world) barred(s *seat, r *request, track *tracker.Track) bool {
	for _, tried := range r.tries {
		if tried == track {
			return true
		}
	}
	return w.isCut() && (s.site == 0) != (w.engineOf(s, track).site == 0)
}

func (w *world) isCut() bool {
	return w.scene.Partition && w.now.Sub(w.start) > w.end.Sub(w.start)/2
}

func (w *world) deliver(s *seat, r *request, e *engine, choice chooser.Choice, expected int) {
	track := choice.Track
	if e.down {
		track.FirstToken(expected)
		track.End()
		w.after(w.distance(s.site, e.site), func() {
			track.AvoidUntil(w.now.Add(shunTime))
			r.tries = append(r.tries, track)
			w.route(s, r)
		})
		return
	}
	w.waste(r, e)
	j := &job{request: r, seat: s, track: track, expected: expected}
	w.live[j] = e
	cached, queued := e.admit(j)
	w.result.admitted(w.now, r.chain.SizeBytes(), cached)
	report := e.report()
	w.after(w.distance(s.site, e.site), func() {
		w.hear(s, r, track, report.Incarnation, queued+r.chain.SizeBytes()-cached)
		if choice.OnCached != nil {
			choice.OnCached(r.chain.Depth() * cached / r.chain.SizeBytes())
		}
	})
}

// hear lets an instance learn from the head of an answer.
func (w *world) hear(s *seat, r *request, track *tracker.Track, incarnation string, queued int) {
	if s.Holders == nil {
		track.ApplyAnswer(incarnation, "", queued, w.now, s.slot())
		return
	}
	track.ApplyAnswer(incarnation, "", queued, w.now, s.Holders.NewSlot)
	for _, level := range r.chain.Levels() {
		s.Holders.Add(level, track.View().Slot, w.now)
	}
}

// waste counts what is computed although another engine holds it.
func (w *world) waste(r *request, at *engine) {
	best := 0
	for _, e := range w.engines {
		reachable := !w.isCut() || (e.site == 0) == (at.site == 0)
		if !e.down && reachable {
			best = max(best, e.cache.Depth(r.chain))
		}
	}
	w.result.wasted += r.chain.MissingBytes(at.cache.Depth(r.chain)) - r.chain.MissingBytes(best)
}

func (w *world) firstToken(j *job) {
	way := w.distance(j.seat.site, w.live[j].site)
	j.first = true
	w.after(way, func() { j.track.FirstToken(j.expected) })
	if !j.request.answered {
		j.request.answered = true
		w.result.first(j.request, w.now.Add(way+j.request.back).Sub(j.request.at))
	}
}

func (w *world) ended(j *job) {
	w.after(w.distance(j.seat.site, w.live[j].site), j.track.End)
	delete(w.live, j)
}

// retry sends a request that was lost in a crash to another engine.
func (w *world) retry(j *job) {
	j.track.AvoidUntil(w.now.Add(shunTime))
	j.track.End()
	if !j.first {
		j.track.FirstToken(j.expected)
	}
	j.request.tries = append(j.request.tries, j.track)
	delete(w.live, j)
	w.route(j.seat, j.request)
}

func (w *world) engineOf(s *seat, track *tracker.Track) *engine {
	return w.engines[s.places[track]]
}

func (w *world) distance(a, b int) time.Duration {
	if a == b {
		return nearTime
	}
	return w.site.OneWayDelay
}
