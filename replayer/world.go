package replayer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/composer"
	"wisteriadrum/hasher"
	"wisteriadrum/limiter"
	"wisteriadrum/mapper"
	"wisteriadrum/permuter"
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
	site    Site
	scene   Scene
	mind    func(start time.Time) Mind
	rand    *rand.Rand
	traffic *composer.Traffic
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
	Mind
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
func Run(site Site, scene Scene, mind func(start time.Time) Mind, seed uint64, length time.Duration) *Result {
	start := time.Unix(1_000_000, 0)
	w := &world{
		site: site, scene: scene, mind: mind, rand: rand.New(rand.NewPCG(seed, 1)), traffic: composer.New(site.Shape, seed),
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
	s := &seat{Mind: w.mind(w.now), site: i % w.site.DataCentres, rand: rand.New(rand.NewPCG(w.rand.Uint64(), uint64(i)))}
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
	s.limits.Share(w.site.Instances)
	return s
}

func hashes(tracks []*tracker.Track) []uint64 {
	list := make([]uint64, len(tracks))
	for i, track := range tracks {
		list[i] = track.Hash
	}
	return list
}

// plan schedules the arrivals and what the scene brings.
func (w *world) plan() {
	half := w.end.Sub(w.start) / 2
	w.arrive(w.rate(w.scene.Load), func() composer.Item { return w.traffic.Next() }, w.start)
	for i := range w.seats {
		w.poll(i)
	}
	w.after(half, func() {
		if w.scene.Shift {
			w.traffic.Shift()
		}
		if w.scene.Flood > 0 {
			w.arrive(w.rate(w.scene.Flood), func() composer.Item { return w.traffic.Of(w.site.Shape.Workspaces - 1) }, w.now)
		}
		if w.scene.Herd {
			for i := range w.seats {
				w.seats[i] = w.seatOf(i)
				w.catchUp(w.seats[i])
			}
		}
		if w.scene.Rollout {
			w.rollout(0)
		}
	})
	if w.scene.Crash > 0 {
		w.crashes(0)
	}
}

// rate returns the mean time between requests at a share of full load.
func (w *world) rate(load float64) time.Duration {
	shape := w.site.Shape
	size := float64(shape.Preamble + shape.Document + shape.Section + shape.Question)
	each := size * (1 - w.site.Hit) * float64(w.site.PerByte)
	return time.Duration(each / float64(w.site.Engines) / load)
}

func (w *world) arrive(mean time.Duration, next func() composer.Item, from time.Time) {
	at := from.Add(time.Duration(w.rand.ExpFloat64() * float64(mean)))
	if at.After(w.end) {
		return
	}
	w.at(at, func() {
		item := next()
		r := &request{workspace: item.Workspace, chain: chain(item), at: w.now}
		s := w.seats[w.rand.IntN(len(w.seats))]
		if w.admit(s, item.Workspace) {
			w.enter(s, r)
		}
		w.arrive(mean, next, w.now)
	})
}

// enter routes a request where it arrived, or at the home of its prefix.
func (w *world) enter(s *seat, r *request) {
	home := w.home(r)
	if home == nil || home == s {
		w.route(s, r)
		return
	}
	way := w.distance(s.site, home.site)
	r.back = way
	w.after(way, func() { w.route(home, r) })
}

// home returns the instance that the prefix of the request belongs to.
func (w *world) home(r *request) *seat {
	if !w.site.Home || r.chain.Depth() == 0 {
		return nil
	}
	key := r.chain.Level(min(homeLevel, r.chain.Depth()) - 1)
	return w.seats[w.homes.First(key)[0]]
}

// admit applies the limits of a flooded scene.
func (w *world) admit(s *seat, workspace int) bool {
	if w.scene.Flood == 0 {
		return true
	}
	release, err := s.limits.Admit(w.workspaces[workspace], w.now)
	if err != nil {
		w.result.limited++
		return false
	}
	release()
	return true
}

// limitsOf gives each workspace a limit of twice its usual rate, which is
// counted from a sample of the traffic.
func limitsOf(site Site, perSecond float64) []tenant.Workspace {
	const sample = 20000
	traffic := composer.New(site.Shape, sample)
	list := make([]tenant.Workspace, site.Shape.Workspaces)
	for range sample {
		list[traffic.Next().Workspace].Rate += 2 * perSecond / sample
	}
	for i := range list {
		list[i].Name = fmt.Sprint("workspace-", i)
		list[i].Burst = int(list[i].Rate/float64(site.Instances)) + 1
	}
	return list
}

// chain names the pieces of an item without making its text.
func chain(item composer.Item) hasher.Chain {
	const piece = 4000 // bytes
	var levels []uint64
	for _, level := range item.Levels {
		name := hasher.New(level.Name, "", "", "x", 1).Level(0)
		for i := range level.Bytes / piece {
			levels = append(levels, name+uint64(i))
		}
	}
	return hasher.Of(levels, piece, item.Size())
}

func (w *world) route(s *seat, r *request) {
	if len(r.tries) >= maxTries {
		w.result.refused++
		return
	}
	query := chooser.Query{
		Order: s.order, Chain: r.chain, Now: w.now, Rand: s.rand, PerByte: w.site.PerByte, Weigh: w.site.Weigh,
		Barred: func(track *tracker.Track) bool { return w.barred(s, r, track) },
	}
	if w.ask(s, r, query) {
		return
	}
	choice := s.Policy.Choose(query, s.tracks)
	if choice.Track == nil {
		query.Desperate = true
		choice = s.Policy.Choose(query, s.tracks)
	}
	if choice.Track == nil {
		w.result.refused++
		return
	}
	e := w.engineOf(s, choice.Track)
	expected := r.chain.Missing(min(choice.Depth, r.chain.Depth()))
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
			w.after(way, func() { track.Report(report, taken, s.slot()) })
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
	return w.scene.Cut && w.now.Sub(w.start) > w.end.Sub(w.start)/2
}

func (w *world) deliver(s *seat, r *request, e *engine, choice chooser.Choice, expected int) {
	track := choice.Track
	if e.down {
		track.First(expected)
		track.End()
		w.after(w.distance(s.site, e.site), func() {
			track.Shun(w.now.Add(shunTime))
			r.tries = append(r.tries, track)
			w.route(s, r)
		})
		return
	}
	w.waste(r, e)
	j := &job{request: r, seat: s, track: track, expected: expected}
	w.live[j] = e
	cached, queued := e.admit(j)
	w.result.admitted(w.now, r.chain.Size(), cached)
	report := e.report()
	w.after(w.distance(s.site, e.site), func() {
		w.hear(s, r, track, report.Incarnation, queued+r.chain.Size()-cached)
		if choice.Learn != nil {
			choice.Learn(r.chain.Depth() * cached / r.chain.Size())
		}
	})
}

// hear lets an instance learn from the head of an answer.
func (w *world) hear(s *seat, r *request, track *tracker.Track, incarnation string, queued int) {
	if s.Holders == nil {
		track.Answer(incarnation, "", queued, w.now, s.slot())
		return
	}
	track.Answer(incarnation, "", queued, w.now, s.Holders.Slot)
	for _, level := range r.chain.Levels() {
		s.Holders.Note(level, track.View().Slot, w.now)
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
	w.result.wasted += r.chain.Missing(at.cache.Depth(r.chain)) - r.chain.Missing(best)
}

func (w *world) firstToken(j *job) {
	way := w.distance(j.seat.site, w.live[j].site)
	j.first = true
	w.after(way, func() { j.track.First(j.expected) })
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
	j.track.Shun(w.now.Add(shunTime))
	j.track.End()
	if !j.first {
		j.track.First(j.expected)
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
	return w.site.Distance
}

// poll brings an instance the load reports, late.
func (w *world) poll(i int) {
	if w.now.After(w.end) {
		return
	}
	s := w.seats[i]
	for _, k := range w.heardOf() {
		e := w.engines[k]
		if e.down || w.isCut() && (s.site == 0) != (e.site == 0) {
			continue
		}
		report, taken, track := e.report(), w.now, s.tracks[k]
		w.after(pollLag, func() { track.Report(report, taken, s.slot()) })
	}
	w.after(pollEvery/2+time.Duration(w.rand.Int64N(int64(pollEvery))), func() { w.poll(i) })
}

// heardOf returns the engines whose load an instance hears of this time.
func (w *world) heardOf() []int {
	order := w.rand.Perm(len(w.engines))
	if w.site.Reports > 0 {
		order = order[:min(w.site.Reports, len(order))]
	}
	return order
}

func (s *seat) slot() func(*tracker.Track) uint16 {
	if s.Holders == nil {
		return func(*tracker.Track) uint16 { return 1 }
	}
	return s.Holders.Slot
}

// event tells the instances of a cache event, late and with gaps.
func (w *world) event(e *engine, tell func(Listener)) {
	for _, s := range w.seats {
		listener := w.listener(s, e)
		if listener == nil {
			continue
		}
		if w.rand.Float64() < w.scene.Loss {
			s.missed++
			continue
		}
		w.after(eventLag, func() {
			if s.Heeds {
				s.Holders.Heard(1, s.missed)
				s.missed = 0
			}
			tell(listener)
		})
	}
}

func (w *world) listener(s *seat, e *engine) Listener {
	if !s.Heeds {
		return s.Events
	}
	for i, other := range w.engines {
		if other == e {
			return heeder{world: w, holders: s.Holders, track: s.tracks[i]}
		}
	}
	return nil
}

// catchUp brings a fresh instance the events that the engines still keep,
// which tell all that their caches hold.
func (w *world) catchUp(s *seat) {
	if !s.Heeds {
		return
	}
	for i, e := range w.engines {
		w.after(2*w.distance(s.site, e.site)+readTime, func() {
			levels := e.cache.Levels()
			s.tracks[i].Report(e.report(), w.now, s.slot())
			s.Holders.Heard(len(levels), 0)
			for _, level := range levels {
				s.Holders.Note(level, s.tracks[i].View().Slot, w.now)
			}
		})
	}
}

// heeder puts cache events of one endpoint into a cache map.
type heeder struct {
	world   *world
	holders *mapper.Map
	track   *tracker.Track
}

func (h heeder) Stored(level uint64, _ string) {
	h.holders.Note(level, h.track.View().Slot, h.world.now)
}

func (h heeder) Evicted(level uint64, _ string) { h.holders.Forget(level, h.track.View().Slot) }

// Cleared does nothing: a new incarnation has a new slot.
func (h heeder) Cleared(string) {}

func (w *world) clear(e *engine) {
	for _, s := range w.seats {
		if s.Events != nil {
			w.after(eventLag, func() { s.Events.Cleared(e.name) })
		}
	}
}

func (w *world) crashes(i int) {
	w.after(w.scene.Crash, func() {
		if w.now.After(w.end) {
			return
		}
		w.lose(w.engines[i%len(w.engines)])
		w.crashes(i + 3)
	})
}

// rollout reloads the engines one after the other.
func (w *world) rollout(i int) {
	if i == len(w.engines) {
		return
	}
	w.lose(w.engines[i])
	w.after(downTime, func() { w.rollout(i + 1) })
}

func (w *world) lose(e *engine) {
	var jobs []*job
	for j, at := range w.live {
		if at == e {
			jobs = append(jobs, j)
		}
	}
	e.crash(sorted(jobs))
}

// schedule is the events to come, the earliest first.
type schedule []event

type event struct {
	at    time.Time
	order int
	run   func()
}

func (w *world) after(wait time.Duration, run func()) { w.at(w.now.Add(wait), run) }

func (w *world) at(at time.Time, run func()) {
	w.order++
	heap.Push(&w.events, event{at: at, order: w.order, run: run})
}

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].order < s[j].order
	}
	return s[i].at.Before(s[j].at)
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds an event, for package heap.
func (s *schedule) Push(item any) { *s = append(*s, item.(event)) }

// Pop takes the last event, for package heap.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
