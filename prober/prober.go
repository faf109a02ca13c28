// Package prober asks endpoints for their load. The instances of a data
// centre divide its endpoints among themselves.
package prober

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"

	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/grouper"
	"wisteriadrum/keeper"
	"wisteriadrum/messenger"
	"wisteriadrum/pacer"
	"wisteriadrum/ranker"
	"wisteriadrum/tracker"
)

const (
	probeEvery = time.Second
	atOnce     = 32 // probes under way
	// missesAllowed is the number of probes that may fail in a row before the
	// endpoint is avoided until the next round.
	missesAllowed = 2
)

// Prober probes this instance's share of the endpoints.
type Prober struct {
	name   string
	board  *keeper.Board
	dialer dialer.Dialer
	slot   func(*tracker.Track) uint16
	count  *counter.Counter
	now    func() time.Time
	pool   pond.Pool
}

// New returns a prober for the instance named name.
func New(name string, board *keeper.Board, dial dialer.Dialer, slot func(*tracker.Track) uint16, count *counter.Counter, now func() time.Time) *Prober {
	return &Prober{name: name, board: board, dialer: dial, slot: slot, count: count, now: now, pool: pond.NewPool(atOnce)}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer p.pool.Stop()
	pacer.Repeat(ctx, probeEvery, p.round)
}

func (p *Prober) round(ctx context.Context) {
	group := p.pool.NewGroupContext(ctx)
	members := p.board.Members.Load()
	index := p.board.Index.Load()
	if index == nil {
		return // its endpoints may be known a moment earlier
	}
	for _, track := range p.board.Fleet.Load().All() {
		if index.Pool(track.Endpoint.Pool).Kind == grouper.Engine && p.mine(track, members) {
			group.Submit(func() { p.probe(track) })
		}
	}
	_ = group.Wait() // probes report through counters
}

// mine reports whether this instance probes track: the first in rendezvous
// order of those in the endpoint's data centre, or of all if there are none.
func (p *Prober) mine(track *tracker.Track, members []messenger.Member) bool {
	best, bestRank, bestNear := p.name, uint64(0), false
	for _, member := range members {
		near := member.DataCentre == track.Endpoint.DataCentre
		rank := ranker.Rank(track.Hash, xxhash.Sum64String(member.Name))
		if near && !bestNear || near == bestNear && rank > bestRank {
			best, bestRank, bestNear = member.Name, rank, near
		}
	}
	return best == p.name
}

func (p *Prober) probe(track *tracker.Track) {
	report, err := p.dialer.FetchLoad(track.Endpoint.Address)
	if err != nil {
		p.count.Add("probe", "failures")
		if track.RecordFailure() > missesAllowed {
			track.AvoidUntil(p.now().Add(2 * probeEvery))
		}
		return
	}
	p.count.Add("probe", "reports")
	track.ApplyReport(report, p.now(), p.slot)
}
