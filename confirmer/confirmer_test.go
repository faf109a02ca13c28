package confirmer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/confirmer"
)

var start = time.Unix(1000, 0)

// Guards against a table that is confirmed later than half of the bound, or three
// quarters of it while another instance sends the table.
func TestDueWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 100000).Draw(t, "bound")
		random := rapid.Float64Range(0, 1)
		confirm := confirmer.New(bound, func() float64 { return random.Draw(t, "random") })
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, bound).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "suspicion") {
				confirm = confirm.WithSuspicion(now)
			} else {
				confirm = confirm.WithComplete(now.Add(-time.Duration(rapid.IntRange(0, bound).Draw(t, "age")) * time.Millisecond))
			}
			boundTime := time.Duration(bound) * time.Millisecond
			if due, ok := confirm.DueAt(false); ok {
				assert.Assert(t, !due.After(confirm.CompleteAt().Add(boundTime/2)))
			}
			if due, ok := confirm.DueAt(true); ok {
				assert.Assert(t, !due.After(confirm.CompleteAt().Add(boundTime*3/4)))
			}
		}
	})
}

// Guards against confirmations without a bound or before the table is known, against
// knowledge that gets older, and against failed calls without a pause.
func TestConfirmations(t *testing.T) {
	half := func() float64 { return 0.5 }
	_, due := confirmer.New(0, half).WithComplete(start).DueAt(false)
	assert.Assert(t, !due)
	confirm := confirmer.New(2000, half)
	_, due = confirm.DueAt(false)
	assert.Assert(t, !due)
	confirm = confirm.WithComplete(start).WithComplete(start.Add(-time.Second))
	assert.Equal(t, confirm.CompleteAt(), start)
	at, _ := confirm.DueAt(false)
	assert.Equal(t, at, start.Add(850*time.Millisecond))
	at, _ = confirm.WithSuspicion(start).DueAt(false)
	assert.Equal(t, at, start.Add(200*time.Millisecond))
	at, _ = confirm.WithFailure(start.Add(time.Second)).DueAt(false)
	assert.Equal(t, at, start.Add(1850*time.Millisecond))
	assert.Assert(t, !confirm.Outdated(start.Add(2*time.Second)))
	assert.Assert(t, confirm.Outdated(start.Add(2001*time.Millisecond)))
}
