package launcher_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/booker"
	"wisteriadrum/emulator"
	"wisteriadrum/launcher"
)

func newBooking(target, key, body string) request {
	return request{target: target, path: launcher.BookingPath, body: body, key: key}
}

// bookingRuns returns the number of runs of a booking over all services.
func bookingRuns(deployment *launcher.Deployment, body string) int {
	total := 0
	for _, service := range deployment.Services {
		total += service.Runs()[body]
	}
	return total
}

func twoInstances(o *launcher.Options) { o.Instances = 2 }

// Guards against a booking that runs more than once when it is resent through
// several instances concurrently. All callers must get the same answer, and a
// key that is reused for another body must be refused.
func TestResendsRunOnce(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Instances = 3 })
	for _, service := range deployment.Services {
		service.SetFaults(booker.Faults{DelayMillis: 100})
	}
	answers := make([]answer, 12)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = call(t, newBooking(deployment.CallerAddresses()[i%3], "k", "slot 1")) })
	}
	all.Wait()
	for _, got := range answers {
		assert.Equal(t, got.status, http.StatusOK, got.text)
		assert.Equal(t, got.text, answers[0].text)
		assert.Equal(t, got.verdict, "ran")
	}
	assert.Equal(t, bookingRuns(deployment, "slot 1"), 1)
	reused := call(t, newBooking(deployment.CallerAddresses()[0], "k", "slot 2"))
	assert.Equal(t, reused.code, "key-reused")
	assert.Equal(t, reused.verdict, "not-run")
	other := newBooking(deployment.CallerAddresses()[0], "k", "slot 2")
	other.workspace = 1
	assert.Equal(t, call(t, other).status, http.StatusOK, "idempotency keys of two workspaces must be independent")
}

// Guards against a second run of a booking whose answer was lost: if the service
// runs it and then closes the connection or truncates the answer, the outcome
// stays in doubt and resends must not reach a service.
func TestLostAnswerIsNeverRunAgain(t *testing.T) {
	for name, fault := range map[string]booker.Faults{"lost": {LoseAnswers: 1}, "cut": {TruncateAnswers: 1}} {
		for _, key := range []string{"k", ""} {
			t.Run(fmt.Sprintf("%s key=%q", name, key), func(t *testing.T) {
				deployment := launch(t, func(o *launcher.Options) { o.Instances, o.Services = 2, 1 })
				deployment.Services[0].SetFaults(fault)
				first := call(t, newBooking(deployment.CallerAddresses()[0], key, "slot"))
				assert.Equal(t, first.verdict, "may-have-run", first.text)
				assert.Equal(t, bookingRuns(deployment, "slot"), 1)
				if key == "" {
					return
				}
				for i := range 3 {
					again := call(t, newBooking(deployment.CallerAddresses()[i%2], key, "slot"))
					assert.Equal(t, again.code, "in-doubt")
					assert.Equal(t, again.verdict, "may-have-run")
				}
				assert.Equal(t, bookingRuns(deployment, "slot"), 1)
			})
		}
	}
}

// A refusal by a service means that the booking did not run: it must be retried
// on another endpoint, and if all refuse, the key must be usable again.
func TestRefusedBookingRunsLater(t *testing.T) {
	deployment := launch(t, twoInstances)
	deployment.Services[0].SetFaults(booker.Faults{Refuse: 1})
	deployment.Services[1].SetFaults(booker.Faults{Refuse: 1})
	got := call(t, newBooking(deployment.CallerAddresses()[0], "k", "slot"))
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.Equal(t, bookingRuns(deployment, "slot"), 1)
	for _, service := range deployment.Services {
		service.SetFaults(booker.Faults{Refuse: 100})
	}
	got = call(t, newBooking(deployment.CallerAddresses()[0], "k2", "slot 2"))
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, bookingRuns(deployment, "slot 2"), 0)
	for _, service := range deployment.Services {
		service.SetFaults(booker.Faults{})
	}
	got = call(t, newBooking(deployment.CallerAddresses()[1], "k2", "slot 2"))
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.Equal(t, bookingRuns(deployment, "slot 2"), 1)
}

