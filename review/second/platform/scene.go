package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Results of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scene is what a case runs in: a store, workers, instances and clients on loopback addresses
// of its own.
type scene struct {
	// command is the command of the deploy file, trouble whether the disruption is made.
	command string
	trouble bool
	record  *record
	folder  string
	store   *store

	mu        sync.Mutex
	instances []*instance
	workers   []*worker
	outcomes  []outcome
	lastHost  int
	lastID    atomic.Int64
	stopped   atomic.Bool
	clients   sync.WaitGroup
}

func newScene(command, recordName string, trouble bool) (*scene, error) {
	rec, err := newRecord(recordName)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &scene{command: command, trouble: trouble, record: rec, folder: folder}
	s.store, err = newStore(s.ip() + ":8784")
	return s, err
}

// ip returns another loopback address, of a range that depends on the process.
func (s *scene) ip() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHost++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/240%240, 1+pid%240, s.lastHost)
}

// addWorker starts a worker at an address of its own.
func (s *scene) addWorker(id, service string, slots int, model string, work time.Duration, events int) (*worker, error) {
	w, err := newWorker(id, service, s.ip()+":8080", slots, model, work, events, s.store, s.record)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return w, nil
}

// addInstance starts an instance.
func (s *scene) addInstance(name string, l limits) (*instance, error) {
	i, err := newInstance(s.folder, name, s.ip(), "z1", s.store.address, true, l, s.record)
	if err != nil {
		return nil, err
	}
	if err := i.start(s.command); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.instances = append(s.instances, i)
	s.mu.Unlock()
	return i, nil
}

// newID returns the id of another request.
func (s *scene) newID() string { return fmt.Sprintf("%016x", 0x5000+s.lastID.Add(1)) }

// keepSending lets a client send requests on one kept channel after another, with a pause
// after each, until the scene stops.
func (s *scene) keepSending(address string, pause time.Duration, request func(id string) call) {
	s.clients.Add(1)
	go func() {
		defer s.clients.Done()
		for !s.stopped.Load() {
			c, err := connect(address)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			for keep := true; keep && !s.stopped.Load(); {
				var seen outcome
				seen, keep = c.do(request(s.newID()))
				s.note(seen)
				if keep {
					time.Sleep(max(pause, seen.waits))
				}
			}
			_ = c.conn.Close()
		}
	}()
}

// note records what a client saw.
func (s *scene) note(seen outcome) {
	s.record.add("client: %s", seen)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, seen)
}

// seen returns what the clients saw until now.
func (s *scene) seen() []outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]outcome(nil), s.outcomes...)
}

// ran returns what the workers saw of a request, nil if none has run it.
func (s *scene) ran(id string) *run {
	s.mu.Lock()
	workers := append([]*worker(nil), s.workers...)
	s.mu.Unlock()
	for _, w := range workers {
		if r := w.found(id); r != nil {
			return r
		}
	}
	return nil
}

// stopClients ends the clients after their current requests.
func (s *scene) stopClients() {
	s.stopped.Store(true)
	s.clients.Wait()
}

// close ends all processes and writes the runs of the workers to the record.
func (s *scene) close() {
	s.stopped.Store(true)
	for _, i := range s.instances {
		i.kill()
	}
	for _, w := range s.workers {
		_ = w.server.Close()
		w.mu.Lock()
		for _, id := range w.order {
			r := w.runs[id]
			s.record.add("worker %s ran %s for tenant %q with salt %q from %.3f to %.3f, whole answer written: %t, parts reused: %v, of other tenants: %v", w.id, id, r.tenant, r.salt,
				r.begunAt.Sub(s.record.startedAt).Seconds(), r.endedAt.Sub(s.record.startedAt).Seconds(), r.complete, r.reused, r.foreign)
		}
		w.mu.Unlock()
	}
	for _, i := range s.instances {
		for _, line := range i.lastLog("panic", "goroutine ", "DATA RACE", "wisteriadrum:", "\"serve") {
			s.record.add("log of %s: %.300s", i.name, line)
		}
	}
	_ = os.RemoveAll(filepath.Clean(s.folder))
}
