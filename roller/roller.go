// Package roller rolls out the newest weights to engines. Only the instance
// that holds a lease sends orders; it announces to the others which engines are
// out of service.
package roller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/holder"
	"wisteriadrum/leaser"
	"wisteriadrum/monitor"
	"wisteriadrum/registrar"
	"wisteriadrum/sharer"
)

const (
	roundInterval = 100 * time.Millisecond
	// idleInterval is the interval of rounds while no engine is outdated.
	idleInterval = time.Second
	callTimeout  = time.Second
	// orderTimeout is the time after which an order counts as not answered.
	orderTimeout = 500 * time.Millisecond
	// loadTimeout is how long an engine is assumed to load weights unless it
	// reports that it is still busy.
	loadTimeout = 3 * time.Second
	// reportPause is the pause before an engine that did not report is called
	// again.
	reportPause = 500 * time.Millisecond
	// candidateDelay is how long an instance waits for each candidate that
	// precedes it before it tries to acquire the lease.
	candidateDelay = 2 * time.Second
	// acquirePause is the pause after the lease could not be acquired.
	acquirePause = 500 * time.Millisecond
	// announceDelay is the time for the other instances to receive that an
	// engine goes out of service before it is ordered.
	announceDelay = 60 * time.Millisecond
	// maxQueueWait bounds the wait until the requests in the queue of an engine
	// run, and announceInterval is the interval at which the loading of an
	// engine is announced again.
	maxQueueWait     = 600 * time.Millisecond
	announceInterval = loadTimeout / 6
	// updateWeight is the weight of the last update in the moving average of
	// their times.
	updateWeight = 0.2
)

// Errors of an order.
var (
	// ErrFenced means that the engine has accepted an order with a higher
	// fencing token.
	ErrFenced = errors.New("order has an outdated fencing token")
	// ErrBusy means that another order is being executed or was executed since
	// the report.
	ErrBusy = errors.New("engine has accepted another order")
	// ErrOutcomeUnknown means that the order may or may not be executed.
	ErrOutcomeUnknown = errors.New("order was not answered")
)

// Report is the state of an engine.
type Report struct {
	// Weights are the versions of the weights by model.
	Weights map[string]int
	// Busy means that an order is being executed.
	Busy bool
	// AcceptedOrders is the number of orders accepted so far.
	AcceptedOrders int
}

// Order makes an engine load a version of a model.
type Order struct {
	Model        string
	Version      int
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine has accepted
	// before. The engine refuses the order if the numbers differ.
	ExpectedOrders int
}

// EngineClient makes control calls to engines.
type EngineClient interface {
	// Report requests the state of an engine.
	Report(ctx context.Context, engine monitor.Entry) (Report, error)
	// Order sends an order to an engine. The error is ErrFenced, ErrBusy,
	// ErrOutcomeUnknown or another one if the engine refused the order.
	Order(ctx context.Context, engine monitor.Entry, order Order) error
}

// Roller sends orders while this instance holds the lease.
type Roller struct {
	name       string
	registrar  *registrar.Registrar
	engines    EngineClient
	lease      *leaser.Leaser
	tableEra   func() uint64
	sharer     *sharer.Sharer
	orderPause time.Duration
	count      *counter.Counter
	log        *zap.Logger
	now        func() time.Time

	held holder.Value[leaser.Lease]
	// observedEra is the era of the table in which the row of the lease was read last.
	observedEra uint64
	// vacantSince is when there were outdated engines and no other instance that
	// led their rollout, zero if there are none.
	vacantSince time.Time
	// retiring means that this instance must not acquire the lease any more.
	retiring atomic.Bool
	// acquireAt is when this instance may try to acquire the lease again.
	acquireAt time.Time
	// ordering is read-locked while an order is sent, and guards stopped and
	// lastOrder.
	ordering  sync.RWMutex
	stopped   bool
	lastOrder time.Time
	mu        sync.Mutex
	// updating holds the engines that are being updated, and whether they are out of
	// service for that.
	updating map[uint64]bool
	// failures counts the updates of an engine that failed since one succeeded.
	failures map[uint64]int
	// updateMillis is a moving average of the time that an update took.
	updateMillis float64
	// retryAt is when an engine that did not report is called again.
	retryAt map[uint64]time.Time
}

