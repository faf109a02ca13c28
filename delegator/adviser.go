// Package delegator lets the home instance of a prefix choose for the others, so
// that in a large fleet one instance knows where a prefix was placed. A home
// that is slow, gone or wrong costs time only: the instance then chooses alone.
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
	// homeLevel is the number of pieces of the prefix that decides on the home.
	homeLevel = 8
	// adviceTimeout covers the home's own wait for fresh loads.
	adviceTimeout = 40 * time.Millisecond
	tellTimeout   = time.Second
)

// Remote reaches the other instances.
type Remote interface {
	// Advise asks the instance at address for a choice.
	Advise(ctx context.Context, address string, question messenger.AdviceRequest) (messenger.Advice, error)
	// ReportOutcome tells the instance at address what came of its advice.
	ReportOutcome(ctx context.Context, address string, outcome messenger.Outcome) error
}

// Delegator asks home instances for choices.
type Delegator struct {
	self   messenger.Member
	board  *keeper.Board
	remote Remote
	least  int
	count  *counter.Counter
}

// New returns an adviser for the instance self, which asks homes only where
// its region has at least so many live instances.
func New(self messenger.Member, board *keeper.Board, remote Remote, least int, count *counter.Counter) *Delegator {
	return &Delegator{self: self, board: board, remote: remote, least: least, count: count}
}

// Delegate returns the choice of the home of the query's prefix. It returns none
// in a small region, for prompts without a whole piece, where this instance is
// the home, and where the home gives no usable answer in time.
func (a *Delegator) Delegate(query chooser.Query, tracks []*tracker.Track) (chooser.Choice, bool) {
	home, ok := a.home(query)
	if !ok || len(tracks) == 0 {
		return chooser.Choice{}, false
	}
	question := messenger.AdviceRequest{
		ID: uuid.NewString(), Pool: tracks[0].Endpoint.Pool, Levels: query.Chain.Levels(),
		Piece: query.Chain.PieceBytes(), Size: query.Chain.SizeBytes(), Weigh: query.Objective,
	}
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	advice, err := a.remote.Advise(ctx, home.Peer, question)
	if err != nil {
		a.count.Add("home", "unreached")
		return chooser.Choice{}, false
	}
	track := a.board.Fleet.Load().Track(advice.Endpoint)
	if track == nil || track.Endpoint.Pool != question.Pool || !query.Usable(track) {
		a.count.Add("home", "unusable")
		return chooser.Choice{}, false
	}
	a.count.Add("home", "advised")
	learn := func(cached int) { a.tell(home, question.ID, track, cached) }
	return chooser.Choice{Track: track, Reason: "home", CachedLevels: advice.Depth, OnCached: learn}, true
}

func (a *Delegator) tell(home messenger.Member, id string, track *tracker.Track, cached int) {
	view := track.View()
	outcome := messenger.Outcome{ID: id, Incarnation: view.Incarnation, Queue: view.Queue, Cached: cached}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if a.remote.ReportOutcome(ctx, home.Peer, outcome) != nil {
			a.count.Add("home", "untold")
		}
	}()
}

// home returns the instance of the region that the query's prefix belongs to,
// unless it is this one.
func (a *Delegator) home(query chooser.Query) (messenger.Member, bool) {
	index := a.board.Index.Load()
	if query.Chain.Depth() == 0 || index == nil {
		return messenger.Member{}, false
	}
	key := query.Chain.Level(min(homeLevel, query.Chain.Depth()) - 1)
	region := index.Region(a.self.DataCentre)
	var best messenger.Member
	var bestRank uint64
	near := 0
	for _, member := range a.board.Members.Load() {
		if member.Leaving || index.Region(member.DataCentre) != region {
			continue
		}
		near++
		if rank := ranker.Rank(key, xxhash.Sum64String(member.Name)); rank > bestRank {
			best, bestRank = member, rank
		}
	}
	return best, near >= a.least && best.Name != a.self.Name
}
