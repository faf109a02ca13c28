package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// scene holds the stand-ins and processes of a case and its record.
type scene struct {
	trouble bool
	begun   time.Time
	folder  string
	program []string
	store   *store

	mu        sync.Mutex
	file      *os.File
	writer    *bufio.Writer
	instances []*instance
	listeners []net.Listener
	// subnet and nextHost give each instance a loopback address of its own, since the
	// port of the metrics is the same at all.
	subnet   string
	nextHost int
	// runs are the requests that workers ran, by id.
	runs map[string][]ran
}

// ran is one run of a request at a worker.
type ran struct {
	worker   string
	at       time.Time
	key      string
	tenant   string
	complete bool
}

func newScene(record string, program []string, trouble bool) (*scene, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	s := &scene{
		trouble: trouble, begun: time.Now(), folder: folder, program: program, file: file, writer: bufio.NewWriter(file),
		subnet: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)), nextHost: 1, runs: map[string][]ran{},
	}
	s.store = newStore(s)
	s.note("case", "trouble=%t program=%v", trouble, program)
	return s, nil
}

// note writes a line to the record.
func (s *scene) note(what, format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.writer, "%9.3f %-8s %s\n", time.Since(s.begun).Seconds(), what, fmt.Sprintf(format, arguments...))
}

// end ends all processes, closes the listeners and completes the record.
func (s *scene) end() {
	for _, i := range s.instances {
		i.end()
	}
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.writer.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.folder)
}

// listen opens a listener at a free port of the loopback interface.
func (s *scene) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
	return listener, nil
}

// recordRun records that a worker began to run a request, and returns the function that
// records its complete answer.
func (s *scene) recordRun(id string, r ran) func() {
	s.mu.Lock()
	index := len(s.runs[id])
	s.runs[id] = append(s.runs[id], r)
	s.mu.Unlock()
	s.note("run", "%s at %s tenant=%q key=%q", id, r.worker, r.tenant, r.key)
	return func() {
		s.mu.Lock()
		s.runs[id][index].complete = true
		s.mu.Unlock()
		s.note("ran", "%s at %s", id, r.worker)
	}
}

// runsOf returns the runs of a request.
func (s *scene) runsOf(id string) []ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ran(nil), s.runs[id]...)
}

// await waits until done returns true.
func await(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}
