package reserver_test

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/reserver"
)

const (
	overloadedEngines = 12
	capacityTokens    = 160000
	tick              = 5 * time.Millisecond
	// viewAge is the age of the loads that instances see.
	viewAge = 100 * time.Millisecond
	// patience is how long callers wait for the first event, and timeLimit for all of it.
	patience, timeLimit = 3200 * time.Millisecond, 6 * time.Second
	queueMillis         = 300
	claimSample         = 3
)

// waiter is a prompt of a caller, on its way to an engine or there.
type waiter struct {
	id                               uint64
	tokens                           int
	arrivedAt, leavesAt, endsAt, ask time.Time
	claimed                          int
	returned                         bool
	prefillMillis                    float64
	answered                         bool
}

// overload is engines that are asked for more prefill than they can do.
type overload struct {
	random    *rand.Rand
	now       time.Time
	reservers [overloadedEngines]reserver.Reserver
	running   [overloadedEngines][]*waiter
	views     [][overloadedEngines]int
	waiting   []*waiter
	callers   []*waiter
}

// prefillMillis returns the time that an engine takes for a prompt alone.
func prefillMillis(tokens int) float64 {
	return float64(tokens)/112 + float64(tokens)*float64(tokens)/2*0.218e-6
}

func (o *overload) newWaiter() *waiter {
	size := func(mean, spread, most float64) float64 {
		return min(most, mean*math.Exp(spread*o.random.NormFloat64()-spread*spread/2))
	}
	tokens := int(size(13300, 0.7, 39900) + size(3720, 1.1, 53200))
	return &waiter{tokens: tokens, arrivedAt: o.now, leavesAt: o.now.Add(patience), endsAt: o.now.Add(timeLimit), ask: o.now, claimed: -1, prefillMillis: prefillMillis(tokens)}
}

// run plays 60 s of arrivals with load times the prefill that the engines can do.
func (o *overload) run(load float64) {
	start, millis := o.now, 0.0
	for range 10000 {
		millis += o.newWaiter().prefillMillis / 10000
	}
	perTick := load * overloadedEngines * float64(tick.Milliseconds()) / millis
	for o.now.Before(start.Add(time.Minute)) {
		o.prefill()
		for arriving := perTick; arriving > o.random.Float64(); arriving-- {
			w := o.newWaiter()
			o.callers, o.waiting = append(o.callers, w), append(o.waiting, w)
		}
		o.waiting = slices.DeleteFunc(o.waiting, func(w *waiter) bool { return !o.now.Before(w.ask) && o.leaves(w) })
		o.now = o.now.Add(tick)
	}
}

// prefill lets each engine work on all its prompts at once for a tick.
func (o *overload) prefill() {
	var view [overloadedEngines]int
	for e, running := range o.running {
		for _, w := range running {
			view[e] += w.tokens
			w.prefillMillis -= float64(tick.Milliseconds()) / float64(len(running))
			w.answered = w.prefillMillis <= 0
		}
		o.running[e] = slices.DeleteFunc(running, func(w *waiter) bool { return w.answered || o.now.After(w.leavesAt) })
	}
	o.views = append(o.views, view)
}

// seen returns the tokens that the instances see at an engine.
func (o *overload) seen(e int) int { return o.views[max(0, len(o.views)-int(viewAge/tick))][e] }

// leaves lets a prompt ask for room, and reports whether it waits no more.
func (o *overload) leaves(w *waiter) bool {
	if w.id == 0 {
		w.id = o.random.Uint64()
	}
	if o.now.After(w.giveUpAt()) {
		o.end(w)
		return o.refused(w)
	}
	asked := w.claimed
	if asked >= 0 && o.take(w, asked, true) == reserver.Granted {
		return true
	}
	emptiest := 0
	for e := range overloadedEngines {
		if e != asked && (emptiest == asked || o.seen(e) < o.seen(emptiest)) {
			emptiest = e
		}
	}
	if o.seen(emptiest)+w.tokens <= limitOf(w.tokens) && o.take(w, emptiest, false) == reserver.Granted {
		o.end(w)
		return true
	}
	if w.claimed < 0 {
		e := o.random.Intn(overloadedEngines)
		for range claimSample - 1 {
			if other := o.random.Intn(overloadedEngines); o.seen(other) < o.seen(e) {
				e = other
			}
		}
		switch o.take(w, e, true) {
		case reserver.Granted:
			return true
		case reserver.Refused:
			w.claimed = e
		case reserver.Crowded:
			return o.refused(w)
		}
	}
	w.ask = o.now.Add(time.Duration(45+o.random.Intn(30)) * time.Millisecond)
	return false
}

// end ends the claim of a prompt.
func (o *overload) end(w *waiter) {
	if w.claimed >= 0 {
		o.reservers[w.claimed], _ = o.reservers[w.claimed].Take(reserver.Request{ID: w.id, Ends: true}, 0, o.now)
	}
}

// giveUpAt returns until when a prompt waits.
func (w *waiter) giveUpAt() time.Time {
	half := w.arrivedAt.Add(w.endsAt.Sub(w.arrivedAt) / 2)
	startBy := w.leavesAt.Add(-time.Duration(w.tokens) * time.Millisecond / 50)
	if startBy.Before(half) {
		return startBy
	}
	return half
}

// refused lets a caller return once after a second.
func (o *overload) refused(w *waiter) bool {
	if w.returned {
		return true
	}
	w.returned, w.id, w.claimed = true, 0, -1
	w.arrivedAt = o.now.Add(time.Second)
	w.ask, w.leavesAt = w.arrivedAt, w.arrivedAt.Add(patience)
	return false
}

func limitOf(tokens int) int { return max(capacityTokens*2/5, tokens+capacityTokens/4) }

func (o *overload) take(w *waiter, e int, claims bool) reserver.Answer {
	var answer reserver.Answer
	o.reservers[e], answer = o.reservers[e].Take(reserver.Request{
		ID: w.id, Tokens: w.tokens, LimitTokens: limitOf(w.tokens), Claims: claims, WaitedMillis: int(o.now.Sub(w.arrivedAt).Milliseconds()), QueueMillis: queueMillis,
	}, o.seen(e), o.now)
	if answer == reserver.Granted {
		o.running[e] = append(o.running[e], w)
	}
	return answer
}

// Guards against overload of which the largest prompts bear more than their share.
func TestOverloadIsBorneByAllSizes(t *testing.T) {
	for _, load := range []float64{1.3, 1.7, 2.2} {
		for seed := range int64(3) {
			o := &overload{random: rand.New(rand.NewSource(seed)), now: start}
			o.run(load)
			slices.SortFunc(o.callers, func(a, b *waiter) int { return cmp.Compare(a.tokens, b.tokens) })
			largest, all := answeredShare(o.callers[len(o.callers)*9/10:]), answeredShare(o.callers)
			t.Logf("load %.1f seed %d: %.2f of the largest tenth, %.2f of all", load, seed, largest, all)
			assert.Check(t, largest >= 0.8*all, "load %.1f, seed %d: %.2f of the largest tenth were answered, %.2f of all", load, seed, largest, all)
		}
	}
}

func answeredShare(callers []*waiter) float64 {
	answered := 0
	for _, w := range callers {
		if w.answered {
			answered++
		}
	}
	return float64(answered) / float64(len(callers))
}
