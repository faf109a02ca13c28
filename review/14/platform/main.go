// Command platform plays the case of a part that crashes workers behind many other parts of
// its prompt.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"wisteriadrum/review/stand-3/platform"
)

const (
	poisonPart = "91bd3f06"
	soundPart  = "91bd3f07"
	// shared is the number of parts before it that all prompts share.
	shared = 36
	// workers is the number of engines, back the time after which a crashed one is back.
	workers = 4
	back    = 2 * time.Second
	// pause is the time between requests with the part, tries their number.
	pause = 1200 * time.Millisecond
	tries = 16
	// streams is the number of clients that send sound requests one after the other.
	streams = 8
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
	done := make(chan struct{})
	var wait sync.WaitGroup
	for first := range streams {
		wait.Go(func() { poison.Stream(first, "t0-key", func(id string) string { return prompt(soundPart, id) }, done) })
	}
	for try := range tries {
		instance := rig.Instances[try%len(rig.Instances)]
		id := platform.NewID()
		result := instance.Send(id, platform.Request{
			Method: "POST", Path: "/chat/a", Host: "llm.example", Key: "t0-key", Deadline: 5 * time.Second,
			Prompt: prompt(poisonPart, id), Usage: "1460,40", Body: []byte("prompt " + id),
		})
		rig.Logf("client sent %s with part %s to %s: %s", id, poisonPart, instance.Name, result)
		time.Sleep(pause)
	}
	close(done)
	wait.Wait()
	return poison.Judge()
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

// prompt returns a prompt of parts that all prompts share, a part and the last one.
func prompt(part, id string) string {
	var parts []string
	for number := range shared {
		parts = append(parts, fmt.Sprintf("5c1e%04x:32", number))
	}
	return strings.Join(append(parts, part+":64", id[8:]+":128"), ",")
}
