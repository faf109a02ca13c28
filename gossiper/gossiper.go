// Package gossiper exchanges state between instances: membership, the
// configuration in force, planned stops, quarantined requests and load reports.
package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/attester"
	"wisteriadrum/counter"
	"wisteriadrum/enroller"
	"wisteriadrum/follower"
	"wisteriadrum/keeper"
	"wisteriadrum/lister"
	"wisteriadrum/messenger"
	"wisteriadrum/quarantiner"
	"wisteriadrum/tabler"
	"wisteriadrum/tracker"
)

const (
	tickInterval = time.Second
	callTimeout  = 2 * time.Second
	// failureTimeout is the time without a heartbeat after which an instance
	// is no longer a live member.
	failureTimeout = 12 * time.Second
	// removeTimeout is the time without a heartbeat after which an instance is
	// removed from the member table.
	removeTimeout = 10 * time.Minute
	// smallFleetSize is the number of instances up to which ticks come at
	// tickInterval; above it they are half as frequent.
	smallFleetSize = 16
	fanout         = 4 // instances to exchange with after a change
	// broadcastFanout and broadcastTimeout limit a broadcast.
	broadcastFanout  = 16
	broadcastTimeout = 150 * time.Millisecond
	digestMembers    = 3  // members described in full in one digest
	digestHeartbeats = 64 // heartbeats in one digest
	digestLoads      = 24 // load reports in one digest
	maxLoadAge       = 3 * time.Second
)

// Handler serves the calls of other instances.
type Handler interface {
	// ClaimStatus returns the status of a claim made by this instance.
	ClaimStatus(ctx context.Context, token string) attester.Status
	// Apply commits a write in this instance's next batch.
	Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error)
	// Decide chooses an endpoint for another instance, as the home of the prefix.
	Decide(request messenger.AdviceRequest) (messenger.Advice, error)
	// RecordOutcome records the outcome of an earlier Decide.
	RecordOutcome(outcome messenger.Outcome)
}

// Gossiper exchanges digests with other instances.
type Gossiper struct {
	self       messenger.Member
	seeds      []string
	board      *keeper.Board
	quarantine *quarantiner.Registry
	follow     *follower.Follower
	newSlot    func(*tracker.Track) uint16
	dial       func(address string) (net.Conn, error)
	count      *counter.Counter
	log        *zap.Logger
	now        func() time.Time
	changed    chan struct{}
	discovered chan struct{}

	mu        sync.Mutex
	heartbeat uint64
	members   map[string]*member
	// enroller counts the instances, also those that are not live.
	enroller *enroller.Enroller
	clients  map[string]*client
}

// member is a known instance and the local time of its last new heartbeat.
type member struct {
	messenger.Member
	lastSeen time.Time
}

// New returns a gossiper for the instance self, which contacts seeds first and
// opens connections with dial.
func New(self messenger.Member, seeds []string, board *keeper.Board, quarantine *quarantiner.Registry, follow *follower.Follower, newSlot func(*tracker.Track) uint16, dial func(address string) (net.Conn, error), count *counter.Counter, log *zap.Logger, now func() time.Time) *Gossiper {
	return &Gossiper{
		self: self, seeds: seeds, board: board, quarantine: quarantine, follow: follow, newSlot: newSlot, dial: dial,
		count: count, log: log, now: now, changed: make(chan struct{}, 1), discovered: make(chan struct{}, 1),
		members: map[string]*member{}, enroller: enroller.New(self.DataCentre), clients: map[string]*client{},
	}
}

