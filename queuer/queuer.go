// Package queuer orders requests that wait for room at an engine.
//
// It answers the load of more long prompts than the engines can read: were
// they all sent on, each step of an engine would read a piece of a prompt, and
// every stream there would crawl. Those that can still be answered in time go
// first, then the others, each by urgency and arrival.
package queuer

import (
	"sync"
	"time"
)

// Ticket is the place of a waiting request.
type Ticket struct {
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// Arrived is when the request came.
	Arrived time.Time
	// TargetBy is when its answer begins to be late.
	TargetBy time.Time
}

// Queue holds the tickets of one pool.
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

// Ahead returns the number of tickets that go before one at now.
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
	aFresh, bFresh := now.Before(a.TargetBy), now.Before(b.TargetBy)
	if aFresh != bFresh {
		return aFresh
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}
