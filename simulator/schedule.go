package simulator

import (
	"container/heap"
	"time"
)

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
