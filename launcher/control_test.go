package launcher_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/emulator"
	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
	"wisteriadrum/lister"
)

// drainDelay is the time within which a draining endpoint stops getting new work.
const drainDelay = 3 * time.Second

func threeDataCentres(o *launcher.Options) {
	o.DataCentres, o.Instances, o.Engines, o.Services = []string{"a", "b", "c"}, 2, 1, 1
}

// Guards against a configuration that reaches only the instance that published
// it: while the platform is down, gossip must bring it to all instances and to
// one that starts later.
func TestSetSpreadsWhilePlatformIsDown(t *testing.T) {
	deployment := launch(t, threeDataCentres)
	deployment.Config.Routes[0].Model = "renamed"
	_, err := deployment.Instances[0].Publish(t.Context(), deployment.Config.Encode(), nil)
	assert.NilError(t, err)
	deployment.Platform.SetFaults(emulator.Faults{Down: true})
	eventually(t, 16*time.Second, "the configuration is not in force everywhere", func() bool {
		for _, instance := range deployment.Instances {
			if instance.Status().Number != 2 {
				return false
			}
		}
		return true
	})
	added, err := deployment.AddInstance("c")
	assert.NilError(t, err)
	assert.NilError(t, deployment.WaitReady())
	assert.Equal(t, added.Status().Number, uint64(2))
	body := strings.Replace(prompt("herd", 3, true), "lingua", "renamed", 1)
	got := call(t, request{target: added.Settings.CallerAddress, path: "/v1/completions", body: body})
	assert.Assert(t, got.complete, got.text)
}

// An instance that reaches neither platform nor peers has no configuration
// and must refuse requests with the verdict not-run.
func TestNothingKnownIsRefused(t *testing.T) {
	deployment := launch(t, nil)
	deployment.Platform.SetFaults(emulator.Faults{Down: true})
	settings := *deployment.Instances[0].Settings
	settings.Name, settings.SeedPeers = "alone", nil
	settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress = launcher.FreeAddress(), launcher.FreeAddress(), launcher.FreeAddress()
	isolated, err := deployment.StartInstance(&settings)
	assert.NilError(t, err)
	defer isolated.Kill()
	var got answer
	eventually(t, 5*time.Second, "no answer", func() bool {
		got = call(t, request{target: settings.CallerAddress, path: "/v1/completions", body: prompt("x", 1, true)})
		return got.code != "unreachable"
	})
	assert.Equal(t, got.code, "no-set")
	assert.Equal(t, got.verdict, "not-run")
	assert.Assert(t, !isolated.Ready())
}

// Guards against requests sent to a draining endpoint. Whether it drains by a
// planned stop while the platform is down, by the platform's instance list or
// by its own refusals, it must get no new work after 3 s, and its requests in
// flight must finish.
func TestStoppedEndpointGetsNoNewWork(t *testing.T) {
	causes := map[string]func(*testing.T, *launcher.Deployment){
		"planned stop": func(t *testing.T, deployment *launcher.Deployment) {
			deployment.Platform.SetFaults(emulator.Faults{Down: true})
			assert.NilError(t, deployment.Instances[0].Instance.SetStop(t.Context(), deployment.Engines[0].Name, true))
		},
		"platform's list": func(_ *testing.T, deployment *launcher.Deployment) {
			deployment.Platform.PutEntry(lister.Entry{Name: deployment.Engines[0].Name, State: lister.Leaving})
		},
		"own refusal": func(_ *testing.T, deployment *launcher.Deployment) {
			deployment.Engines[0].SetFaults(inferrer.Faults{Draining: true})
		},
	}
	for name, drain := range causes {
		t.Run(name, func(t *testing.T) {
			deployment := launch(t, func(o *launcher.Options) { threeDataCentres(o); o.Engine.MicrosPerToken = 20000 })
			var running sync.WaitGroup
			for i := range 12 {
				running.Go(func() {
					got := call(t, request{target: deployment.CallerAddresses()[i%6], path: "/v1/completions", body: prompt(fmt.Sprint("long ", i), 200, true)})
					assert.Check(t, got.complete, got.code)
				})
			}
			awaitRequests(t, deployment, 12)
			assert.Assert(t, deployment.Engines[0].Stats().Requests > 0)
			drain(t, deployment)
			time.Sleep(drainDelay)
			before := deployment.Engines[0].Stats().Requests
			for i := range 30 {
				got := call(t, request{target: deployment.CallerAddresses()[i%6], path: "/v1/completions", body: prompt(fmt.Sprint("new ", i), 1, true)})
				assert.Assert(t, got.complete, got.code)
			}
			assert.Equal(t, deployment.Engines[0].Stats().Requests, before)
			running.Wait()
		})
	}
}

// awaitRequests waits until the engines have received count requests.
func awaitRequests(t *testing.T, deployment *launcher.Deployment, count int) {
	t.Helper()
	eventually(t, 10*time.Second, "the requests have not reached the engines", func() bool {
		received := 0
		for _, engine := range deployment.Engines {
			received += engine.Stats().Requests
		}
		return received >= count
	})
}