// Run exchanges digests until ctx ends. It begins with every known address, so
// that a new instance gets the configuration without waiting for ticks.
func (g *Gossiper) Run(ctx context.Context) {
	g.exchangeAll(ctx, g.candidateAddresses())
	for ctx.Err() == nil {
		timer := time.NewTimer(g.nextTickDelay())
		select {
		case <-timer.C:
			g.tick(ctx)
		case <-g.changed:
			g.exchangeAll(ctx, g.pickLive(fanout, ""))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// nextTickDelay returns the time to the next tick, with jitter. A large fleet
// ticks less often: changes are sent immediately, and ticks only repair
// exchanges that were lost.
func (g *Gossiper) nextTickDelay() time.Duration {
	interval := tickInterval
	if len(g.board.Members.Load()) > smallFleetSize {
		interval *= 2
	}
	return interval/2 + rand.N(interval)
}

// Notify makes Run exchange digests immediately because local state changed.
// It does not block.
func (g *Gossiper) Notify() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Members returns the live instances. This instance is the first.
func (g *Gossiper) Members() []messenger.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	live := []messenger.Member{g.selfMember()}
	for _, known := range g.members {
		if now.Sub(known.lastSeen) < failureTimeout {
			live = append(live, known.Member)
		}
	}
	return live
}

// MemberCount returns the number of instances that may be running, this one included,
// whether or not they can be reached.
func (g *Gossiper) MemberCount() int {
	candidates := len(g.candidateAddresses())
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.enroller.Total(g.now()), 1+candidates)
}

// Discovered returns a channel that receives a value after an instance was discovered.
func (g *Gossiper) Discovered() <-chan struct{} { return g.discovered }

// SyncAll exchanges digests with every live instance and returns when each
// exchange has succeeded or failed.
func (g *Gossiper) SyncAll(ctx context.Context) {
	g.exchangeAll(ctx, g.pickLive(len(g.Members()), ""))
}

// Broadcast sends an urgent change to up to broadcastFanout other instances,
// which pass it on, and returns within broadcastTimeout.
func (g *Gossiper) Broadcast() {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	addresses := g.pickLive(broadcastFanout, "")
	g.exchangeAll(ctx, addresses)
	if len(addresses) == broadcastFanout {
		<-ctx.Done() // gives the receivers time to pass it on
	}
}

// tick increments the heartbeat, removes failed members and exchanges digests
// with one live instance, half of the time from its own data centre. One tick
// in eight also contacts an address without a live member.
func (g *Gossiper) tick(ctx context.Context) {
	g.mu.Lock()
	g.heartbeat++
	for name, known := range g.members {
		if g.now().Sub(known.lastSeen) > removeTimeout {
			delete(g.members, name)
		}
	}
	g.mu.Unlock()
	g.board.Members.Store(g.Members())
	dataCentre := ""
	if rand.IntN(2) == 0 {
		dataCentre = g.self.DataCentre
	}
	targets := g.pickLive(1, dataCentre)
	if len(targets) == 0 {
		targets = g.pickLive(1, "")
	}
	if len(targets) == 0 {
		targets = g.candidateAddresses()
	} else if rand.IntN(8) == 0 {
		targets = append(targets, g.unknownAddress()...)
	}
	g.exchangeAll(ctx, targets)
}

// candidateAddresses returns the peer addresses from the settings and from the
// platform's list.
func (g *Gossiper) candidateAddresses() []string {
	addresses := append([]string(nil), g.seeds...)
	for _, entry := range g.board.ListedInstances.Load() {
		if entry.Peer != "" && entry.State == lister.Live {
			addresses = append(addresses, entry.Peer)
		}
	}
	return g.otherAddresses(addresses)
}

// unknownAddress returns one random candidate address without a live member, or
// none.
func (g *Gossiper) unknownAddress() []string {
	live := map[string]bool{}
	for _, known := range g.Members() {
		live[known.Peer] = true
	}
	var unknown []string
	for _, address := range g.candidateAddresses() {
		if !live[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	return []string{unknown[rand.IntN(len(unknown))]}
}

// pickLive returns the addresses of at most limit other live instances in random
// order, from dataCentre unless that is empty.
func (g *Gossiper) pickLive(limit int, dataCentre string) []string {
	var addresses []string
	for _, known := range g.Members()[1:] {
		if dataCentre == "" || known.DataCentre == dataCentre {
			addresses = append(addresses, known.Peer)
		}
	}
	addresses = g.otherAddresses(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(limit, len(addresses))]
}

// otherAddresses returns addresses without duplicates and without this instance's.
func (g *Gossiper) otherAddresses(addresses []string) []string {
	var others []string
	seen := map[string]bool{g.self.Peer: true}
	for _, address := range addresses {
		if !seen[address] {
			others = append(others, address)
		}
		seen[address] = true
	}
	return others
}

func (g *Gossiper) exchangeAll(ctx context.Context, addresses []string) {
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { g.exchange(ctx, address) })
	}
	wg.Wait()
}

func (g *Gossiper) exchange(ctx context.Context, address string) {
	var reply messenger.Digest
	if err := g.call(ctx, address, "Peer.Exchange", g.digest(), &reply); err != nil {
		g.count.Add("peers", "unreached")
		return
	}
	g.count.Add("peers", "exchanges")
	g.merge(ctx, reply)
}

// selfMember returns the current state of this instance. The lock must be held.
func (g *Gossiper) selfMember() messenger.Member {
	self := g.self
	self.Beat = g.heartbeat
	self.Leaving = g.board.Draining.Load()
	if index := g.board.Index.Load(); index != nil {
		self.Number = index.Number
	}
	return self
}
