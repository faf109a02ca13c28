// Package decider chooses endpoints on behalf of other instances, for prefixes
// whose home is this instance.
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
	// outcomeTimeout is how long a choice waits for its outcome.
	outcomeTimeout = 5 * time.Second
	// maxPending is the maximum number of choices that wait for their outcomes.
	maxPending = 4096
)

// Decider answers advice requests and updates the cache map from the outcomes.
type Decider struct {
	board    *keeper.Board
	policy   chooser.Policy
	loads    *refresher.Refresher
	cacheMap *mapper.Map
	now      func() time.Time
	mu       sync.Mutex
	pending  map[string]*pendingChoice
}

// pendingChoice is a choice whose outcome has not been received.
type pendingChoice struct {
	choice       chooser.Choice
	chain        hasher.Chain
	missingBytes int
}

// New returns a decider that chooses by policy.
func New(board *keeper.Board, policy chooser.Policy, loads *refresher.Refresher, cacheMap *mapper.Map, now func() time.Time) *Decider {
	return &Decider{board: board, policy: policy, loads: loads, cacheMap: cacheMap, now: now, pending: map[string]*pendingChoice{}}
}

// Decide chooses an endpoint for request. It returns an error if the pool is
// unknown or empty, the request is malformed, or no endpoint is available.
func (d *Decider) Decide(request messenger.AdviceRequest) (messenger.Advice, error) {
	index, fleet := d.board.Index.Load(), d.board.Fleet.Load()
	tracks := fleet.Pool(request.Pool)
	if index == nil || len(tracks) == 0 || request.Piece <= 0 || request.Size < len(request.Levels)*request.Piece {
		return messenger.Advice{}, eris.Errorf("cannot choose for pool %q: it has no endpoints or the request is malformed", request.Pool)
	}
	query := chooser.Query{
		Order: fleet.Order(request.Pool), Chain: hasher.FromLevels(request.Levels, request.Piece, request.Size), Now: d.now(),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), PrefillNanosPerByte: index.Pool(request.Pool).PrefillNanosPerByte, Objective: request.Weigh,
	}
	d.loads.Refresh(d.policy, query, tracks)
	choice := d.policy.Choose(query, tracks)
	if choice.Track == nil {
		return messenger.Advice{}, eris.Errorf("no endpoint of pool %q is available", request.Pool)
	}
	d.addPending(request.ID, &pendingChoice{choice: choice, chain: query.Chain, missingBytes: query.Chain.MissingBytes(choice.CachedLevels)})
	return messenger.Advice{Endpoint: choice.Track.Endpoint.Name, Depth: choice.CachedLevels}, nil
}

// RecordOutcome updates the endpoint's state and the cache map from the outcome
// of a choice.
func (d *Decider) RecordOutcome(outcome messenger.Outcome) {
	p := d.takePending(outcome.ID)
	if p == nil {
		return
	}
	now := d.now()
	track := p.choice.Track
	track.ApplyAnswer(outcome.Incarnation, "", outcome.Queue, now, d.cacheMap.NewSlot)
	slot := track.View().Slot
	for _, level := range p.chain.Levels() {
		d.cacheMap.Add(level, slot, now)
	}
	if p.choice.OnCached != nil {
		p.choice.OnCached(outcome.Cached)
	}
}

// addPending counts the request as in flight at the endpoint until its outcome
// is received or outcomeTimeout has passed.
func (d *Decider) addPending(id string, p *pendingChoice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) >= maxPending {
		return
	}
	d.pending[id] = p
	p.choice.Track.Begin(p.missingBytes)
	time.AfterFunc(outcomeTimeout, func() { d.takePending(id) })
}

// takePending ends the wait for an outcome and returns the choice, or nil if the
// wait has ended before.
func (d *Decider) takePending(id string) *pendingChoice {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pending[id]
	if p == nil {
		return nil
	}
	delete(d.pending, id)
	p.choice.Track.FirstToken(p.missingBytes)
	p.choice.Track.End()
	return p
}
