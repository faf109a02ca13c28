package simulator

import (
	"fmt"
	"time"

	"wisteriadrum/hasher"
	"wisteriadrum/synthesizer"
	"wisteriadrum/tenant"
)

// plan schedules the arrivals and what the scene brings.
func (w *world) plan() {
	half := w.end.Sub(w.start) / 2
	w.arrive(w.rate(w.scene.Load), func() synthesizer.Request { return w.traffic.Next() }, w.start)
	for i := range w.seats {
		w.poll(i)
	}
	w.after(half, func() {
		if w.scene.ShiftPopularity {
			w.traffic.ShiftPopularity()
		}
		if w.scene.FloodLoad > 0 {
			w.arrive(w.rate(w.scene.FloodLoad), func() synthesizer.Request { return w.traffic.NextOf(w.site.Shape.Workspaces - 1) }, w.now)
		}
		if w.scene.RestartAll {
			for i := range w.seats {
				w.seats[i] = w.seatOf(i)
				w.catchUp(w.seats[i])
			}
		}
		if w.scene.Rollout {
			w.rollout(0)
		}
	})
	if w.scene.CrashInterval > 0 {
		w.crashes(0)
	}
}

// rate returns the mean time between requests at a share of full load.
func (w *world) rate(load float64) time.Duration {
	shape := w.site.Shape
	size := float64(shape.PreambleBytes + shape.DocumentBytes + shape.SectionBytes + shape.QuestionBytes)
	each := size * (1 - w.site.AssumedHitRate) * float64(w.site.PrefillPerByte)
	return time.Duration(each / float64(w.site.Engines) / load)
}

func (w *world) arrive(mean time.Duration, next func() synthesizer.Request, from time.Time) {
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
	if !w.site.ViaHome || r.chain.Depth() == 0 {
		return nil
	}
	key := r.chain.Level(min(homeLevel, r.chain.Depth()) - 1)
	return w.seats[w.homes.First(key)[0]]
}

// admit applies the limits of a flooded scene.
func (w *world) admit(s *seat, workspace int) bool {
	if w.scene.FloodLoad == 0 {
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
func limitsOf(site Deployment, perSecond float64) []tenant.Workspace {
	const sample = 20000
	traffic := synthesizer.New(site.Shape, sample)
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
func chain(item synthesizer.Request) hasher.Chain {
	const piece = 4000 // bytes
	var levels []uint64
	for _, level := range item.Segments {
		name := hasher.New(level.Name, "", "", "x", 1).Level(0)
		for i := range level.Bytes / piece {
			levels = append(levels, name+uint64(i))
		}
	}
	return hasher.FromLevels(levels, piece, item.Size())
}
