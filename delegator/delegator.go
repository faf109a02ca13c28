// Package delegator asks the home instance of a prompt prefix to choose the
// endpoint. In a large deployment, one instance thus has the placements of a
// prefix in its cache map. If the home is slow, unreachable or returns an
// unusable choice, the caller has to choose itself, which costs only time.
package delegator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"wisteriadrum/chooser"
	"wisteriadrum/counter"
	"wisteriadrum/keeper"
	"wisteriadrum/messenger"
	"wisteriadrum/ranker"
	"wisteriadrum/tracker"
)

const (
	// homeLevel is the length in pieces of the prefix that is hashed to find the
	// home.
	homeLevel = 8
	// adviceTimeout includes the time in which the home refreshes load reports.
	adviceTimeout  = 40 * time.Millisecond
	outcomeTimeout = time.Second
)

// Remote calls other instances.
type Remote interface {
	// Advise asks the instance at address to choose an endpoint.
	Advise(ctx context.Context, address string, request messenger.AdviceRequest) (messenger.Advice, error)
	// ReportOutcome sends the instance at address the outcome of its advice.
	ReportOutcome(ctx context.Context, address string, outcome messenger.Outcome) error
}

// Delegator asks home instances to choose endpoints.
type Delegator struct {
	self         messenger.Member
	board        *keeper.Board
	remote       Remote
	minInstances int
	count        *counter.Counter
}

// New returns a delegator for the instance self. It delegates only if the region
// of self has at least minInstances live instances.
func New(self messenger.Member, board *keeper.Board, remote Remote, minInstances int, count *counter.Counter) *Delegator {
	return &Delegator{self: self, board: board, remote: remote, minInstances: minInstances, count: count}
}

// Delegate returns the choice of the home of the query's prefix. It returns
// false if the region is too small, the prompt is shorter than a piece, this
// instance is the home, or the home does not return a usable choice in time.
func (d *Delegator) Delegate(query chooser.Query, tracks []*tracker.Track) (chooser.Choice, bool) {
	home, ok := d.home(query)
	if !ok || len(tracks) == 0 {
		return chooser.Choice{}, false
	}
	request := messenger.AdviceRequest{
		ID: uuid.NewString(), Pool: tracks[0].Endpoint.Pool, Levels: query.Chain.Levels(),
		Piece: query.Chain.PieceBytes(), Size: query.Chain.SizeBytes(), Weigh: query.Objective,
	}
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	advice, err := d.remote.Advise(ctx, home.Peer, request)
	if err != nil {
		d.count.Add("home", "unreached")
		return chooser.Choice{}, false
	}
	track := d.board.Fleet.Load().Track(advice.Endpoint)
	if track == nil || track.Endpoint.Pool != request.Pool || !query.Usable(track) {
		d.count.Add("home", "unusable")
		return chooser.Choice{}, false
	}
	d.count.Add("home", "advised")
	onCached := func(cached int) { d.reportOutcome(home, request.ID, track, cached) }
	return chooser.Choice{Track: track, Reason: "home", CachedLevels: advice.Depth, OnCached: onCached}, true
}

func (d *Delegator) reportOutcome(home messenger.Member, id string, track *tracker.Track, cached int) {
	view := track.View()
	outcome := messenger.Outcome{ID: id, Incarnation: view.Incarnation, Queue: view.Queue, Cached: cached}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if d.remote.ReportOutcome(ctx, home.Peer, outcome) != nil {
			d.count.Add("home", "untold")
		}
	}()
}

// home returns the home of the query's prefix, which is the first instance of
// the region in rendezvous order. It returns false if that is this instance or if
// the region is too small.
func (d *Delegator) home(query chooser.Query) (messenger.Member, bool) {
	index := d.board.Index.Load()
	if query.Chain.Depth() == 0 || index == nil {
		return messenger.Member{}, false
	}
	key := query.Chain.Level(min(homeLevel, query.Chain.Depth()) - 1)
	region := index.Region(d.self.DataCentre)
	var best messenger.Member
	var bestRank uint64
	regional := 0
	for _, member := range d.board.Members.Load() {
		if member.Leaving || index.Region(member.DataCentre) != region {
			continue
		}
		regional++
		if rank := ranker.Rank(key, xxhash.Sum64String(member.Name)); rank > bestRank {
			best, bestRank = member, rank
		}
	}
	return best, regional >= d.minInstances && best.Name != d.self.Name
}
