package queuer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/queuer"
)

// With more long prompts than the engines can prefill, a first-in, first-out
// backlog would make every answer late. Requests that can still be on time go
// first.
func TestOnTimeFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	late := &queuer.Ticket{Arrived: now.Add(-3 * time.Second), TargetBy: now.Add(-time.Second)}
	old := &queuer.Ticket{Arrived: now.Add(-time.Second), TargetBy: now.Add(time.Second), Priority: 1}
	fresh := &queuer.Ticket{Arrived: now, TargetBy: now.Add(2 * time.Second), Priority: 1}
	urgent := &queuer.Ticket{Arrived: now, TargetBy: now.Add(2 * time.Second)}
	queue := queuer.New()
	for _, ticket := range []*queuer.Ticket{late, old, fresh, urgent} {
		queue.Join(ticket)
	}
	for position, ticket := range []*queuer.Ticket{urgent, old, fresh, late} {
		assert.Equal(t, queue.Ahead(ticket, now), position)
	}
	queue.Leave(urgent)
	assert.Equal(t, queue.Ahead(old, now), 0)
}
