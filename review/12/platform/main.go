// Command platform plays the case of releases of workers during which an instance keeps the
// channels to the workers that have left.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"wisteriadrum/review/stand-3/platform"
)

const (
	// maxFds is the limit of descriptors in the settings of a small deployment.
	maxFds = 4100
	// workers is the number of workers of the service, each with the slots that its row
	// names.
	workers = 9
	slots   = 64
	// replaced is how many workers are replaced at a time, gap the time between.
	replaced = 2
	gap      = time.Second
	// work is how long a request takes.
	work = 100 * time.Millisecond
	// bursts is how often half as many requests as there are slots are sent at once, burstGap
	// the time between.
	bursts   = 40
	burstGap = 2 * time.Second
	// steady is the number of clients that keep their channels from the start.
	steady = 8
	// comers is the number of clients that come in the end, and keep their channels too.
	comers = 150
	// observed is how long they are observed.
	observed = 12 * time.Second
)

func main() { os.Exit(run()) }

func answer(call *platform.Call) bool {
	time.Sleep(work)
	return call.Answer("200 OK", []byte("stock"))
}

func run() int {
	rig, err := platform.NewRig(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NoResult
	}
	defer rig.Close()
	fleet, err := prepare(rig)
	if err != nil {
		rig.Logf("the case could not run: %s", err)
		fmt.Println(err)
		return platform.NoResult
	}
	instance := rig.Instances[0]
	probe := &http.Client{Timeout: time.Second}
	done := make(chan struct{})
	defer close(done)
	kept := &visitors{}
	for range steady {
		go kept.keep(instance, done)
	}
	released := make(chan struct{})
	if rig.Trouble {
		go release(rig, fleet, released)
	}
	for number := range bursts {
		next := time.After(burstGap)
		served, refused, failed := burst(instance)
		rig.Logf("burst %d: %d requests served, %d refused, %d failed; the instance has %d descriptors, ready: %t", number+1, served, refused, failed, descriptors(instance), isReady(probe, instance))
		<-next
	}
	close(released)
	return judge(rig, instance, probe, done)
}

// prepare starts an instance and the workers.
func prepare(rig *platform.Rig) ([]*platform.Worker, error) {
	if err := rig.Store.Put("op", "config", platform.Manifest(map[string]any{"name": "t0", "priority": 1})); err != nil {
		return nil, err
	}
	if _, err := rig.StartInstance("za", maxFds); err != nil {
		return nil, err
	}
	fleet, err := start(rig)
	if err != nil {
		return nil, err
	}
	return fleet, rig.AwaitReady()
}

func start(rig *platform.Rig) ([]*platform.Worker, error) {
	var fleet []*platform.Worker
	for range workers {
		worker, err := rig.StartWorker("app", false, answer)
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, worker)
	}
	return fleet, nil
}

// release replaces the workers one after the other until ended is closed: new ones start
// first, and the oldest leave as planned.
func release(rig *platform.Rig, fleet []*platform.Worker, ended <-chan struct{}) {
	for count := 0; ; count += replaced {
		select {
		case <-ended:
			rig.Logf("%d workers were replaced", count)
			return
		case <-time.After(gap):
		}
		for range replaced {
			worker, err := rig.StartWorker("app", false, answer)
			if err != nil {
				rig.Logf("no worker could be started: %s", err)
				return
			}
			fleet[0].Leave()
			fleet = append(fleet[1:], worker)
		}
	}
}

func request() platform.Request {
	return platform.Request{Method: "GET", Path: "/read/a", Host: "app.example", Key: "t0-key", Deadline: time.Second}
}

// burst sends as many requests at once as half the slots of the workers.
func burst(instance *platform.Instance) (served, refused, failed int64) {
	var wait sync.WaitGroup
	var counts [3]atomic.Int64
	for range workers * slots / 2 {
		wait.Go(func() {
			result := instance.Send(platform.NewID(), request())
			switch {
			case result.Err == nil && result.Status == 200:
				counts[0].Add(1)
			case result.Err == nil:
				counts[1].Add(1)
			default:
				counts[2].Add(1)
			}
		})
	}
	wait.Wait()
	return counts[0].Load(), counts[1].Load(), counts[2].Load()
}

// visitors are clients that keep their channels.
type visitors struct {
	// taken counts the channels that were taken, trying the clients without one.
	taken, trying atomic.Int64
}

// keep sends a request a second over a kept channel until done is closed. Without a channel,
// or after a request that failed, it opens a new one.
func (v *visitors) keep(instance *platform.Instance, done <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	hasChannel := false
	v.trying.Add(1)
	for {
		result := instance.SendWith(client, platform.NewID(), request())
		pause := time.Second
		switch answered := result.Status != 0; {
		case answered && !hasChannel:
			hasChannel = true
			v.trying.Add(-1)
			v.taken.Add(1)
		case !answered && hasChannel:
			hasChannel = false
			v.trying.Add(1)
		}
		if !hasChannel {
			pause = 100 * time.Millisecond
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}

// descriptors returns how many descriptors the process has open.
func descriptors(instance *platform.Instance) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", instance.Pid()))
	if err != nil {
		return -1
	}
	return len(entries)
}

// isReady probes the instance over a kept channel.
func isReady(probe *http.Client, instance *platform.Instance) bool {
	response, err := probe.Get("http://" + instance.Ready + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// judge lets clients come, and looks for a time of ContactMs in which no new channel is taken
// while seven of them try and the instance says that it is ready.
func judge(rig *platform.Rig, instance *platform.Instance, probe *http.Client, done <-chan struct{}) int {
	came := &visitors{}
	for range comers {
		go came.keep(instance, done)
	}
	longest, since := time.Duration(0), time.Now()
	lastTaken := int64(0)
	for until := time.Now().Add(observed); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		taken, trying := came.taken.Load(), came.trying.Load()
		if taken != lastTaken || trying < 7 || !isReady(probe, instance) {
			lastTaken, since = taken, time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	verdict := fmt.Sprintf("%d channels of %d clients were taken, %d clients still try; for %d ms no new channel was taken while seven or more tried and the instance said that it is ready, allowed are %d ms; it has %d descriptors",
		came.taken.Load(), comers, came.trying.Load(), longest.Milliseconds(), platform.ContactMs, descriptors(instance))
	rig.Logf("%s", verdict)
	fmt.Println(verdict)
	if longest > platform.ContactMs*time.Millisecond {
		return platform.Broken
	}
	return platform.Held
}
