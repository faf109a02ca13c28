// Package gossiper exchanges what instances know: who lives, which
// configuration is in force, planned stops, quarantined requests and loads.
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
	"wisteriadrum/follower"
	"wisteriadrum/keeper"
	"wisteriadrum/lister"
	"wisteriadrum/messenger"
	"wisteriadrum/quarantiner"
	"wisteriadrum/tabler"
	"wisteriadrum/tracker"
)

const (
	tickEvery   = time.Second
	callTimeout = 2 * time.Second
	// deadAfter is the time without a sign of life after which an instance
	// no longer counts.
	deadAfter = 12 * time.Second
	// forgetAfter is the time after which it is not even asked any more.
	forgetAfter = 10 * time.Minute
	// smallFleet is the number of instances up to which ticks are frequent.
	smallFleet = 16
	fanout     = 4 // instances told at once of news
	// alarmMost and alarmTimeout bound an alarm.
	alarmMost    = 16
	alarmTimeout = 150 * time.Millisecond
	sampled      = 3  // members described in one digest
	beating      = 64 // members whose signs of life are in one digest
	loaded       = 24 // loads in one digest
	loadAge      = 3 * time.Second
)

// Handler is what an instance does for the others.
type Handler interface {
	// ClaimStatus says how a claim of this instance stands.
	ClaimStatus(ctx context.Context, token string) attester.Status
	// Apply commits a write in a batch of this instance.
	Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error)
	// Decide chooses as the home of a prefix.
	Decide(question messenger.AdviceRequest) (messenger.Advice, error)
	// RecordOutcome takes in what came of a choice.
	RecordOutcome(outcome messenger.Outcome)
}

// Gossiper exchanges digests with other instances.
type Gossiper struct {
	self   messenger.Member
	seeds  []string
	board  *keeper.Board
	ward   *quarantiner.Registry
	follow *follower.Follower
	slot   func(*tracker.Track) uint16
	dial   func(address string) (net.Conn, error)
	count  *counter.Counter
	log    *zap.Logger
	now    func() time.Time
	news   chan struct{}

	mu      sync.Mutex
	beat    uint64
	members map[string]*member
	clients map[string]*client
}

type member struct {
	messenger.Member
	heard time.Time
}

// New returns a gossiper for the instance self, which asks seeds first and
// opens connections with dial.
func New(self messenger.Member, seeds []string, board *keeper.Board, ward *quarantiner.Registry, follow *follower.Follower, slot func(*tracker.Track) uint16, dial func(address string) (net.Conn, error), count *counter.Counter, log *zap.Logger, now func() time.Time) *Gossiper {
	return &Gossiper{
		self: self, seeds: seeds, board: board, ward: ward, follow: follow, slot: slot, dial: dial,
		count: count, log: log, now: now, news: make(chan struct{}, 1),
		members: map[string]*member{}, clients: map[string]*client{},
	}
}

// Run exchanges digests until ctx ends. It begins with all instances it knows
// of, so that a fresh instance serves at once.
func (g *Gossiper) Run(ctx context.Context) {
	g.exchangeAll(ctx, g.first())
	for ctx.Err() == nil {
		timer := time.NewTimer(g.pause())
		select {
		case <-timer.C:
			g.tick(ctx)
		case <-g.news:
			g.exchangeAll(ctx, g.pick(fanout, ""))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// pause returns the time to the next tick. A large fleet ticks less often:
// news does not wait for ticks, which only make up for what was lost.
func (g *Gossiper) pause() time.Duration {
	every := tickEvery
	if len(g.board.Members.Load()) > smallFleet {
		every *= 2
	}
	return every/2 + rand.N(every)
}

// Notify makes the gossiper tell others at once of what has changed.
func (g *Gossiper) Notify() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// Members returns the instances believed alive, this one included.
func (g *Gossiper) Members() []messenger.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	alive := []messenger.Member{g.selfNow()}
	for _, known := range g.members {
		if now.Sub(known.heard) < deadAfter {
			alive = append(alive, known.Member)
		}
	}
	return alive
}

// SyncAll exchanges digests with every live instance and returns when each has
// answered or failed to.
func (g *Gossiper) SyncAll(ctx context.Context) {
	g.exchangeAll(ctx, g.pick(len(g.Members()), ""))
}

// Broadcast tells other instances of what must not wait. It tells all of them if
// they are few, else some that pass it on, and returns within a short time.
func (g *Gossiper) Broadcast() {
	ctx, cancel := context.WithTimeout(context.Background(), alarmTimeout)
	defer cancel()
	told := g.pick(alarmMost, "")
	g.exchangeAll(ctx, told)
	if len(told) == alarmMost {
		<-ctx.Done() // those told pass it on
	}
}

func (g *Gossiper) tick(ctx context.Context) {
	g.mu.Lock()
	g.beat++
	for name, known := range g.members {
		if g.now().Sub(known.heard) > forgetAfter {
			delete(g.members, name)
		}
	}
	g.mu.Unlock()
	g.board.Members.Store(g.Members())
	site := ""
	if rand.IntN(2) == 0 {
		site = g.self.DataCentre
	}
	targets := g.pick(1, site)
	if len(targets) == 0 {
		targets = g.pick(1, "")
	}
	if len(targets) == 0 {
		targets = g.first()
	} else if rand.IntN(8) == 0 {
		targets = append(targets, g.stranger()...)
	}
	g.exchangeAll(ctx, targets)
}

// first returns every address that might be an instance's.
func (g *Gossiper) first() []string {
	addresses := append([]string(nil), g.seeds...)
	for _, entry := range g.board.ListedInstances.Load() {
		if entry.Peer != "" && entry.State == lister.Live {
			addresses = append(addresses, entry.Peer)
		}
	}
	return g.others(addresses)
}

// stranger returns one address of an instance that is not known to live.
func (g *Gossiper) stranger() []string {
	alive := map[string]bool{}
	for _, known := range g.Members() {
		alive[known.Peer] = true
	}
	var strangers []string
	for _, address := range g.first() {
		if !alive[address] {
			strangers = append(strangers, address)
		}
	}
	if len(strangers) == 0 {
		return nil
	}
	return []string{strangers[rand.IntN(len(strangers))]}
}

// pick returns the addresses of some other live instances, in dataCentre
// unless that is empty.
func (g *Gossiper) pick(most int, dataCentre string) []string {
	var addresses []string
	for _, known := range g.Members()[1:] {
		if dataCentre == "" || known.DataCentre == dataCentre {
			addresses = append(addresses, known.Peer)
		}
	}
	addresses = g.others(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(most, len(addresses))]
}

func (g *Gossiper) others(addresses []string) []string {
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
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() { g.exchange(ctx, address) })
	}
	all.Wait()
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

// selfNow describes this instance. The lock must be held.
func (g *Gossiper) selfNow() messenger.Member {
	self := g.self
	self.Beat = g.beat
	self.Leaving = g.board.Draining.Load()
	if index := g.board.Index.Load(); index != nil {
		self.Number = index.Number
	}
	return self
}
