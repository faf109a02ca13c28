// Package deployer makes engines load the weights version that the configuration
// names. Only the instance that holds a lease sends orders.
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
	roundInterval = time.Second
	// maxCandidates is the number of instances that try to take the lease.
	maxCandidates = 3
	callTimeout   = 2 * time.Second
	// maxRefreshesPerRound limits the load reports fetched from engines whose
	// weights are unknown.
	maxRefreshesPerRound = 16
)

// Deployer sends orders to engines while this instance holds the lease. It takes
// the lease only while some engine is known to have outdated weights.
type Deployer struct {
	name    string
	board   *keeper.Board
	dialer  dialer.Dialer
	leaser  *leaser.Leaser
	newSlot func(*tracker.Track) uint16
	count   *counter.Counter
	log     *zap.Logger
	now     func() time.Time
	fence   uint64
}

// LeaseKey is the key of the table row with the lease on orders.
const LeaseKey = "lease/orders"

// New returns a deployer for the instance name.
func New(name string, board *keeper.Board, dial dialer.Dialer, lease *leaser.Leaser, newSlot func(*tracker.Track) uint16, count *counter.Counter, log *zap.Logger, now func() time.Time) *Deployer {
	return &Deployer{name: name, board: board, dialer: dial, leaser: lease, newSlot: newSlot, count: count, log: log, now: now}
}

// Run checks the engines at a fixed interval and sends orders until ctx ends.
func (d *Deployer) Run(ctx context.Context) {
	pacer.Repeat(ctx, roundInterval, d.round)
}

// round takes the lease if an engine has outdated weights and this instance is a
// candidate, and sends the orders that are due.
func (d *Deployer) round(ctx context.Context) {
	index := d.board.Index.Load()
	if index == nil || !d.isCandidate() {
		return
	}
	d.refreshUnknown()
	if !d.hasOutdated() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err := d.leaser.Acquire(callCtx)
	cancel()
	if err != nil {
		d.count.Add("orders", "no-lease")
		return
	}
	if lease.FencingToken != d.fence {
		d.fence = lease.FencingToken
		d.log.Info("acquired the lease on orders", zap.Uint64("fence", lease.FencingToken))
	}
	d.refreshAll()
	loading := d.loadingCount()
	for _, pool := range index.Config.Pools {
		for _, track := range plan(pool, d.board.Fleet.Load().Pool(pool.Name), loading) {
			d.sendOrder(lease, pool, track)
			loading++
		}
	}
}

// sendOrder orders one engine to load the weights of its pool, unless the lease
// is no longer valid.
func (d *Deployer) sendOrder(lease leaser.Lease, pool grouper.Pool, track *tracker.Track) {
	if !lease.Valid(d.now()) {
		d.count.Add("orders", "lease-ended")
		return
	}
	err := d.dialer.SendOrder(track.Endpoint.Address, commander.Order{Fence: lease.FencingToken, Weights: pool.Version})
	if err != nil {
		d.count.Add("orders", "refused")
		return
	}
	d.count.Add("orders", "given")
	d.log.Info("engine ordered to load weights", zap.String("endpoint", track.Endpoint.Name), zap.String("weights", pool.Version))
	d.refresh(track)
}

// refreshUnknown gets the load reports of some engines whose weights are unknown.
func (d *Deployer) refreshUnknown() {
	refreshed := 0
	for _, track := range d.engines() {
		if track.View().Weights == "" && track.Available(d.now()) && refreshed < maxRefreshesPerRound {
			d.refresh(track)
			refreshed++
		}
	}
}

// refreshAll gets the load reports of all engines, so that the plan is based on
// current state.
func (d *Deployer) refreshAll() {
	for _, track := range d.engines() {
		d.refresh(track)
	}
}

// refresh gets the load report of one engine.
func (d *Deployer) refresh(track *tracker.Track) {
	if report, err := d.dialer.FetchLoad(track.Endpoint.Address); err == nil {
		track.ApplyReport(report, d.now(), d.newSlot)
	}
}

func (d *Deployer) engines() []*tracker.Track {
	index, fleet := d.board.Index.Load(), d.board.Fleet.Load()
	var engines []*tracker.Track
	for _, pool := range index.Config.Pools {
		if pool.Kind == grouper.Engine {
			engines = append(engines, fleet.Pool(pool.Name)...)
		}
	}
	return engines
}

// hasOutdated reports whether an engine is known to have other weights than its
// pool names.
func (d *Deployer) hasOutdated() bool {
	index := d.board.Index.Load()
	for _, track := range d.engines() {
		weights := track.View().Weights
		if weights != "" && weights != index.Pool(track.Endpoint.Pool).Version {
			return true
		}
	}
	return false
}

// loadingCount returns the number of engines that load weights.
func (d *Deployer) loadingCount() int {
	count := 0
	for _, track := range d.engines() {
		if track.View().Loading {
			count++
		}
	}
	return count
}

// isCandidate reports whether this instance is among the first maxCandidates in
// rendezvous order. The limit keeps a large fleet from overloading the table
// with attempts to take the lease.
func (d *Deployer) isCandidate() bool {
	ownRank := ranker.Rank(0, xxhash.Sum64String(d.name))
	higher := 0
	for _, member := range d.board.Members.Load() {
		if ranker.Rank(0, xxhash.Sum64String(member.Name)) > ownRank {
			higher++
		}
	}
	return higher < maxCandidates
}