// An instance that shuts down gracefully must neither cut off requests in
// flight nor refuse those that still arrive.
func TestPlannedStopOfAnInstance(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Instances, o.Engine.MicrosPerToken = 2, 20000 })
	var running sync.WaitGroup
	for i := range 10 {
		running.Go(func() {
			got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: prompt(fmt.Sprint("long ", i), 150, true)})
			assert.Check(t, got.complete, got.code)
		})
	}
	awaitRequests(t, deployment, 10)
	ended := deployment.Instances[0].Stop()
	eventually(t, time.Second, "the instance is still ready", func() bool { return !deployment.Instances[0].Ready() })
	got := call(t, request{target: deployment.CallerAddresses()[0], path: "/v1/completions", body: prompt("after the signal", 2, true)})
	assert.Assert(t, got.complete, "a request before the load balancer's next readiness check: %s", got.code)
	running.Wait()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not shut down")
	}
}

// Guards against an isolated data centre that stops serving from its own
// endpoints, or runs a booking that also runs outside. After the partition
// heals, it must adopt the newest configuration exactly once.
func TestCutDataCentre(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { threeDataCentres(o); o.Services = 3 })
	inside, outside := deployment.CallerAddresses()[0], deployment.CallerAddresses()[2]
	assert.Equal(t, call(t, newBooking(inside, "before", "slot 1")).verdict, "ran")
	// The answer is saved while it is sent to the caller. With a partition before
	// it is saved, a resend outside would get the refusal in-doubt.
	eventually(t, 10*time.Second, "the answer was not saved", func() bool { return deployment.Instances[0].Counters()["once.saved"] == 1 })
	deployment.Partition("a", true)
	deployment.Config.Routes[0].Model = "renamed"
	_, err := deployment.Instances[2].Publish(t.Context(), deployment.Config.Encode(), nil)
	assert.NilError(t, err)
	for i := range 10 {
		got := call(t, request{target: inside, path: "/v1/completions", body: prompt(fmt.Sprint("inside ", i), 2, true)})
		assert.Assert(t, got.complete, "not served under the old configuration: %s %s", got.code, got.text)
		body := strings.Replace(prompt(fmt.Sprint("outside ", i), 2, true), "lingua", "renamed", 1)
		got = call(t, request{target: outside, path: "/v1/completions", body: body})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
	refused := call(t, newBooking(inside, "during", "slot 2"))
	assert.Equal(t, refused.code, "claim-failed")
	assert.Equal(t, refused.verdict, "not-run")
	assert.Equal(t, call(t, newBooking(outside, "during", "slot 2")).verdict, "ran")
	replayed := call(t, newBooking(outside, "before", "slot 1"))
	assert.Equal(t, replayed.verdict, "ran")
	deployment.Partition("a", false)
	eventually(t, 16*time.Second, "the configuration was not adopted", func() bool { return deployment.Instances[0].Status().Number == 2 })
	assert.Equal(t, call(t, newBooking(inside, "during", "slot 2")).verdict, "ran")
	assert.Equal(t, bookingRuns(deployment, "slot 1"), 1)
	assert.Equal(t, bookingRuns(deployment, "slot 2"), 1)
	assert.Equal(t, deployment.Instances[0].Counters()["config.adopted"], int64(2))
}

// Guards against a slow or failed platform that holds up a restart of all
// instances: with two seconds for each platform answer all must become ready,
// and with the platform down they must get the configuration from a peer.
func TestHerdRestart(t *testing.T) {
	deployment := launch(t, threeDataCentres)
	deployment.Platform.SetFaults(emulator.Faults{DelayMillis: 2000})
	for _, instance := range deployment.Instances {
		instance.Kill()
	}
	started := time.Now()
	for i, instance := range deployment.Instances {
		restarted, err := deployment.StartInstance(instance.Settings)
		assert.NilError(t, err)
		deployment.Instances[i] = restarted
	}
	assert.NilError(t, deployment.WaitReady())
	t.Logf("all instances ready after %s", time.Since(started))
	for i := range 6 {
		got := call(t, request{target: deployment.CallerAddresses()[i], path: "/v1/completions", body: prompt(fmt.Sprint("herd ", i), 2, true)})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
	deployment.Platform.SetFaults(emulator.Faults{Down: true})
	for i, instance := range deployment.Instances[1:] {
		instance.Kill()
		restarted, err := deployment.StartInstance(instance.Settings)
		assert.NilError(t, err)
		deployment.Instances[i+1] = restarted
	}
	assert.NilError(t, deployment.WaitReady())
	got := call(t, request{target: deployment.CallerAddresses()[5], path: "/v1/completions", body: prompt("from a peer", 2, true)})
	assert.Assert(t, got.complete, "%s %s", got.code, got.text)
}

// In a large data centre only a few instances poll the platform's instance
// list. Guards against a list update that does not reach the others.
func TestListReachesAll(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) { o.Instances = 5 })
	eventually(t, 10*time.Second, "the membership is incomplete", func() bool {
		for _, instance := range deployment.Instances {
			if len(instance.Status().Members) < 5 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // for all to agree on the instances that poll
	name := deployment.Engines[0].Name
	countAvailable := func() int {
		count := 0
		for _, instance := range deployment.Instances {
			for _, endpoint := range instance.Status().Endpoints {
				if endpoint.Name == name && endpoint.Available {
					count++
				}
			}
		}
		return count
	}
	assert.Equal(t, countAvailable(), 5)
	deployment.Platform.PutEntry(lister.Entry{Name: name, State: lister.Leaving})
	eventually(t, drainDelay, "some instance has not received the update", func() bool { return countAvailable() == 0 })
	deployment.Platform.PutEntry(lister.Entry{Name: name, State: lister.Live})
	eventually(t, drainDelay, "some instance has not received the update", func() bool { return countAvailable() == 5 })
}
