// Package granter grants room for long prompts at engines. Instances that choose an engine
// at the same moment do not see one another's choice, so one instance, the home of the
// engine, decides which prompts are sent.
package granter

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/asker"
	"wisteriadrum/counter"
	"wisteriadrum/reserver"
)

const (
	// failurePause is the time for which a home that did not answer is not asked.
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
	// engine returns the name of an engine and the KV memory that running requests hold
	// there.
	engine func(key uint64) (name string, runningTokens int)
	asker  *asker.Asker
	count  *counter.Counter
	log    *zap.Logger
	now    func() time.Time

	mu        sync.Mutex
	reservers map[uint64]reserver.Reserver
	pruneAt   time.Time
	// silentUntil is until when the home of the engine with a key is not asked.
	silentUntil map[uint64]time.Time
}

// New returns a granter. home returns the address of the home of the engine with a key and
// whether that is this instance, engine its name and the KV memory that running requests
// hold there.
func New(home func(key uint64) (address string, local bool), dial func(address string) (net.Conn, error), engine func(key uint64) (name string, runningTokens int), count *counter.Counter, log *zap.Logger, now func() time.Time) *Granter {
	return &Granter{
		home: home, asker: asker.New(service+".Answer", dial), engine: engine, count: count, log: log, now: now,
		reservers: map[uint64]reserver.Reserver{}, silentUntil: map[uint64]time.Time{},
	}
}

// Take asks for room for a prompt at the engine with a key.
func (g *Granter) Take(key uint64, request reserver.Request) reserver.Answer {
	answer := g.decide(Ask{Key: key, Room: request})
	switch answer {
	case reserver.Granted:
		g.count.Add("room", "granted")
	case reserver.Crowded:
		g.count.Add("room", "crowded")
	default:
		g.count.Add("room", "refused")
	}
	return answer
}

// EndClaim ends the wait of a prompt at the engine with a key.
func (g *Granter) EndClaim(key, id uint64) {
	g.decide(Ask{Key: key, Room: reserver.Request{ID: id, Ends: true}})
}

// decide decides a request at the home, or here by what this instance knows if the home
// does not answer.
func (g *Granter) decide(ask Ask) reserver.Answer {
	address, local := g.home(ask.Key)
	if local || ask.Hops >= maxHops {
		return g.grant(ask)
	}
	if !g.silent(ask.Key) {
		forwarded := ask
		forwarded.Hops++
		var answer reserver.Answer
		if err := g.asker.Ask(address, forwarded.Hops, forwarded, &answer); err == nil {
			return answer
		}
		g.recordSilence(ask.Key)
	}
	g.count.Add("room", "unanswered")
	return g.grant(ask)
}

// grant decides a request as the home of the engine.
func (g *Granter) grant(ask Ask) reserver.Answer {
	name, running := g.engine(ask.Key)
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prune(now)
	next, answer := g.reservers[ask.Key].Take(ask.Room, running, now)
	g.reservers[ask.Key] = next
	g.recordEnded(name, next.Ended(), now)
	return answer
}

// recordEnded counts and logs claims that have ended at an engine.
func (g *Granter) recordEnded(engine string, ended []reserver.End, now time.Time) {
	for _, claim := range ended {
		if claim.Granted {
			g.count.Add("room", "turn")
		} else {
			g.count.Add("room", "expired")
		}
		firstFor := time.Duration(0)
		if !claim.FirstAt.IsZero() {
			firstFor = now.Sub(claim.FirstAt)
		}
		g.log.Info("claim ended", zap.String("endpoint", engine), zap.Int("prompt", claim.Tokens), zap.Int("priority", claim.Priority), zap.Bool("granted", claim.Granted),
			zap.Int64("waited", now.Sub(claim.ClaimedAt).Milliseconds()), zap.Int64("first", firstFor.Milliseconds()), zap.Bool("stalled", claim.Stalled))
	}
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

// silent reports whether the home of the engine with a key did not answer lately.
func (g *Granter) silent(key uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Before(g.silentUntil[key])
}

// recordSilence records that the home of the engine with a key did not answer.
func (g *Granter) recordSilence(key uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for other, until := range g.silentUntil {
		if !now.Before(until) {
			delete(g.silentUntil, other)
		}
	}
	g.silentUntil[key] = now.Add(failurePause)
}

// decider is the RPC service of a granter.
type decider struct{ grant *Granter }

// Answer decides a request of another instance, or forwards it to the home of the engine.
func (d *decider) Answer(ask Ask, answer *reserver.Answer) error {
	if err := ask.Room.Validate(); err != nil {
		return err
	}
	*answer = d.grant.decide(ask)
	return nil
}

// Register adds the service that decides the requests of other instances.
func (g *Granter) Register(server *rpc.Server) error {
	return server.RegisterName(service, &decider{g})
}
