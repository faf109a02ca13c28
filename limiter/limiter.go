// Package limiter enforces the rate and concurrency limits of workspaces and the
// concurrency limit of the instance.
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
	// priorityReserve is the share of the instance's limit that is reserved for
	// workspaces with a priority above 0.
	priorityReserve       = 0.2
	overloadRetryAfter    = time.Second
	concurrencyRetryAfter = 500 * time.Millisecond
)

// Limiter admits requests at one instance.
type Limiter struct {
	maxInFlight int
	inFlight    atomic.Int64
	instances   atomic.Int64
	mu          sync.Mutex
	usages      map[string]*usage // by workspace
}

// usage is the current usage of one workspace.
type usage struct {
	inFlight atomic.Int64
	rate     *rate.Limiter
}

// New returns a limiter that admits at most maxInFlight requests at once.
func New(maxInFlight int) *Limiter {
	l := &Limiter{maxInFlight: maxInFlight, usages: map[string]*usage{}}
	l.instances.Store(1)
	return l
}

// SetInstances sets the number of instances among which the rate limits of the
// workspaces are divided.
func (l *Limiter) SetInstances(instances int) { l.instances.Store(int64(max(instances, 1))) }

// InFlight returns the number of requests admitted and not released.
func (l *Limiter) InFlight() int { return int(l.inFlight.Load()) }

// Admit admits a request of workspace at now. It returns a function that must be
// called when the request ends, or a refusal with the earliest time for a retry.
func (l *Limiter) Admit(workspace tenant.Workspace, now time.Time) (func(), error) {
	usage := l.usage(workspace)
	if workspace.Rate > 0 && !usage.rate.AllowN(now, 1) {
		retryAfter := time.Duration(float64(time.Second) / float64(usage.rate.Limit()))
		return nil, refuser.New(refuser.RateLimited, judge.NotRun, "workspace %s is above its rate", workspace.Name).WithRetryAt(now.Add(retryAfter))
	}
	if used := usage.inFlight.Add(1); workspace.MaxInFlight > 0 && int(used) > workspace.MaxInFlight {
		usage.inFlight.Add(-1)
		return nil, refuser.New(refuser.RateLimited, judge.NotRun, "workspace %s has %d requests in flight", workspace.Name, used-1).WithRetryAt(now.Add(concurrencyRetryAfter))
	}
	if used := l.inFlight.Add(1); int(used) > l.limit(workspace.Priority) {
		l.inFlight.Add(-1)
		usage.inFlight.Add(-1)
		return nil, refuser.New(refuser.Overloaded, judge.NotRun, "the instance has %d requests in flight", used-1).WithRetryAt(now.Add(overloadRetryAfter))
	}
	return func() {
		l.inFlight.Add(-1)
		usage.inFlight.Add(-1)
	}, nil
}

func (l *Limiter) limit(priority int) int {
	if priority > 0 {
		return l.maxInFlight
	}
	return int(float64(l.maxInFlight) * (1 - priorityReserve))
}

func (l *Limiter) usage(workspace tenant.Workspace) *usage {
	share := rate.Limit(workspace.Rate / float64(l.instances.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.usages[workspace.Name]
	if current == nil {
		current = &usage{rate: rate.NewLimiter(share, max(workspace.Burst, 1))}
		l.usages[workspace.Name] = current
	}
	if current.rate.Limit() != share {
		current.rate.SetLimit(share)
	}
	if current.rate.Burst() != max(workspace.Burst, 1) {
		current.rate.SetBurst(max(workspace.Burst, 1))
	}
	return current
}
