// Package granter grants room for long prompts at engines. Instances that choose an engine
// at the same moment do not see one another's choice, so one instance, the home of the
// engine, decides which prompts are sent.
package granter

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"wisteriadrum/asker"
	"wisteriadrum/counter"
	"wisteriadrum/reserver"
)

const (
	// failurePause is the time for which an instance that did not answer is not asked.
	failurePause = 250 * time.Millisecond
	// pruneInterval is the interval at which unused reservers are dropped.
	pruneInterval = time.Second
	// maxHops is the number of instances that a request passes at most: the hub of its
	// sender, and the home.
	maxHops = 2
	service = "Room"
)

// Ask is a request for room at an engine, sent between instances.
type Ask struct {
	// Key identifies the engine.
	Key  uint64
	Room reserver.Request
	// Hops is the number of instances that have forwarded the request.
	Hops int
}

// Granter asks for room, and grants it for the engines whose home this instance is.
type Granter struct {
	// home returns the address of the instance to ask about an engine, which is its home
	// or forwards the request, and whether this instance is the home.
	home func(key uint64) (address string, local bool)
	// runningTokens returns the KV memory that running requests hold at an engine.
	runningTokens func(key uint64) int
	asker         *asker.Asker
	count         *counter.Counter
	now           func() time.Time

	mu        sync.Mutex
	reservers map[uint64]reserver.Reserver
	pruneAt   time.Time
	// silentUntil is until when the instance with an address is not asked.
	silentUntil map[string]time.Time
}

// New returns a granter. home returns the address of the home of the engine with a key and
// whether that is this instance, runningTokens the KV memory that running requests hold
// there.
func New(home func(key uint64) (address string, local bool), dial func(address string) (net.Conn, error), runningTokens func(key uint64) int, count *counter.Counter, now func() time.Time) *Granter {
	return &Granter{
		home: home, asker: asker.New(service+".Decide", dial), runningTokens: runningTokens, count: count, now: now,
		reservers: map[uint64]reserver.Reserver{}, silentUntil: map[string]time.Time{},
	}
}

// Take asks for room for a prompt at the engine with a key. Without an answer of the home
// there is room: at worst, the engine is busier than this instance knows.
func (g *Granter) Take(key uint64, request reserver.Request) bool {
	granted, err := g.decide(Ask{Key: key, Room: request})
	switch {
	case err != nil:
		g.count.Add("room", "unanswered")
		return true
	case granted:
		g.count.Add("room", "granted")
	default:
		g.count.Add("room", "refused")
	}
	return granted
}

// errSilent means that the instance to ask did not answer lately.
var errSilent = errors.New("instance did not answer lately")

// decide decides a request here or at the home.
func (g *Granter) decide(ask Ask) (granted bool, err error) {
	if err := ask.Room.Validate(); err != nil {
		return false, err
	}
	address, local := g.home(ask.Key)
	if local || ask.Hops >= maxHops {
		return g.grant(ask), nil
	}
	if g.silent(address) {
		return false, errSilent
	}
	ask.Hops++
	if err := g.asker.Ask(address, ask, &granted); err != nil {
		g.recordSilence(address)
		return false, err
	}
	return granted, nil
}

// grant decides a request as the home of the engine.
func (g *Granter) grant(ask Ask) bool {
	running := g.runningTokens(ask.Key)
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prune(now)
	next, granted := g.reservers[ask.Key].Take(ask.Room, running, now)
	g.reservers[ask.Key] = next
	return granted
}

// prune drops the reservers that keep nothing any more. The caller holds the lock.
func (g *Granter) prune(now time.Time) {
	if now.Before(g.pruneAt) {
		return
	}
	g.pruneAt = now.Add(pruneInterval)
	for key, kept := range g.reservers {
		if !now.Before(kept.SettledAt()) {
			delete(g.reservers, key)
		}
	}
}

// silent reports whether the instance at address did not answer lately.
func (g *Granter) silent(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Before(g.silentUntil[address])
}

// recordSilence records that the instance at address did not answer.
func (g *Granter) recordSilence(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for other, until := range g.silentUntil {
		if !now.Before(until) {
			delete(g.silentUntil, other)
		}
	}
	g.silentUntil[address] = now.Add(failurePause)
}

// decider is the RPC service of a granter.
type decider struct{ grant *Granter }

// Decide decides a request of another instance, or forwards it to the home of the engine.
func (d *decider) Decide(ask Ask, granted *bool) error {
	decided, err := d.grant.decide(ask)
	*granted = decided
	return err
}

// Register adds the service that decides the requests of other instances.
func (g *Granter) Register(server *rpc.Server) error {
	return server.RegisterName(service, &decider{g})
}
