// Package prober periodically fetches the load reports of endpoints. The endpoints of
// a data centre are divided among its instances by rendezvous hashing.
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
	probeInterval       = time.Second
	maxConcurrentProbes = 32
	// maxFailures is the number of probes in succession that may fail. A failed
	// probe beyond it puts the endpoint into backoff.
	maxFailures = 2
)

// Prober probes this instance's share of the endpoints.
type Prober struct {
	name    string
	board   *keeper.Board
	dialer  dialer.Dialer
	newSlot func(*tracker.Track) uint16
	count   *counter.Counter
	now     func() time.Time
	pool    pond.Pool
}

// New returns a prober for the instance named name.
func New(name string, board *keeper.Board, dial dialer.Dialer, newSlot func(*tracker.Track) uint16, count *counter.Counter, now func() time.Time) *Prober {
	return &Prober{name: name, board: board, dialer: dial, newSlot: newSlot, count: count, now: now, pool: pond.NewPool(maxConcurrentProbes)}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer p.pool.Stop()
	pacer.Repeat(ctx, probeInterval, p.probeAll)
}

func (p *Prober) probeAll(ctx context.Context) {
	group := p.pool.NewGroupContext(ctx)
	members := p.board.Members.Load()
	index := p.board.Index.Load()
	if index == nil {
		return // Fleet may be set shortly before Index
	}
	for _, track := range p.board.Fleet.Load().All() {
		if index.Pool(track.Endpoint.Pool).Kind == grouper.Engine && p.isOwn(track, members) {
			group.Submit(func() { p.probe(track) })
		}
	}
	_ = group.Wait() // probes count their errors themselves
}

// isOwn reports whether this instance probes track. An endpoint is probed by the
// first instance in rendezvous order in its data centre, or by the first of all
// instances if its data centre has none.
func (p *Prober) isOwn(track *tracker.Track, members []messenger.Member) bool {
	best, bestRank, bestLocal := p.name, uint64(0), false
	for _, member := range members {
		local := member.DataCentre == track.Endpoint.DataCentre
		rank := ranker.Rank(track.Hash, xxhash.Sum64String(member.Name))
		if local && !bestLocal || local == bestLocal && rank > bestRank {
			best, bestRank, bestLocal = member.Name, rank, local
		}
	}
	return best == p.name
}

func (p *Prober) probe(track *tracker.Track) {
	report, err := p.dialer.FetchLoad(track.Endpoint.Address)
	if err != nil {
		p.count.Add("probe", "failures")
		if track.RecordProbe(false) > maxFailures {
			track.AvoidUntil(p.now().Add(2 * probeInterval))
		}
		return
	}
	p.count.Add("probe", "reports")
	track.RecordProbe(true)
	track.ApplyReport(report, p.now(), p.newSlot)
}
