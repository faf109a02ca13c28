package simulator

import (
	"container/heap"
	"time"
)

// eventQueue is a heap of future events, the earliest first. Events of the same
// time run in the order in which they were added.
type eventQueue []timedEvent

type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

func (sim *simulation) after(delay time.Duration, run func()) { sim.at(sim.now.Add(delay), run) }

func (sim *simulation) at(at time.Time, run func()) {
	sim.sequence++
	heap.Push(&sim.events, timedEvent{at: at, sequence: sim.sequence, run: run})
}

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(timedEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
