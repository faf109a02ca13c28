// Package limiter admits requests within the limits of their workspaces and
// of the instance.
package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/tenant"
)

const (
	// reserve is the share of the instance's room kept for priorities above 0.
	reserve    = 0.2
	busyPause  = time.Second
	flightWait = 500 * time.Millisecond
)

// Limiter admits requests at one instance.
type Limiter struct {
	most   int
	flight atomic.Int64
	sharer atomic.Int64
	mu     sync.Mutex
	rooms  map[string]*room
}

// room is what one workspace uses.
type room struct {
	flight atomic.Int64
	rate   *rate.Limiter
}

// New returns a limiter that admits at most the given number of requests at once.
func New(most int) *Limiter {
	l := &Limiter{most: most, rooms: map[string]*room{}}
	l.sharer.Store(1)
	return l
}

// SetInstances divides the workspaces' rates among the given number of instances.
func (l *Limiter) SetInstances(instances int) { l.sharer.Store(int64(max(instances, 1))) }

// InFlight returns the number of requests admitted and not released.
func (l *Limiter) InFlight() int { return int(l.flight.Load()) }

// Admit admits a request of workspace at now and returns the function that
// releases it, or a refusal with the time of a useful retry.
func (l *Limiter) Admit(workspace tenant.Workspace, now time.Time) (func(), error) {
	room := l.room(workspace)
	if workspace.Rate > 0 && !room.rate.AllowN(now, 1) {
		pause := time.Duration(float64(time.Second) / float64(room.rate.Limit()))
		return nil, refuser.New(refuser.RateLimited, judge.NotRun, "workspace %s is above its rate", workspace.Name).WithRetryAt(now.Add(pause))
	}
	if used := room.flight.Add(1); workspace.MaxInFlight > 0 && int(used) > workspace.MaxInFlight {
		room.flight.Add(-1)
		return nil, refuser.New(refuser.RateLimited, judge.NotRun, "workspace %s has %d requests in flight", workspace.Name, used-1).WithRetryAt(now.Add(flightWait))
	}
	if used := l.flight.Add(1); int(used) > l.limit(workspace.Priority) {
		l.flight.Add(-1)
		room.flight.Add(-1)
		return nil, refuser.New(refuser.Overloaded, judge.NotRun, "the instance has %d requests in flight", used-1).WithRetryAt(now.Add(busyPause))
	}
	return func() {
		l.flight.Add(-1)
		room.flight.Add(-1)
	}, nil
}

func (l *Limiter) limit(priority int) int {
	if priority > 0 {
		return l.most
	}
	return int(float64(l.most) * (1 - reserve))
}

func (l *Limiter) room(workspace tenant.Workspace) *room {
	share := rate.Limit(workspace.Rate / float64(l.sharer.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.rooms[workspace.Name]
	if known == nil {
		known = &room{rate: rate.NewLimiter(share, max(workspace.Burst, 1))}
		l.rooms[workspace.Name] = known
	}
	if known.rate.Limit() != share {
		known.rate.SetLimit(share)
	}
	if known.rate.Burst() != max(workspace.Burst, 1) {
		known.rate.SetBurst(max(workspace.Burst, 1))
	}
	return known
}
