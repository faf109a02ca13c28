// Package queuer orders requests that wait for room at an engine.
//
// It targets overload by more long prompts than the engines can prefill. If all
// of them were sent on, every engine step would include prefill work, which
// would slow down all streams of the engine. Requests that can still meet their
// latency target go first, then the others, each group by priority and arrival.
package queuer

import (
	"sync"
	"time"
)

// Ticket is the entry of a waiting request.
type Ticket struct {
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// Arrived is when the request was received.
	Arrived time.Time
	// TargetBy is when the answer has to begin to meet the latency target.
	TargetBy time.Time
}

// Queue holds the waiting requests of one pool.
type Queue struct {
	mu      sync.Mutex
	waiting map[*Ticket]struct{}
}

// New returns an empty queue.
func New() *Queue { return &Queue{waiting: map[*Ticket]struct{}{}} }

// Join adds a ticket.
func (q *Queue) Join(ticket *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[ticket] = struct{}{}
}

// Leave removes a ticket.
func (q *Queue) Leave(ticket *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, ticket)
}

// Ahead returns the number of tickets that go before ticket at now.
func (q *Queue) Ahead(ticket *Ticket, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead := 0
	for other := range q.waiting {
		if other != ticket && before(other, ticket, now) {
			ahead++
		}
	}
	return ahead
}

// before reports whether a goes before b at now.
func before(a, b *Ticket, now time.Time) bool {
	aOnTime, bOnTime := now.Before(a.TargetBy), now.Before(b.TargetBy)
	if aOnTime != bOnTime {
		return aOnTime
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}
