package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// A sound stream has soundEvents events with soundPause between them.
const (
	soundEvents = 6
	soundPause  = 60 * time.Millisecond
)

// Poison is the part of a prompt that crashes each worker that begins to write an answer on
// it, and what the workers have seen of it.
type Poison struct {
	Rig *Rig
	// Part is its id. EventsBefore is how many events a worker writes before it crashes.
	Part         string
	EventsBefore int
	// Back is the time after which a crashed worker is back.
	Back time.Duration

	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	// served counts the sound streams that were served whole, lost are the ends of those that
	// were lost after a worker had begun to run them.
	served int
	lost   []time.Time
}

// Stream lets a client send sound requests for streams one after the other, to the instances in
// turn, until done is closed. prompt returns the prompt of the request with an id.
func (p *Poison) Stream(first int, key string, prompt func(id string) string, done <-chan struct{}) {
	for number := first; ; number++ {
		select {
		case <-done:
			return
		default:
		}
		id := NewID()
		result := p.Rig.Instances[number%len(p.Rig.Instances)].Send(id, Request{
			Method: "POST", Path: "/chat/a", Host: "llm.example", Key: key, Deadline: 5 * time.Second,
			Prompt: prompt(id), Usage: "1460,40", Body: []byte("prompt " + id),
		})
		p.mu.Lock()
		switch {
		case result.Err == nil && result.Status == 200:
			p.served++
		case result.Status == 502 || result.Status == 200:
			p.lost = append(p.lost, time.Now())
			p.Rig.Logf("sound stream %s was lost: %s", id, result)
		}
		p.mu.Unlock()
	}
}

// Run answers a request for a stream, and crashes its worker if the prompt has the part.
func (p *Poison) Run(call *Call) bool {
	if !slices.Contains(call.Parts, p.Part) {
		return call.Stream(soundEvents, soundPause)
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	arrival := len(p.arrivals)
	p.mu.Unlock()
	p.Rig.Logf("worker %s runs %s (tenant %s) with part %s: arrival %d of that part", call.Worker.ID, call.ID, call.Header.Get("X-Tenant"), p.Part, arrival)
	if !p.Rig.Trouble {
		return call.Stream(soundEvents, soundPause)
	}
	if p.EventsBefore > 0 {
		_ = call.BeginStream()
		for number := 1; number <= p.EventsBefore; number++ {
			_ = call.Event(number)
		}
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	crash := len(p.crashes)
	p.mu.Unlock()
	p.Rig.Logf("worker %s crashes, crash %d by that part; back after %s", call.Worker.ID, crash, p.Back)
	call.Worker.Crash(p.Back)
	return false
}

// Crashes returns the number of crashes.
func (p *Poison) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes)
}

// Late returns how many requests with the part reached workers later than ContactMs after the
// fifth crash.
func (p *Poison) Late() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 5 {
		return 0
	}
	return after(p.arrivals, p.crashes[4].Add(ContactMs*time.Millisecond))
}

// LateLost returns how many sound streams were lost later than that.
func (p *Poison) LateLost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 5 {
		return 0
	}
	return after(p.lost, p.crashes[4].Add(ContactMs*time.Millisecond))
}

// after returns how many times are later than a bound.
func after(times []time.Time, bound time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(bound) {
			count++
		}
	}
	return count
}

// Judge records the verdict of the rule and returns the exit code.
func (p *Poison) Judge() int {
	p.mu.Lock()
	arrivals, crashes, served, lost := len(p.arrivals), len(p.crashes), p.served, len(p.lost)
	p.mu.Unlock()
	late := p.Late()
	verdict := fmt.Sprintf("%d requests with part %s reached workers, %d crashes; %d reached workers later than %d ms after the fifth crash, allowed are 3; %d sound streams served, %d lost with workers, %d of them later than that", arrivals, p.Part, crashes, late, ContactMs, served, lost, p.LateLost())
	p.Rig.Logf("%s", verdict)
	fmt.Println(verdict)
	if late > 3 {
		return Broken
	}
	return Held
}