// Guards against a double run or a false verdict "not-run" while the table
// commits and loses its answers, commits late, is slow or is down.
func TestBookingsUnderTableFaults(t *testing.T) {
	faults := map[string]emulator.Faults{
		"loses answers": {LoseAnswers: 2},
		"commits late":  {CommitLate: 1, CommitDelayMillis: 300},
		"commits later": {CommitLate: 3, CommitDelayMillis: 3500},
		"slow":          {DelayMillis: 300},
		"down":          {Down: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment := launch(t, twoInstances)
			deployment.Platform.SetFaults(fault)
			got := call(t, newBooking(deployment.CallerAddresses()[0], "k", "slot"))
			if name == "down" {
				assert.Equal(t, got.code, "claim-failed")
			} else {
				assert.Equal(t, got.status, http.StatusOK, got.text)
			}
			if got.verdict == "not-run" {
				assert.Equal(t, bookingRuns(deployment, "slot"), 0)
			}
			deployment.Platform.SetFaults(emulator.Faults{})
			time.Sleep(time.Duration(fault.CommitDelayMillis) * time.Millisecond)
			again := call(t, newBooking(deployment.CallerAddresses()[1], "k", "slot"))
			assert.Equal(t, again.status, http.StatusOK, again.text)
			assert.Equal(t, bookingRuns(deployment, "slot"), 1)
		})
	}
}

// Guards against a key that stays in doubt: the write of a claim times out, the
// instance abandons the claim, and the table commits it later. The owner must
// then void it, so that a resend runs.
func TestAbandonedClaimIsFreed(t *testing.T) {
	deployment := launch(t, twoInstances)
	deployment.Platform.SetFaults(emulator.Faults{CommitLate: 100, CommitDelayMillis: 4000})
	got := call(t, newBooking(deployment.CallerAddresses()[0], "k", "slot"))
	assert.Equal(t, got.verdict, "not-run")
	deployment.Platform.SetFaults(emulator.Faults{})
	time.Sleep(5 * time.Second)
	again := call(t, newBooking(deployment.CallerAddresses()[1], "k", "slot"))
	assert.Equal(t, again.status, http.StatusOK, again.text)
	assert.Equal(t, bookingRuns(deployment, "slot"), 1)
}

// An answer that is too large for a table row is saved in the object store.
// Another instance must replay it, even after the first one was killed.
func TestLargeAnswerIsReplayed(t *testing.T) {
	deployment := launch(t, twoInstances)
	for _, service := range deployment.Services {
		service.SetFaults(booker.Faults{PadBytes: 100_000})
	}
	first := call(t, newBooking(deployment.CallerAddresses()[0], "k", "slot"))
	assert.Equal(t, first.status, http.StatusOK)
	assert.Assert(t, len(first.text) > 100_000)
	eventually(t, 5*time.Second, "the answer was not saved", func() bool {
		return deployment.Instances[0].Counters()["table.transactions"] >= 2
	})
	time.Sleep(100 * time.Millisecond) // for the second transaction to end
	deployment.Instances[0].Kill()
	again := call(t, newBooking(deployment.CallerAddresses()[1], "k", "slot"))
	assert.Equal(t, again.status, http.StatusOK)
	assert.Assert(t, again.text == first.text)
	assert.Equal(t, bookingRuns(deployment, "slot"), 1)
}

// A repeatable request must be retried when its answer is lost.
func TestOrdinaryServiceIsRetried(t *testing.T) {
	deployment := launch(t, nil)
	deployment.Services[0].SetFaults(booker.Faults{LoseAnswers: 1})
	deployment.Services[1].SetFaults(booker.Faults{LoseAnswers: 1})
	got := call(t, request{target: deployment.CallerAddresses()[0], path: launcher.StockPath, body: "look up"})
	assert.Equal(t, got.status, http.StatusOK, got.text)
}
