// Package roller brings engines to the newest weights, under a lease that only
// one instance holds, and tells the others which engines are out of service.
package roller

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/holder"
	"wisteriadrum/leaser"
	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
	"wisteriadrum/registrar"
	"wisteriadrum/sharer"
)

const (
	roundEvery  = 100 * time.Millisecond
	callTimeout = time.Second
	// loadLimit is how long an engine is taken to load unless it says otherwise.
	loadLimit = 3 * time.Second
	// askPause is the wait before an engine that did not report is asked again.
	askPause = 500 * time.Millisecond
	// stepAside is how long an instance waits for each candidate before it.
	stepAside = 2 * time.Second
	// takePause is the wait after the lease could not be taken.
	takePause = 500 * time.Millisecond
	// noticeWait lets the other instances hear that an engine goes out of
	// service before it is ordered.
	noticeWait = 60 * time.Millisecond
	// emptyWait bounds the wait until what waits at the engine has begun, and
	// noticeEvery is the interval at which the others are told again.
	emptyWait   = 600 * time.Millisecond
	noticeEvery = loadLimit / 6
)

// Verdicts on an order.
var (
	// ErrFenced means that a higher fencing number was used.
	ErrFenced = errors.New("order has an old fencing number")
	// ErrBusy means that another order is under way or was carried out.
	ErrBusy = errors.New("another order came before")
	// ErrOutcomeUnknown means that the order may or may not be carried out.
	ErrOutcomeUnknown = errors.New("order was not answered")
)

// Report is what an engine says of itself.
type Report struct {
	// Weights are the versions of models by name.
	Weights map[string]int
	// Busy reports that an order is under way.
	Busy bool
	// AcceptedOrders is the number of orders accepted so far.
	AcceptedOrders int
}

// Order tells an engine to load a version of a model.
type Order struct {
	Model        string
	Version      int
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine has accepted.
	ExpectedOrders int
}

// EngineClient makes control calls to engines.
type EngineClient interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, engine monitor.Entry) (Report, error)
	// Order gives an engine an order. The error is one of the verdicts.
	Order(ctx context.Context, engine monitor.Entry, order Order) error
}

// Roller gives orders while this instance holds the lease.
type Roller struct {
	name    string
	beliefs *registrar.Registrar
	engines EngineClient
	lease   *leaser.Leaser
	share   *sharer.Sharer
	quiet   time.Duration
	count   *counter.Counter
	log     *zap.Logger
	now     func() time.Time

	held      holder.Value[leaser.Lease]
	needSince time.Time
	// takeBy is when the lease may be asked for again.
	takeBy time.Time
	// giving is held for reading while an order is given, and guards stopped
	// and lastOrder.
	giving    sync.RWMutex
	stopped   bool
	lastOrder time.Time
	mu        sync.Mutex
	busy      map[uint64]bool
	// askBy is when an engine that did not report is asked again.
	askBy map[uint64]time.Time
}

// New returns a roller for the instance named name. quiet is kept between the
// orders of two holders. now is a clock that goes on while the process is frozen.
func New(name string, beliefs *registrar.Registrar, engines EngineClient, lease *leaser.Leaser, share *sharer.Sharer, quiet time.Duration, count *counter.Counter, log *zap.Logger, now func() time.Time) *Roller {
	return &Roller{name: name, beliefs: beliefs, engines: engines, lease: lease, share: share, quiet: quiet, count: count, log: log, now: now, busy: map[uint64]bool{}, askBy: map[uint64]time.Time{}}
}

// Run gives orders until ctx ends.
func (r *Roller) Run(ctx context.Context) {
	for pacer.Wait(ctx, roundEvery) {
		r.round(ctx)
	}
}

// Stop ends the giving of orders, waits for those under way, and hands the
// lease over.
func (r *Roller) Stop(ctx context.Context) {
	r.giving.Lock()
	r.stopped = true
	r.giving.Unlock()
	r.held.Store(leaser.Lease{})
	r.share.SetLeading(false)
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	had, err := r.lease.Release(limit, r.lastOrder)
	switch {
	case err != nil:
		r.log.Warn("lease on orders not handed over", zap.String("error", err.Error()))
	case had:
		r.log.Info("lease on orders handed over")
	}
}

type task struct {
	model   string
	version int
	engines int
	// behind counts all engines with old weights, old are those not under way.
	behind int
	old    []OutdatedEngine
}

func (r *Roller) round(ctx context.Context) {
	if r.ended() {
		return
	}
	tasks := r.tasks()
	now := r.now()
	if len(tasks) == 0 {
		r.needSince = time.Time{}
		if !r.held.Load().Valid(now) {
			r.share.SetLeading(false)
		}
		return
	}
	if r.needSince.IsZero() {
		r.needSince = now
	}
	if !r.held.Load().Valid(now.Add(callTimeout/2)) && !r.take(ctx) {
		return
	}
	if since := r.held.Load().PreviousUse; !since.IsZero() && r.now().Before(since.Add(r.quiet)) {
		return
	}
	for _, t := range tasks {
		for _, step := range Plan(t.engines, r.underWay(), t.old) {
			r.begin(ctx, step.Endpoint, t)
		}
	}
}

// tasks returns the models of which some engines have old weights.
func (r *Roller) tasks() []task {
	var tasks []task
	now := time.Now()
	for model, named := range r.beliefs.VersionsByModel() {
		t := task{model: model, version: named.Newest()}
		for _, one := range r.beliefs.Fleet().All() {
			view := one.View(model, now)
			if view.Weights == 0 || view.Leaving {
				continue
			}
			t.engines++
			if view.Weights < named.Newest() {
				t.behind++
			}
			if view.Weights < named.Newest() && !r.isBusy(one.Key) {
				t.old = append(t.old, OutdatedEngine{Endpoint: one, InFlight: view.Load.Requests, Version: view.Weights})
			}
		}
		if t.behind > 0 {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// take takes or renews the lease when it is this instance's turn.
func (r *Roller) take(ctx context.Context) bool {
	rank := r.rank()
	if rank < 0 || r.now().Before(r.needSince.Add(time.Duration(rank)*stepAside)) || r.now().Before(r.takeBy) {
		return false
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.ended() {
		return false
	}
	held, err := r.lease.Acquire(limit)
	if err != nil {
		r.count.Add("orders", "no-lease")
		r.share.SetLeading(false)
		r.takeBy = r.now().Add(takePause)
		if !errors.Is(err, leaser.ErrHeld) {
			r.log.Warn("lease on orders not taken", zap.String("error", err.Error()))
		}
		return false
	}
	if held.FencingToken != r.held.Load().FencingToken {
		r.log.Info("lease on orders taken", zap.Uint64("fence", held.FencingToken))
	}
	r.held.Store(held)
	r.share.SetLeading(true)
	return held.Valid(r.now())
}

// rank returns how many live candidates go before this instance: the last
// holder, then the others by name; -1 if it is no candidate itself.
func (r *Roller) rank() int {
	leader := r.share.Leader()
	if leader == r.name {
		return 0
	}
	rank, candidate := 0, false
	for _, name := range r.share.Candidates() {
		candidate = candidate || name == r.name
		if name == leader || name < r.name {
			rank++
		}
	}
	if !candidate {
		return -1
	}
	return rank
}

func (r *Roller) underWay() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.busy)
}

func (r *Roller) isBusy(key uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy[key] || r.askBy[key].After(r.now())
}
