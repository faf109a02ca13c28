// Package admitter bounds the requests under way whose prompts have suspect parts. One
// instance, the home of the prompts that may share parts, grants the turns to send them.
// What is known of the parts travels with claims and decisions, so a request that is sent
// after another one has crashed its endpoint counts as sent after that was known.
package admitter

import (
	"errors"
	"net"
	"net/rpc"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wisteriadrum/asker"
	"wisteriadrum/counter"
	"wisteriadrum/detector"
)

const (
	// refusalPause is how long an instance does not ask again for a part that has no slot.
	refusalPause = 50 * time.Millisecond
	// failurePause is the pause after a claim that the home did not answer. A home that is
	// lost is replaced once it counts as down.
	failurePause = 250 * time.Millisecond
	// endTries is how often the end of a turn is sent to a home that does not answer. The
	// turn then ends by its deadline.
	endTries = 3
	// maxHops is the number of instances that a claim passes at most: the hub of its
	// sender, and the home.
	maxHops       = 2
	maxProbations = 64
	maxNameBytes  = 256
	maxMillis     = 10 * 60 * 1000
	service       = "Turns"
)

// errMalformed means that a claim has a field out of range.
var errMalformed = errors.New("claim of a turn has a field out of range")

// Admitter claims turns, and grants them where this instance is the home.
type Admitter struct {
	name string
	// home returns the address of the instance to ask about a scope, which is its home or
	// forwards the claim, and whether this instance is the home.
	home     func(scope uint64) (address string, local bool)
	asker    *asker.Asker
	detector *detector.Detector
	count    *counter.Counter
	now      func() time.Time
	lastTurn atomic.Int64

	mu sync.Mutex
	// turns maps parts to the turns of requests under way, and these to their deadlines.
	turns map[uint64]map[string]time.Time
	// pauses maps parts to when this instance may claim turns for them again.
	pauses map[uint64]time.Time
}

// New returns an admitter. name is unique among all incarnations of all instances. home
// returns the address of the home of a scope and whether that is this instance.
func New(name string, home func(scope uint64) (address string, local bool), dial func(address string) (net.Conn, error), detect *detector.Detector, count *counter.Counter, now func() time.Time) *Admitter {
	return &Admitter{
		name: name, home: home, asker: asker.New(service+".Decide", dial), detector: detect, count: count, now: now,
		turns: map[uint64]map[string]time.Time{}, pauses: map[uint64]time.Time{},
	}
}

// Take claims a turn to send a request whose prompt has parts on probation. If it is
// granted, the caller calls end when the request is not under way any more, at until at
// the latest. end returns when the home knows it.
func (a *Admitter) Take(scope uint64, probations []detector.Probation, until time.Time) (end func(), granted bool) {
	now := a.now()
	if len(probations) == 0 || a.paused(probations, now) {
		return nil, false
	}
	claim := Claim{
		Scope: scope, Turn: a.name + "#" + strconv.FormatInt(a.lastTurn.Add(1), 10), Probations: probations,
		Millis: min(max(0, until.Sub(now).Milliseconds()), maxMillis),
	}
	decision, err := a.decide(claim)
	switch {
	case err != nil:
		a.count.Add("turns", "unanswered")
		a.pause(probations, now.Add(failurePause))
		go a.end(claim) // the home may have granted it
		return nil, false
	case !decision.Granted:
		a.count.Add("turns", "refused")
		a.detector.Merge(decision.Suspects, now)
		a.pause(probations, now.Add(refusalPause))
		return nil, false
	}
	a.count.Add("turns", "granted")
	a.detector.Merge(decision.Suspects, now)
	return func() { a.end(claim) }, true
}

// end ends a turn, with what is known of its parts now.
func (a *Admitter) end(claim Claim) {
	claim.Ended = true
	claim.Probations = a.detector.Review(claim.Probations, a.now())
	for range endTries {
		if _, err := a.decide(claim); err == nil {
			return
		}
		time.Sleep(failurePause)
	}
	a.count.Add("turns", "unended")
}

// paused reports whether a claim for one of the parts was refused just now.
func (a *Admitter) paused(probations []detector.Probation, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pauses[deepest(probations)].After(now)
}

// pause records when to claim again.
func (a *Admitter) pause(probations []detector.Probation, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for part, at := range a.pauses {
		if !at.After(a.now()) {
			delete(a.pauses, part)
		}
	}
	a.pauses[deepest(probations)] = until
}

// deepest returns the key of the last part.
func deepest(probations []detector.Probation) uint64 {
	return probations[len(probations)-1].Suspect.Part
}

// decide decides a claim here or at the home.
func (a *Admitter) decide(claim Claim) (Decision, error) {
	if err := claim.validate(); err != nil {
		return Decision{}, err
	}
	address, local := a.home(claim.Scope)
	if local || claim.Hops >= maxHops {
		return a.grant(claim), nil
	}
	claim.Hops++
	var decision Decision
	if err := a.asker.Ask(address, claim.Hops, claim, &decision); err != nil {
		return Decision{}, err
	}
	return decision, nil
}

// grant decides a claim as the home.
func (a *Admitter) grant(claim Claim) Decision {
	now := a.now()
	a.detector.Merge(suspects(claim.Probations), now)
	reviewed := a.detector.Review(claim.Probations, now)
	decision := Decision{Suspects: suspects(reviewed)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(claim.Turn, now)
	if claim.Ended {
		return decision
	}
	for _, probation := range reviewed {
		slots, bounded := probation.Slots()
		if bounded && len(a.turns[probation.Suspect.Part]) >= slots {
			return decision
		}
	}
	until := now.Add(time.Duration(claim.Millis) * time.Millisecond)
	for _, probation := range reviewed {
		part := probation.Suspect.Part
		if a.turns[part] == nil {
			a.turns[part] = map[string]time.Time{}
		}
		a.turns[part][claim.Turn] = until
	}
	decision.Granted = true
	return decision
}

// drop removes a turn, and those whose deadlines have passed. The caller holds the lock.
func (a *Admitter) drop(turn string, now time.Time) {
	for part, turns := range a.turns {
		delete(turns, turn)
		for other, until := range turns {
			if !until.After(now) {
				delete(turns, other)
			}
		}
		if len(turns) == 0 {
			delete(a.turns, part)
		}
	}
}

// decider is the RPC service of an admitter.
type decider struct{ admit *Admitter }

// Decide decides a claim of another instance, or forwards it to the home.
func (d *decider) Decide(claim Claim, decision *Decision) error {
	decided, err := d.admit.decide(claim)
	*decision = decided
	return err
}

// Register adds the service that decides the claims of other instances.
func (a *Admitter) Register(server *rpc.Server) error {
	return server.RegisterName(service, &decider{a})
}
