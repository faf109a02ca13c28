package roller

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/leaser"
	"wisteriadrum/pacer"
)

// acquire renews the lease, or acquires it if no candidate precedes this instance. As
// long as this instance has to pause, the lease is only reserved. It reports whether
// this instance holds the lease.
func (r *Roller) acquire(ctx context.Context) bool {
	if r.now().Before(r.acquireAt) || !r.held.Load().Valid(r.now()) && !r.isNext() {
		return false
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.hasStopped() {
		return false
	}
	take := r.lease.Reserve
	if held := r.held.Load(); held.Valid(r.now()) && !r.pausing(held) {
		take = r.lease.Acquire
	}
	held, err := take(limit)
	if err != nil {
		r.count.Add("orders", "no-lease")
		r.sharer.SetLeading(false)
		r.acquireAt = r.now().Add(acquirePause)
		if !errors.Is(err, leaser.ErrHeld) {
			r.log.Warn("lease on orders not acquired", zap.String("error", err.Error()))
		}
		return false
	}
	if held.FencingToken != r.held.Load().FencingToken {
		r.log.Info("lease on orders acquired", zap.Uint64("fence", held.FencingToken))
	}
	r.held.Store(held)
	r.sharer.SetLeading(true)
	return held.Valid(r.now())
}

// observeLease reads the row of the lease once in each era of its table, before this
// instance needs the lease: the wait for a holder whose row was lost begins with that.
func (r *Roller) observeLease(ctx context.Context) {
	era := r.tableEra()
	if era == r.observedEra {
		return
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.lease.Observe(limit); err != nil {
		r.count.Add("orders", "lease-unread")
		return
	}
	r.observedEra = era
}

// pausing reports whether another instance may have sent an order too recently.
func (r *Roller) pausing(held leaser.Lease) bool {
	return !held.PreviousUse.IsZero() && r.now().Before(held.PreviousUse.Add(r.orderPause))
}

// isNext reports whether this instance is a candidate and those that precede it have had
// time to acquire the lease.
func (r *Roller) isNext() bool {
	rank := r.rank()
	return rank >= 0 && !r.now().Before(r.vacantSince.Add(time.Duration(rank)*candidateDelay))
}

// rank returns the number of live candidates that precede this instance in
// acquiring the lease: the last leader, then the others in their order. It is -1
// if this instance is no candidate.
func (r *Roller) rank() int {
	leader := r.sharer.Leader()
	if leader == r.name {
		return 0
	}
	candidates := r.sharer.Candidates()
	rank := slices.Index(candidates, r.name)
	if rank >= 0 && slices.Index(candidates, leader) > rank {
		rank++
	}
	return rank
}

// Retire prevents this instance from acquiring the lease. If it holds it, orders
// go on.
func (r *Roller) Retire() { r.retiring.Store(true) }

// Finish waits until the rollout that this instance has begun is complete, but
// not longer than the pause that another instance would have to keep before it
// could go on with it.
func (r *Roller) Finish(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, r.orderPause)
	defer cancel()
	for r.held.Load().Valid(r.now()) && len(r.tasks()) > 0 && pacer.Wait(limit, roundInterval) {
		continue
	}
}

// Stop prevents further orders, waits for those being sent, and releases the
// lease.
func (r *Roller) Stop(ctx context.Context) {
	r.ordering.Lock()
	r.stopped = true
	r.ordering.Unlock()
	r.held.Store(leaser.Lease{})
	r.sharer.SetLeading(false)
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	had, err := r.lease.Release(limit, r.lastOrder)
	switch {
	case err != nil:
		r.log.Warn("lease on orders not released", zap.String("error", err.Error()))
	case had:
		r.log.Info("lease on orders released")
	}
}
