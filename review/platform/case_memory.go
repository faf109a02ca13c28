package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// loadClients are the channels of clients of each kind at each instance.
const loadClients = 8

// troubleTime is how long the worker is in trouble.
const troubleTime = 6500 * time.Millisecond

// maxLost is how many requests a machine may lose.
const maxLost = 3

// load sends each of the requests over a kept channel of its own to all instances until
// stop is set, and returns what became of them.
func (s *scene) load(stop *atomic.Bool, requests []request) func() []outcome {
	var mu sync.Mutex
	var all []outcome
	var clients sync.WaitGroup
	for _, i := range s.instances {
		for _, r := range requests {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := s.newChannel(i)
				defer c.close()
				for !stop.Load() {
					o := c.send(r)
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
					if o.status != http.StatusOK {
						time.Sleep(300 * time.Millisecond)
					}
					time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
				}
			}()
		}
	}
	return func() []outcome {
		clients.Wait()
		return all
	}
}

// judgeLost returns how often a machine closed a kept channel without an answer to a
// request that it had passed on to a sound worker, if that was too often.
func (s *scene) judgeLost(all []outcome, sick *worker) string {
	lost := map[string]int{}
	for _, o := range all {
		if !o.kept || !o.closed || o.status != 0 {
			continue
		}
		for _, r := range s.runsOf(o.id) {
			if r.worker != sick.name {
				lost[o.instance]++
				s.note("lost", "%s at %s ran at %s", o.id, o.instance, r.worker)
				break
			}
		}
	}
	broken := ""
	for _, i := range s.instances {
		ends := i.endedByItself()
		s.note("count", "%s lost %d requests, %d of its processes ended by themselves", i.name, lost[i.name], ends)
		if lost[i.name] > maxLost {
			broken += fmt.Sprintf("LOST: %s lost %d requests that it had passed on to sound workers from kept channels, %d of its processes ended by themselves; ", i.name, lost[i.name], ends)
		}
	}
	return broken
}

// startLoaded starts workers, instances and clients. The last worker is the one to fall
// sick.
func (s *scene) startLoaded(engines int) (sick *worker, stop *atomic.Bool, outcomes func() []outcome, err error) {
	s.putManifest(1)
	s.putVersion(1)
	for _, name := range []string{"a-1", "a-2"} {
		if _, err := s.newWorker(name, plain, 200*time.Millisecond, 0, 0); err != nil {
			return nil, nil, nil, err
		}
	}
	for index := range engines {
		if sick, err = s.newWorker(fmt.Sprintf("w-%d", index+1), service, 0, 400*time.Millisecond, 600*time.Millisecond); err != nil {
			return nil, nil, nil, err
		}
	}
	if err := s.startInstances(3); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(contactTime)
	stop = &atomic.Bool{}
	return sick, stop, s.loadWith(stop, loadClients, loadClients), nil
}

// runEndless lets one worker answer everything with bytes without an end and names new
// weights. It checks that no machine loses requests at sound workers. With VARIANT=length
// the head of these answers has a length that nobody can send. With VARIANT=answer the
// worker fails requests with such a body, and no weights are named.
func runEndless(s *scene) (string, error) {
	variant := os.Getenv("VARIANT")
	s.note("variant", "%q", variant)
	sick, stop, outcomes, err := s.startLoaded(4)
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.note("trouble", "%s answers with bytes that do not end", sick.name)
		switch variant {
		case "length":
			sick.sickHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000000000000000\r\n\r\n"
		case "answer":
			sick.sickHead = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\n\r\n"
		}
		sick.sick.Store(true)
		time.AfterFunc(troubleTime, func() {
			sick.sick.Store(false)
			s.note("trouble", "%s is sound again", sick.name)
		})
	}
	time.Sleep(2 * time.Second)
	if variant != "answer" {
		s.putVersion(2)
	}
	time.Sleep(12 * time.Second)
	stop.Store(true)
	return s.judgeLost(outcomes(), sick), nil
}
