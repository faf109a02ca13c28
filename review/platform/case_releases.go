package main

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// releaseGap is the pause between two workers of a service that are replaced.
	releaseGap = time.Second
	// engineChannels and plainChannels are the channels at each instance over which
	// clients send streams and bookings.
	engineChannels, plainChannels = 300, 45
	engines, plainWorkers         = 9, 3
	releasesTime                  = 90 * time.Second
)

// runReleases replaces the workers of both services one after the other, again and again.
// It checks that no machine loses requests at workers that do not leave.
func runReleases(s *scene) (string, error) {
	s.putManifest(1)
	s.putVersion(1)
	var current [2][]*worker
	start := func(kind, number int) error {
		var w *worker
		var err error
		if kind == 0 {
			w, err = s.newWorker(fmt.Sprintf("w-%d", number), service, 0, 800*time.Millisecond, 300*time.Millisecond)
		} else {
			w, err = s.newWorker(fmt.Sprintf("a-%d", number), plain, 60*time.Millisecond, 0, 0)
		}
		if err == nil {
			current[kind] = append(current[kind], w)
		}
		return err
	}
	for kind, count := range []int{engines, plainWorkers} {
		for number := range count {
			if err := start(kind, number); err != nil {
				return "", err
			}
		}
	}
	if err := s.startInstances(2); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	stop := &atomic.Bool{}
	outcomes := s.loadWith(stop, plainChannels, engineChannels)
	probed := make(chan struct{})
	go s.probe(stop, probed)
	begun := time.Now()
	ended := func() bool {
		for _, i := range s.instances {
			if i.endedByItself() > 0 {
				return true
			}
		}
		return false
	}
	for number := 100; time.Since(begun) < releasesTime && !ended(); number++ {
		time.Sleep(releaseGap)
		if !s.trouble {
			continue
		}
		for kind := range current {
			if err := start(kind, number); err != nil {
				return "", err
			}
			old := current[kind][0]
			current[kind] = current[kind][1:]
			go old.leave()
		}
		for _, i := range s.instances {
			s.note("sockets", "%s has %d descriptors", i.name, i.descriptors())
		}
	}
	time.Sleep(2 * time.Second)
	stop.Store(true)
	all := outcomes()
	<-probed
	return s.judgeLost(all, &worker{}), nil
}

// probe asks each instance once a second whether it is ready, as the platform does.
func (s *scene) probe(stop *atomic.Bool, done chan<- struct{}) {
	defer close(done)
	for !stop.Load() {
		for _, i := range s.instances {
			if !i.ready() {
				s.note("probe", "%s is not ready", i.name)
			}
		}
		time.Sleep(time.Second)
	}
}

// descriptors returns the number of open descriptors of the process.
func (i *instance) descriptors() int {
	i.mu.Lock()
	pid := i.command.Process.Pid
	i.mu.Unlock()
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // none if it has ended
	return len(files)
}

// loadWith sends requests over so many channels to each instance until stop is set.
func (s *scene) loadWith(stop *atomic.Bool, plainCount, streamCount int) func() []outcome {
	var requests []request
	for range plainCount {
		requests = append(requests, request{method: http.MethodPost, path: "/book/x", limit: 1500 * time.Millisecond})
	}
	for index := range streamCount {
		requests = append(requests, request{method: http.MethodPost, path: "/check/x", stream: true, parts: fmt.Sprintf("ab%02d:300,cd%04d:100", index%40, index), limit: 8 * time.Second})
	}
	return s.load(stop, requests)
}
