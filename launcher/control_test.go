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

// leavingBy is the time after which an endpoint that leaves gets no new work.
const leavingBy = 3 * time.Second

func threeSites(o *launcher.Options) {
	o.DataCentres, o.Instances, o.Engines, o.Services = []string{"a", "b", "c"}, 2, 1, 1
}

// A set that only one instance could publish reaches all of them while the
// platform is down, and a fresh instance too, which serves at once.
func TestSetSpreadsWhilePlatformIsDown(t *testing.T) {
	stage := open(t, threeSites)
	stage.Set.Routes[0].Model = "renamed"
	_, err := stage.Instances[0].Publish(t.Context(), stage.Set.Encode(), nil)
	assert.NilError(t, err)
	stage.Platform.SetFaults(emulator.Faults{Down: true})
	eventually(t, 16*time.Second, "the set is not in force everywhere", func() bool {
		for _, node := range stage.Instances {
			if node.Status().Number != 2 {
				return false
			}
		}
		return true
	})
	fresh, err := stage.AddInstance("c")
	assert.NilError(t, err)
	assert.NilError(t, stage.WaitReady())
	assert.Equal(t, fresh.Status().Number, uint64(2))
	body := strings.Replace(prompt("herd", 3, true), "lingua", "renamed", 1)
	got := call(t, request{target: fresh.Settings.CallerAddress, path: "/v1/completions", body: body})
	assert.Assert(t, got.complete, got.text)
}

// An instance that can reach neither platform nor peers refuses truthfully.
func TestNothingKnownIsRefused(t *testing.T) {
	stage := open(t, nil)
	stage.Platform.SetFaults(emulator.Faults{Down: true})
	settings := *stage.Instances[0].Settings
	settings.Name, settings.SeedPeers = "alone", nil
	settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress = launcher.FreeAddress(), launcher.FreeAddress(), launcher.FreeAddress()
	alone, err := stage.StartInstance(&settings)
	assert.NilError(t, err)
	defer alone.Kill()
	var got answer
	eventually(t, 5*time.Second, "no answer", func() bool {
		got = call(t, request{target: settings.CallerAddress, path: "/v1/completions", body: prompt("x", 1, true)})
		return got.code != "unreachable"
	})
	assert.Equal(t, got.code, "no-set")
	assert.Equal(t, got.verdict, "not-run")
	assert.Assert(t, !alone.Ready())
}

// An endpoint that leaves, whether by a planned stop with the platform down,
// by the platform's list or by its own word, gets no new work after 3 s, and
// what runs there finishes.
func TestStoppedEndpointGetsNoNewWork(t *testing.T) {
	ways := map[string]func(*testing.T, *launcher.Deployment){
		"planned stop": func(t *testing.T, stage *launcher.Deployment) {
			stage.Platform.SetFaults(emulator.Faults{Down: true})
			assert.NilError(t, stage.Instances[0].Instance.SetStop(t.Context(), stage.Engines[0].Name, true))
		},
		"platform's list": func(_ *testing.T, stage *launcher.Deployment) {
			stage.Platform.PutEntry(lister.Entry{Name: stage.Engines[0].Name, State: lister.Leaving})
		},
		"own refusal": func(_ *testing.T, stage *launcher.Deployment) {
			stage.Engines[0].SetFaults(inferrer.Faults{Draining: true})
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			stage := open(t, func(o *launcher.Options) { threeSites(o); o.Engine.TimePerToken = 20000 })
			var running sync.WaitGroup
			for i := range 12 {
				running.Go(func() {
					got := call(t, request{target: stage.CallerAddresses()[i%6], path: "/v1/completions", body: prompt(fmt.Sprint("long ", i), 200, true)})
					assert.Check(t, got.complete, got.code)
				})
			}
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, stage.Engines[0].Stats().Requests > 0)
			leave(t, stage)
			time.Sleep(leavingBy)
			before := stage.Engines[0].Stats().Requests
			for i := range 30 {
				got := call(t, request{target: stage.CallerAddresses()[i%6], path: "/v1/completions", body: prompt(fmt.Sprint("new ", i), 1, true)})
				assert.Assert(t, got.complete, got.code)
			}
			assert.Equal(t, stage.Engines[0].Stats().Requests, before)
			running.Wait()
		})
	}
}

// An instance that stops cuts and refuses nothing.
func TestPlannedStopOfAnInstance(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Instances, o.Engine.TimePerToken = 2, 20000 })
	var running sync.WaitGroup
	for i := range 10 {
		running.Go(func() {
			got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: prompt(fmt.Sprint("long ", i), 150, true)})
			assert.Check(t, got.complete, got.code)
		})
	}
	time.Sleep(200 * time.Millisecond)
	ended := stage.Instances[0].Stop()
	eventually(t, time.Second, "still ready", func() bool { return !stage.Instances[0].Ready() })
	got := call(t, request{target: stage.CallerAddresses()[0], path: "/v1/completions", body: prompt("after the signal", 2, true)})
	assert.Assert(t, got.complete, "a request before the balancer has looked again: %s", got.code)
	running.Wait()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not end")
	}
}

