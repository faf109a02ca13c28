// Command platform plays the case of a sound part of prompts that is refused for the crashes
// of the part before it.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"wisteriadrum/review/stand-3/platform"
)

const (
	// poisonPart is the first part of some prompts, soundPart that of others. All have
	// sharedPart next.
	poisonPart = "5c1e07a2"
	soundPart  = "5c1e07a3"
	sharedPart = "91bd3f06"
	// workers is the number of engines, back the time after which a crashed one is back.
	workers = 6
	back    = 2 * time.Second
	// interval is the interval of the sound requests, sample how many are counted
	// before and after at least.
	interval = 500 * time.Millisecond
	sample   = 30
	// batch is how many requests with the part a client sends one after the other, batchPause
	// the time between.
	batch      = 5
	batchPause = 50 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	rig, err := platform.NewRig(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NoResult
	}
	defer rig.Close()
	poison := &platform.Poison{Rig: rig, Part: poisonPart, Back: back}
	if err := prepare(rig, poison); err != nil {
		rig.Logf("the case could not run: %s", err)
		fmt.Println(err)
		return platform.NoResult
	}
	var wait sync.WaitGroup
	ended := make(chan struct{})
	traffic := &traffic{rig: rig}
	wait.Go(func() { traffic.send(ended) })
	time.Sleep(sample*interval + time.Second)
	begun := time.Now()
	wait.Go(func() { sendPoison(rig, ended) })
	time.Sleep(time.Second)
	settled := time.Now().Add(2 * platform.ContactMs * time.Millisecond)
	crashes := poison.Crashes()
	rig.Logf("%d crashes; sound requests count from %d ms from now on", crashes, 2*platform.ContactMs)
	time.Sleep(time.Until(settled) + sample*interval + time.Second)
	close(ended)
	wait.Wait()
	before, beforeAll := traffic.count(time.Time{}, begun)
	after, afterAll := traffic.count(settled, time.Now())
	verdict := fmt.Sprintf("%d crashes; %d of %d sound requests began at the first attempt before, %d of %d later than %d ms after the last crash while requests with part %s still come; less than half as often breaks the rule", poison.Crashes(), before, beforeAll, after, afterAll, 2*platform.ContactMs, poisonPart)
	rig.Logf("%s", verdict)
	fmt.Println(verdict)
	switch {
	case beforeAll < 20 || afterAll < 20 || before == 0 || poison.Crashes() != crashes && crashes < 5:
		return platform.NoResult
	case 2*after*beforeAll < before*afterAll:
		return platform.Broken
	default:
		return platform.Held
	}
}

// prepare writes the manifest and starts instances and workers.
func prepare(rig *platform.Rig, poison *platform.Poison) error {
	if err := rig.Store.Put("op", "config", platform.Manifest(map[string]any{"name": "t0", "priority": 1, "isolated": false})); err != nil {
		return err
	}
	for range 2 {
		if _, err := rig.StartInstance("za", 0); err != nil {
			return err
		}
	}
	for range workers {
		if _, err := rig.StartWorker("engines", true, poison.Run); err != nil {
			return err
		}
	}
	return rig.AwaitReady()
}

// traffic is the sound requests of the caller.
type traffic struct {
	rig  *platform.Rig
	mu   sync.Mutex
	sent []sound
}

// sound is a sound request: when it was sent, and whether its answer began.
type sound struct {
	at    time.Time
	begun bool
}

// send sends sound requests at an interval, to the instances in turn, until ended is closed.
func (t *traffic) send(ended <-chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for number := 0; ; number++ {
		at := time.Now()
		wait.Go(func() {
			begun := ask(t.rig, t.rig.Instances[number%len(t.rig.Instances)], soundPart)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent = append(t.sent, sound{at, begun})
		})
		select {
		case <-ended:
			return
		case <-time.After(interval):
		}
	}
}

// count returns how many of the requests that were sent between two times began, and their
// number.
func (t *traffic) count(from, to time.Time) (begun, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, request := range t.sent {
		if request.at.Before(from) || !request.at.Before(to) {
			continue
		}
		all++
		if request.begun {
			begun++
		}
	}
	return begun, all
}

// sendPoison sends a batch of requests with the part, each after the answer to the one before,
// and then one a second until ended is closed.
func sendPoison(rig *platform.Rig, ended <-chan struct{}) {
	for number := 0; ; number++ {
		ask(rig, rig.Instances[number%len(rig.Instances)], poisonPart)
		pause := time.Second
		if number < batch {
			pause = batchPause
		}
		select {
		case <-ended:
			return
		case <-time.After(pause):
		}
	}
}

// ask sends a request whose prompt begins with a part and reports whether an answer began.
func ask(rig *platform.Rig, instance *platform.Instance, part string) bool {
	id := platform.NewID()
	result := instance.Send(id, platform.Request{
		Method: "POST", Path: "/chat/a", Host: "llm.example", Key: "t0-key", Deadline: 5 * time.Second,
		Prompt: part + ":800," + sharedPart + ":410," + id[8:] + ":250", Usage: "1460,40", Body: []byte("prompt " + id),
	})
	rig.Logf("client sent %s with parts %s, %s to %s: %s", id, part, sharedPart, instance.Name, result)
	return result.Status == 200 && len(result.Body) > 0
}
