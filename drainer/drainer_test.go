package drainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/drainer"
)

// The instants of a stop are in order and within the grace period, however short that is.
func TestInstants(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Millisecond, time.Second, 8 * time.Second, time.Hour} {
		d := drainer.New(start, grace, 2500*time.Millisecond)
		assert.Assert(t, start.Before(d.AcceptUntil()) && d.AcceptUntil().Before(d.AnswerBy()))
		assert.Assert(t, d.AnswerBy().Before(d.ExitBy()) && d.ExitBy().Before(start.Add(grace)))
	}
	d := drainer.New(start, 8*time.Second, 2500*time.Millisecond)
	assert.Equal(t, d.AcceptUntil(), start.Add(2500*time.Millisecond))
}

// Guards against requests that are sent to an endpoint with too little time for their answers.
func TestAdmission(t *testing.T) {
	start := time.Unix(1000, 0)
	d := drainer.New(start, 8*time.Second, 2500*time.Millisecond)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	for name, test := range map[string]struct {
		once             bool
		target, deadline int
		admitted         bool
		bound            int
	}{
		"once, in time":               {true, 1000, 7000, true, 7000},
		"once, longer than that":      {true, 1000, 7001, false, 7000},
		"repeatable, in time":         {false, 1000, 6000, true, 6000},
		"repeatable, longer":          {false, 6999, 9000, true, 7000},
		"repeatable, begins too late": {false, 7000, 9000, false, 7000},
	} {
		assert.Equal(t, d.Admits(test.once, at(test.target), at(test.deadline)), test.admitted, name)
		assert.Equal(t, d.Bound(at(test.deadline)), at(test.bound), name)
	}
}