// A data centre that is cut off serves its own endpoints throughout, takes the
// newest set once on healing, and no booking runs twice across the cut.
func TestCutDataCentre(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { threeSites(o); o.Services = 3 })
	inside, outside := stage.CallerAddresses()[0], stage.CallerAddresses()[2]
	assert.Equal(t, call(t, booking(inside, "before", "slot 1")).verdict, "ran")
	// The answer is kept beside its way to the caller; cut before that, a resend
	// outside would be in doubt.
	eventually(t, 10*time.Second, "the answer is not kept", func() bool { return stage.Instances[0].Counters()["once.saved"] == 1 })
	stage.Partition("a", true)
	stage.Set.Routes[0].Model = "renamed"
	_, err := stage.Instances[2].Publish(t.Context(), stage.Set.Encode(), nil)
	assert.NilError(t, err)
	for i := range 10 {
		got := call(t, request{target: inside, path: "/v1/completions", body: prompt(fmt.Sprint("inside ", i), 2, true)})
		assert.Assert(t, got.complete, "the old set serves: %s %s", got.code, got.text)
		body := strings.Replace(prompt(fmt.Sprint("outside ", i), 2, true), "lingua", "renamed", 1)
		got = call(t, request{target: outside, path: "/v1/completions", body: body})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
	refused := call(t, booking(inside, "during", "slot 2"))
	assert.Equal(t, refused.code, "claim-failed")
	assert.Equal(t, refused.verdict, "not-run")
	assert.Equal(t, call(t, booking(outside, "during", "slot 2")).verdict, "ran")
	replayed := call(t, booking(outside, "before", "slot 1"))
	assert.Equal(t, replayed.verdict, "ran")
	stage.Partition("a", false)
	eventually(t, 16*time.Second, "the set did not come in", func() bool { return stage.Instances[0].Status().Number == 2 })
	assert.Equal(t, call(t, booking(inside, "during", "slot 2")).verdict, "ran")
	assert.Equal(t, runs(stage, "slot 1"), 1)
	assert.Equal(t, runs(stage, "slot 2"), 1)
	assert.Equal(t, stage.Instances[0].Counters()["config.adopted"], int64(2))
}

// All instances restarted together serve at once, while the platform takes
// two seconds for each answer, and from a peer while it is down.
func TestHerdRestart(t *testing.T) {
	stage := open(t, threeSites)
	stage.Platform.SetFaults(emulator.Faults{DelayMillis: 2000})
	for _, node := range stage.Instances {
		node.Kill()
	}
	begun := time.Now()
	for i, node := range stage.Instances {
		again, err := stage.StartInstance(node.Settings)
		assert.NilError(t, err)
		stage.Instances[i] = again
	}
	assert.NilError(t, stage.WaitReady())
	t.Logf("first served after %s", time.Since(begun))
	for i := range 6 {
		got := call(t, request{target: stage.CallerAddresses()[i], path: "/v1/completions", body: prompt(fmt.Sprint("herd ", i), 2, true)})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
	stage.Platform.SetFaults(emulator.Faults{Down: true})
	for i, node := range stage.Instances[1:] {
		node.Kill()
		again, err := stage.StartInstance(node.Settings)
		assert.NilError(t, err)
		stage.Instances[i+1] = again
	}
	assert.NilError(t, stage.WaitReady())
	got := call(t, request{target: stage.CallerAddresses()[5], path: "/v1/completions", body: prompt("from a peer", 2, true)})
	assert.Assert(t, got.complete, "%s %s", got.code, got.text)
}

// In a large data centre few instances read the platform's list; all heed it.
func TestListReachesAll(t *testing.T) {
	stage := open(t, func(o *launcher.Options) { o.Instances = 5 })
	eventually(t, 10*time.Second, "the instances have not met", func() bool {
		for _, node := range stage.Instances {
			if len(node.Status().Members) < 5 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // for all to see who reads
	name := stage.Engines[0].Name
	open := func() int {
		count := 0
		for _, node := range stage.Instances {
			for _, endpoint := range node.Status().Endpoints {
				if endpoint.Name == name && endpoint.Open {
					count++
				}
			}
		}
		return count
	}
	assert.Equal(t, open(), 5)
	stage.Platform.PutEntry(lister.Entry{Name: name, State: lister.Leaving})
	eventually(t, leavingBy, "some instance has not heard", func() bool { return open() == 0 })
	stage.Platform.PutEntry(lister.Entry{Name: name, State: lister.Live})
	eventually(t, leavingBy, "some instance has not heard", func() bool { return open() == 5 })
}
