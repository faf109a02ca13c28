package simulator

import (
	"time"

	"wisteriadrum/mapper"
	"wisteriadrum/tracker"
)

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
		w.after(pollLag, func() { track.ApplyReport(report, taken, s.slot()) })
	}
	w.after(pollEvery/2+time.Duration(w.rand.Int64N(int64(pollEvery))), func() { w.poll(i) })
}

// heardOf returns the engines whose load an instance hears of this time.
func (w *world) heardOf() []int {
	order := w.rand.Perm(len(w.engines))
	if w.site.ReportsPerSecond > 0 {
		order = order[:min(w.site.ReportsPerSecond, len(order))]
	}
	return order
}

func (s *seat) slot() func(*tracker.Track) uint16 {
	if s.Holders == nil {
		return func(*tracker.Track) uint16 { return 1 }
	}
	return s.Holders.NewSlot
}

// event tells the instances of a cache event, late and with gaps.
func (w *world) event(e *engine, tell func(CacheEventListener)) {
	for _, s := range w.seats {
		listener := w.listener(s, e)
		if listener == nil {
			continue
		}
		if w.rand.Float64() < w.scene.EventLoss {
			s.missed++
			continue
		}
		w.after(eventLag, func() {
			if s.EventsToHolders {
				s.Holders.RecordEvents(1, s.missed)
				s.missed = 0
			}
			tell(listener)
		})
	}
}

func (w *world) listener(s *seat, e *engine) CacheEventListener {
	if !s.EventsToHolders {
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
	if !s.EventsToHolders {
		return
	}
	for i, e := range w.engines {
		w.after(2*w.distance(s.site, e.site)+readTime, func() {
			levels := e.cache.Levels()
			s.tracks[i].ApplyReport(e.report(), w.now, s.slot())
			s.Holders.RecordEvents(len(levels), 0)
			for _, level := range levels {
				s.Holders.Add(level, s.tracks[i].View().Slot, w.now)
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
	h.holders.Add(level, h.track.View().Slot, h.world.now)
}

func (h heeder) Evicted(level uint64, _ string) { h.holders.Remove(level, h.track.View().Slot) }

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
	w.after(w.scene.CrashInterval, func() {
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
