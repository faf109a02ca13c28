package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"
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
}

// Run answers a request for a stream, and crashes its worker if the prompt has the part.
func (p *Poison) Run(call *Call) bool {
	if !slices.Contains(call.Parts, p.Part) {
		return call.Stream(4, 10*time.Millisecond)
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	arrival := len(p.arrivals)
	p.mu.Unlock()
	p.Rig.Logf("worker %s runs %s (tenant %s) with part %s: arrival %d of that part", call.Worker.ID, call.ID, call.Header.Get("X-Tenant"), p.Part, arrival)
	if !p.Rig.Trouble {
		return call.Stream(4, 10*time.Millisecond)
	}
	if p.EventsBefore > 0 {
		_ = call.BeginStream()
		for number := 1; number <= p.EventsBefore; number++ {
			_ = call.Event(number)
		}
		time.Sleep(20 * time.Millisecond)
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
	bound, count := p.crashes[4].Add(ContactMs*time.Millisecond), 0
	for _, at := range p.arrivals {
		if at.After(bound) {
			count++
		}
	}
	return count
}

// Judge records the verdict of the rule and returns the exit code.
func (p *Poison) Judge() int {
	p.mu.Lock()
	arrivals, crashes := len(p.arrivals), len(p.crashes)
	p.mu.Unlock()
	late := p.Late()
	verdict := fmt.Sprintf("%d requests with part %s reached workers, %d crashes; %d reached workers later than %d ms after the fifth crash, allowed are 3", arrivals, p.Part, crashes, late, ContactMs)
	p.Rig.Logf("%s", verdict)
	fmt.Println(verdict)
	if late > 3 {
		return Broken
	}
	return Held
}
