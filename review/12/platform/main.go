// Command platform plays the case of a sound part of prompts that is refused for the crashes
// of the part before it.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
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
	// interval is the interval of the sound requests, sample how many are counted before
	// and after.
	interval = 500 * time.Millisecond
	sample   = 30
	// batch is how many requests with the part a client sends one after the other.
	batch = 5
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
	before := sound(rig)
	rig.Logf("before: %d of %d sound requests began at the first attempt", before, sample)
	var wait sync.WaitGroup
	ended := make(chan struct{})
	wait.Go(func() { sendPoison(rig, ended) })
	time.Sleep(time.Second)
	settled := 2*platform.ContactMs*time.Millisecond + time.Second
	rig.Logf("%d crashes; sound requests count from %s on", poison.Crashes(), settled)
	time.Sleep(settled)
	crashes := poison.Crashes()
	after := sound(rig)
	close(ended)
	wait.Wait()
	verdict := fmt.Sprintf("%d crashes; %d of %d sound requests began at the first attempt before, %d of %d later than %d ms after the last crash while requests with part %s still come; less than half as many breaks the rule", poison.Crashes(), before, sample, after, sample, 2*platform.ContactMs, poisonPart)
	rig.Logf("%s", verdict)
	fmt.Println(verdict)
	switch {
	case before < sample/2 || poison.Crashes() != crashes && crashes < 5:
		return platform.NoResult
	case 2*after < before:
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

// sound sends sound requests at an interval, to the instances in turn, and returns how many
// began at the first attempt.
func sound(rig *platform.Rig) int {
	var wait sync.WaitGroup
	var begun atomic.Int64
	for number := range sample {
		wait.Go(func() {
			if ask(rig, rig.Instances[number%len(rig.Instances)], soundPart) {
				begun.Add(1)
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return int(begun.Load())
}

// sendPoison sends a batch of requests with the part, each after the answer to the one before,
// and then one a second until ended is closed.
func sendPoison(rig *platform.Rig, ended <-chan struct{}) {
	for number := 0; ; number++ {
		ask(rig, rig.Instances[number%len(rig.Instances)], poisonPart)
		pause := time.Second
		if number < batch {
			pause = 0
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
