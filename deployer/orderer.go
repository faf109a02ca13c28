// Package deployer brings engines to the weights that the set names, under a
// lease that only one instance holds.
package deployer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wisteriadrum/commander"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/grouper"
	"wisteriadrum/keeper"
	"wisteriadrum/leaser"
	"wisteriadrum/pacer"
	"wisteriadrum/ranker"
	"wisteriadrum/tracker"
)

const (
	roundEvery = time.Second
	// candidates is the number of instances that try to get the lease.
	candidates  = 3
	callTimeout = 2 * time.Second
	askedAtOnce = 16
)

// Deployer gives orders while this instance holds the lease. It takes the
// lease only while there is something to order.
type Deployer struct {
	name   string
	board  *keeper.Board
	dialer dialer.Dialer
	leaser *leaser.Leaser
	slot   func(*tracker.Track) uint16
	count  *counter.Counter
	log    *zap.Logger
	now    func() time.Time
	fence  uint64
}

// LeaseKey names the row of the lease on orders.
const LeaseKey = "lease/orders"

// New returns an orderer for the instance named name.
func New(name string, board *keeper.Board, dial dialer.Dialer, lease *leaser.Leaser, slot func(*tracker.Track) uint16, count *counter.Counter, log *zap.Logger, now func() time.Time) *Deployer {
	return &Deployer{name: name, board: board, dialer: dial, leaser: lease, slot: slot, count: count, log: log, now: now}
}

// Run gives orders until ctx ends.
func (o *Deployer) Run(ctx context.Context) {
	pacer.Repeat(ctx, roundEvery, o.round)
}

func (o *Deployer) round(ctx context.Context) {
	index := o.board.Index.Load()
	if index == nil || !o.candidate() {
		return
	}
	o.learn()
	if !o.needed() {
		return
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err := o.leaser.Acquire(limit)
	cancel()
	if err != nil {
		o.count.Add("orders", "no-lease")
		return
	}
	if lease.FencingToken != o.fence {
		o.fence = lease.FencingToken
		o.log.Info("lease on orders taken", zap.Uint64("fence", lease.FencingToken))
	}
	o.refresh()
	loading := o.loading()
	for _, pool := range index.Config.Pools {
		for _, track := range plan(pool, o.board.Fleet.Load().Pool(pool.Name), loading) {
			o.order(lease, pool, track)
			loading++
		}
	}
}

// order tells one engine what to load, unless the lease is about to end.
func (o *Deployer) order(lease leaser.Lease, pool grouper.Pool, track *tracker.Track) {
	if !lease.Valid(o.now()) {
		o.count.Add("orders", "lease-ended")
		return
	}
	err := o.dialer.SendOrder(track.Endpoint.Address, commander.Order{Fence: lease.FencingToken, Weights: pool.Version})
	if err != nil {
		o.count.Add("orders", "refused")
		return
	}
	o.count.Add("orders", "given")
	o.log.Info("weights ordered", zap.String("endpoint", track.Endpoint.Name), zap.String("weights", pool.Version))
	o.ask(track)
}

// learn asks some of the engines whose weights are unknown.
func (o *Deployer) learn() {
	asked := 0
	for _, track := range o.engines() {
		if track.View().Weights == "" && track.Available(o.now()) && asked < askedAtOnce {
			o.ask(track)
			asked++
		}
	}
}

// refresh gets the loads of all engines, so that the plan rests on what is.
func (o *Deployer) refresh() {
	for _, track := range o.engines() {
		o.ask(track)
	}
}

func (o *Deployer) ask(track *tracker.Track) {
	if report, err := o.dialer.FetchLoad(track.Endpoint.Address); err == nil {
		track.ApplyReport(report, o.now(), o.slot)
	}
}

func (o *Deployer) engines() []*tracker.Track {
	index, fleet := o.board.Index.Load(), o.board.Fleet.Load()
	var engines []*tracker.Track
	for _, pool := range index.Config.Pools {
		if pool.Kind == grouper.Engine {
			engines = append(engines, fleet.Pool(pool.Name)...)
		}
	}
	return engines
}

// needed reports whether an engine is known to hold other weights than it should.
func (o *Deployer) needed() bool {
	index := o.board.Index.Load()
	for _, track := range o.engines() {
		weights := track.View().Weights
		if weights != "" && weights != index.Pool(track.Endpoint.Pool).Version {
			return true
		}
	}
	return false
}

func (o *Deployer) loading() int {
	loading := 0
	for _, track := range o.engines() {
		if track.View().Loading {
			loading++
		}
	}
	return loading
}

// candidate reports whether this instance is among the first in rendezvous
// order, so that a large fleet does not crowd the table.
func (o *Deployer) candidate() bool {
	mine := ranker.Rank(0, xxhash.Sum64String(o.name))
	better := 0
	for _, member := range o.board.Members.Load() {
		if ranker.Rank(0, xxhash.Sum64String(member.Name)) > mine {
			better++
		}
	}
	return better < candidates
}
