// Package decider chooses for other instances where this one is the home of a
// prefix.
package decider

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/chooser"
	"wisteriadrum/hasher"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/messenger"
	"wisteriadrum/refresher"
)

const (
	// keepOpen is how long the outcome of advice is waited for.
	keepOpen = 5 * time.Second
	// mostOpen bounds the advice whose outcome is awaited.
	mostOpen = 4096
)

// Decider answers questions and learns from their outcomes.
type Decider struct {
	board   *keeper.Board
	policy  chooser.Policy
	asker   *refresher.Refresher
	holders *mapper.Map
	now     func() time.Time
	mu      sync.Mutex
	open    map[string]*pending
}

// pending is advice whose outcome is not known yet.
type pending struct {
	choice  chooser.Choice
	chain   hasher.Chain
	missing int // bytes
}

// New returns a decider that chooses by policy.
func New(board *keeper.Board, policy chooser.Policy, ask *refresher.Refresher, holders *mapper.Map, now func() time.Time) *Decider {
	return &Decider{board: board, policy: policy, asker: ask, holders: holders, now: now, open: map[string]*pending{}}
}

// Decide answers a question.
func (d *Decider) Decide(question messenger.AdviceRequest) (messenger.Advice, error) {
	index, fleet := d.board.Index.Load(), d.board.Fleet.Load()
	tracks := fleet.Pool(question.Pool)
	if index == nil || len(tracks) == 0 || question.Piece <= 0 || question.Size < len(question.Levels)*question.Piece {
		return messenger.Advice{}, eris.Errorf("no advice on pool %q", question.Pool)
	}
	query := chooser.Query{
		Order: fleet.Order(question.Pool), Chain: hasher.FromLevels(question.Levels, question.Piece, question.Size), Now: d.now(),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), PrefillNanosPerByte: index.Pool(question.Pool).PrefillNanosPerByte, Objective: question.Weigh,
	}
	d.asker.Refresh(d.policy, query, tracks)
	choice := d.policy.Choose(query, tracks)
	if choice.Track == nil {
		return messenger.Advice{}, eris.Errorf("no endpoint of pool %q is open", question.Pool)
	}
	d.keep(question.ID, &pending{choice: choice, chain: query.Chain, missing: query.Chain.MissingBytes(choice.CachedLevels)})
	return messenger.Advice{Endpoint: choice.Track.Endpoint.Name, Depth: choice.CachedLevels}, nil
}

// RecordOutcome takes in what came of advice.
func (d *Decider) RecordOutcome(outcome messenger.Outcome) {
	p := d.take(outcome.ID)
	if p == nil {
		return
	}
	now := d.now()
	track := p.choice.Track
	track.ApplyAnswer(outcome.Incarnation, "", outcome.Queue, now, d.holders.NewSlot)
	slot := track.View().Slot
	for _, level := range p.chain.Levels() {
		d.holders.Add(level, slot, now)
	}
	if p.choice.OnCached != nil {
		p.choice.OnCached(outcome.Cached)
	}
}

// keep counts the work as under way until its outcome is heard or time is up.
func (d *Decider) keep(id string, p *pending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= mostOpen {
		return
	}
	d.open[id] = p
	p.choice.Track.Begin(p.missing)
	time.AfterFunc(keepOpen, func() { d.take(id) })
}

// take ends the wait for an outcome and returns the advice, nil if it ended before.
func (d *Decider) take(id string) *pending {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.open[id]
	if p == nil {
		return nil
	}
	delete(d.open, id)
	p.choice.Track.FirstToken(p.missing)
	p.choice.Track.End()
	return p
}
