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

func booking(target, key, body string) request {
	return request{target: target, path: launcher.BookingPath, body: body, key: key}
}

// runs returns how often a booking ran over all services.
func runs(stage *launcher.Deployment, body string) int {
	total := 0
	for _, service := range stage.Services {
		total += service.Runs()[body]
	}
	return total
}

func twoInstances(o *launcher.Options) { o.Instances = 2 }

// Resends of one booking through every instance at once run it once and get
// one answer.
func TestResendsRunOnce(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Instances = 3 })
	for _, service := range stage.Services {
		service.SetFaults(booker.Faults{DelayMillis: 100})
	}
	answers := make([]answer, 12)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = call(t, booking(stage.CallerAddresses()[i%3], "k", "slot 1")) })
	}
	all.Wait()
	for _, got := range answers {
		assert.Equal(t, got.status, http.StatusOK, got.text)
		assert.Equal(t, got.text, answers[0].text)
		assert.Equal(t, got.verdict, "ran")
	}
	assert.Equal(t, runs(stage, "slot 1"), 1)
	reused := call(t, booking(stage.CallerAddresses()[0], "k", "slot 2"))
	assert.Equal(t, reused.code, "key-reused")
	assert.Equal(t, reused.verdict, "not-run")
	other := booking(stage.CallerAddresses()[0], "k", "slot 2")
	other.workspace = 1
	assert.Equal(t, call(t, other).status, http.StatusOK, "keys of two workspaces are apart")
}

// A service that runs the booking and closes without an answer, or cuts it,
// leaves it in doubt: it never runs again.
func TestLostAnswerIsNeverRunAgain(t *testing.T) {
	for name, fault := range map[string]booker.Faults{"lost": {LoseAnswers: 1}, "cut": {TruncateAnswers: 1}} {
		for _, key := range []string{"k", ""} {
			t.Run(fmt.Sprintf("%s key=%q", name, key), func(t *testing.T) {
				stage := open(t, func(o *launcher.Options) { o.Instances, o.Services = 2, 1 })
				stage.Services[0].SetFaults(fault)
				first := call(t, booking(stage.CallerAddresses()[0], key, "slot"))
				assert.Equal(t, first.verdict, "may-have-run", first.text)
				assert.Equal(t, runs(stage, "slot"), 1)
				if key == "" {
					return
				}
				for i := range 3 {
					again := call(t, booking(stage.CallerAddresses()[i%2], key, "slot"))
					assert.Equal(t, again.code, "in-doubt")
					assert.Equal(t, again.verdict, "may-have-run")
				}
				assert.Equal(t, runs(stage, "slot"), 1)
			})
		}
	}
}

// A refusal by the service itself is true and retried elsewhere; when all
// refuse, the key is free again.
func TestRefusedBookingRunsLater(t *testing.T) {
	stage := open(t, twoInstances)
	stage.Services[0].SetFaults(booker.Faults{Refuse: 1})
	stage.Services[1].SetFaults(booker.Faults{Refuse: 1})
	got := call(t, booking(stage.CallerAddresses()[0], "k", "slot"))
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.Equal(t, runs(stage, "slot"), 1)
	for _, service := range stage.Services {
		service.SetFaults(booker.Faults{Refuse: 100})
	}
	got = call(t, booking(stage.CallerAddresses()[0], "k2", "slot 2"))
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, runs(stage, "slot 2"), 0)
	for _, service := range stage.Services {
		service.SetFaults(booker.Faults{})
	}
	got = call(t, booking(stage.CallerAddresses()[1], "k2", "slot 2"))
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.Equal(t, runs(stage, "slot 2"), 1)
}

// A table that commits and loses its answers, lands writes late, is slow or
// down, never makes a booking run twice, and "not run" is true.
func TestBookingsUnderTableFaults(t *testing.T) {
	faults := map[string]emulator.Faults{
		"loses answers": {LoseAnswers: 2},
		"lands late":    {CommitLate: 1, CommitDelayMillis: 300},
		"lands later":   {CommitLate: 3, CommitDelayMillis: 3500},
		"slow":          {DelayMillis: 300},
		"down":          {Down: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stage := open(t, twoInstances)
			stage.Platform.SetFaults(fault)
			got := call(t, booking(stage.CallerAddresses()[0], "k", "slot"))
			if name == "down" {
				assert.Equal(t, got.code, "claim-failed")
			} else {
				assert.Equal(t, got.status, http.StatusOK, got.text)
			}
			if got.verdict == "not-run" {
				assert.Equal(t, runs(stage, "slot"), 0)
			}
			stage.Platform.SetFaults(emulator.Faults{})
			time.Sleep(time.Duration(fault.CommitDelayMillis) * time.Millisecond)
			again := call(t, booking(stage.CallerAddresses()[1], "k", "slot"))
			assert.Equal(t, again.status, http.StatusOK, again.text)
			assert.Equal(t, runs(stage, "slot"), 1)
		})
	}
}

// A claim that was given up and lands later is made void by its owner, so
// that the key does not stay in doubt.
func TestAbandonedClaimIsFreed(t *testing.T) {
	stage := open(t, twoInstances)
	stage.Platform.SetFaults(emulator.Faults{CommitLate: 100, CommitDelayMillis: 4000})
	got := call(t, booking(stage.CallerAddresses()[0], "k", "slot"))
	assert.Equal(t, got.verdict, "not-run")
	stage.Platform.SetFaults(emulator.Faults{})
	time.Sleep(5 * time.Second)
	again := call(t, booking(stage.CallerAddresses()[1], "k", "slot"))
	assert.Equal(t, again.status, http.StatusOK, again.text)
	assert.Equal(t, runs(stage, "slot"), 1)
}

// An answer too large for a row is kept as an object and replayed elsewhere,
// also when the instance that ran it is gone.
func TestLargeAnswerIsReplayed(t *testing.T) {
	stage := open(t, twoInstances)
	for _, service := range stage.Services {
		service.SetFaults(booker.Faults{PadBytes: 100_000})
	}
	first := call(t, booking(stage.CallerAddresses()[0], "k", "slot"))
	assert.Equal(t, first.status, http.StatusOK)
	assert.Assert(t, len(first.text) > 100_000)
	eventually(t, 5*time.Second, "the answer was not kept", func() bool {
		return stage.Instances[0].Counters()["table.transactions"] >= 2
	})
	time.Sleep(100 * time.Millisecond) // for the second transaction to end
	stage.Instances[0].Kill()
	again := call(t, booking(stage.CallerAddresses()[1], "k", "slot"))
	assert.Equal(t, again.status, http.StatusOK)
	assert.Assert(t, again.text == first.text)
	assert.Equal(t, runs(stage, "slot"), 1)
}

// A request that may be repeated is, when its answer is lost.
func TestOrdinaryServiceIsRetried(t *testing.T) {
	stage := open(t, nil)
	stage.Services[0].SetFaults(booker.Faults{LoseAnswers: 1})
	stage.Services[1].SetFaults(booker.Faults{LoseAnswers: 1})
	got := call(t, request{target: stage.CallerAddresses()[0], path: launcher.StockPath, body: "look up"})
	assert.Equal(t, got.status, http.StatusOK, got.text)
}
