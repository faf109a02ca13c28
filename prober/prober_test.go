package prober_test

import (
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/prober"
	"wisteriadrum/reporter"
	"wisteriadrum/tracker"
	"wisteriadrum/worker"
)

// engine fails the probes for which fails returns true.
type engine struct {
	dialer.Dialer
	probes int
	fails  func(probe int) bool
}

func (e *engine) FetchLoad(string) (reporter.Report, error) {
	e.probes++
	if e.fails(e.probes) {
		return reporter.Report{}, errors.New("timeout")
	}
	return reporter.Report{Incarnation: "1"}, nil
}

// Probes that fail now and then must not put an engine into backoff; several in
// succession must.
func TestOnlySuccessiveFailuresCount(t *testing.T) {
	for name, test := range map[string]struct {
		fails     func(probe int) bool
		available bool
	}{
		"every other": {func(probe int) bool { return probe%2 == 0 }, true},
		"all":         {func(int) bool { return true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			clock := func() time.Time { return now }
			track := tracker.New(worker.Endpoint{Name: "e"}, true)
			probe := prober.New("me", keeper.New(), &engine{fails: test.fails}, mapper.New(0, now).NewSlot, counter.New(metrics.NewRegistry()), clock)
			for range 10 {
				probe.Probe(track)
			}
			assert.Equal(t, track.Available(now), test.available)
		})
	}
}