// New returns a roller for the instance named name. orderPause is the minimum
// time between the last order of one lease holder and the first of the next.
// tableEra returns the newest known era of the table with the lease, 0 if it has none. now
// is a clock that continues while the process is suspended.
func New(name string, state *registrar.Registrar, engines EngineClient, lease *leaser.Leaser, tableEra func() uint64, stateSharer *sharer.Sharer, orderPause time.Duration, count *counter.Counter, log *zap.Logger, now func() time.Time) *Roller {
	return &Roller{name: name, registrar: state, engines: engines, lease: lease, tableEra: tableEra, sharer: stateSharer, orderPause: orderPause, count: count, log: log, now: now, updating: map[uint64]bool{}, failures: map[uint64]int{}, retryAt: map[uint64]time.Time{}}
}

// Run sends orders until ctx ends.
func (r *Roller) Run(ctx context.Context) {
	pause := roundInterval
	for ctx.Err() == nil {
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-r.registrar.VersionAdded():
		case <-ctx.Done():
		}
		timer.Stop()
		pause = idleInterval
		if r.round(ctx) {
			pause = roundInterval
		}
	}
}

// task is the rollout of one model.
type task struct {
	model   string
	version int
	// engines is the number of engines that serve the model, outdated the number
	// of those with old weights, and candidates are the outdated ones that can
	// be ordered now.
	engines    int
	outdated   int
	candidates []OutdatedEngine
	// olderUntil is when requests must no longer start on the oldest weights in
	// use.
	olderUntil time.Time
}

// round orders the engines that are due, and reports whether any engine is
// outdated.
func (r *Roller) round(ctx context.Context) bool {
	now := r.now()
	if r.hasStopped() {
		return false
	}
	held := r.held.Load()
	if !held.Valid(now) {
		r.sharer.SetLeading(false) // the lease ends without a renewal while the process is suspended
	}
	if r.rank() < 0 && !held.Valid(now) {
		return false
	}
	if !held.Valid(now) {
		r.observeLease(ctx)
	}
	tasks := r.tasks()
	if len(tasks) == 0 {
		r.vacantSince = time.Time{}
		return false
	}
	if r.vacantSince.IsZero() || r.sharer.OtherLeads() {
		r.vacantSince = now
	}
	if r.retiring.Load() && !held.Valid(now) {
		return true
	}
	if !held.Valid(now.Add(callTimeout/2)) && !r.acquire(ctx) {
		return true
	}
	if r.pausing(r.held.Load()) || r.held.Load().Reserved && !r.acquire(ctx) {
		return true
	}
	for _, t := range tasks {
		for _, engine := range Plan(r.rollout(t), r.now()) {
			r.startUpdate(ctx, engine.Endpoint, t)
		}
	}
	return true
}

// tasks returns the models of which some engines have old weights.
func (r *Roller) tasks() []task {
	var tasks []task
	now := time.Now()
	for model, versions := range r.registrar.VersionsByModel() {
		t := task{model: model, version: versions.Newest()}
		for _, endpoint := range r.registrar.Fleet().All() {
			view := endpoint.View(model, now)
			if view.Weights == 0 || view.Leaving {
				continue
			}
			t.engines++
			if until, obsolete := versions.UsableUntil(view.Weights); obsolete {
				t.addOutdated(until)
			}
			if view.Weights < versions.Newest() && !r.isUnavailable(endpoint.Key) && !isHeld(endpoint) {
				t.candidates = append(t.candidates, OutdatedEngine{Endpoint: endpoint, InFlight: view.Load.Requests, Version: view.Weights, Failures: r.failureCount(endpoint.Key)})
			}
		}
		if t.outdated > 0 {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// addOutdated counts an engine whose weights may be used until the given time.
func (t *task) addOutdated(until time.Time) {
	if t.outdated == 0 || until.Before(t.olderUntil) {
		t.olderUntil = until
	}
	t.outdated++
}

// rollout returns the state of the rollout that Plan decides on.
func (r *Roller) rollout(t task) Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Rollout{Engines: t.engines, Updating: r.outOfService(), Outdated: t.outdated, Candidates: t.candidates, OlderUntil: t.olderUntil, UpdateMillis: r.updateMillis}
}

// failureCount returns the number of updates of an engine that failed since one
// succeeded.
func (r *Roller) failureCount(key uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures[key]
}

// isUnavailable reports whether an engine is being updated, or is not to be
// called yet because it did not report or was called recently.
func (r *Roller) isUnavailable(key uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, updating := r.updating[key]
	return updating || r.retryAt[key].After(r.now())
}
