// Package streamer runs model requests and streams their answers. It resumes an
// answer after a lost connection and continues it at another engine after the
// loss of an engine, so that the caller receives all events once and in order.
package streamer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"wisteriadrum/budgeter"
	"wisteriadrum/chooser"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/judge"
	"wisteriadrum/keeper"
	"wisteriadrum/picker"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/tracker"
)

const (
	attemptLimit            = 6 // per request
	maxFruitlessConnections = 3 // in a row at one endpoint
	switchDelay             = 20 * time.Millisecond
	maxRounds               = 2 // additional rounds over all endpoints
	roundDelay              = 50 * time.Millisecond
	// cancelTimeout limits the wait for an engine to end an attempt that goes on at another.
	cancelTimeout = 300 * time.Millisecond
)

// Streamer runs model requests.
type Streamer struct {
	board  *keeper.Board
	dialer dialer.Dialer
	picker *picker.Picker
	budget *budgeter.Budget
	count  *counter.Counter
	now    func() time.Time
}

// New returns a streamer.
func New(board *keeper.Board, dial dialer.Dialer, pick *picker.Picker, budget *budgeter.Budget, count *counter.Counter, now func() time.Time) *Streamer {
	return &Streamer{board: board, dialer: dial, picker: pick, budget: budget, count: count, now: now}
}

// generation is the state of a request over all of its attempts.
type generation struct {
	request          *resolver.Request
	sink             Sink
	relayedText      strings.Builder
	relayedTokens    int // relayed chunks that have text
	tried            []*tracker.Track
	switches         int // to another endpoint
	rounds           int
	lastTokenRelayed bool   // the relayed events include the last token
	weights          string // version that produced relayedText
	cause            error  // of the last switch to another endpoint
	startedAt        time.Time
	worstVerdict     judge.Verdict // over all attempts
}

// Run sends request to an engine and streams the answer to sink. After a failure
// it switches to other engines as long as the retry budget allows. It returns nil
// only after a complete answer.
func (s *Streamer) Run(ctx context.Context, request *resolver.Request, sink Sink) error {
	g := &generation{request: request, sink: sink, startedAt: s.now()}
	if request.LastEventID != "" {
		return s.resume(ctx, g)
	}
	for {
		choice, err := s.picker.Pick(request, g.tried)
		if err != nil && s.startRound(g, err) {
			continue
		}
		if err != nil {
			return g.withWorstVerdict(refuser.CauseOf(err, g.cause))
		}
		outcome, err := s.attempt(ctx, g, choice)
		if outcome == finished || g.lastTokenRelayed {
			// An answer is complete after its last token, even if the closing
			// event is lost.
			s.budget.RecordRequest()
			return nil
		}
		if outcome == failed {
			return err
		}
		if err := s.prepareSwitch(ctx, g, choice.Track, err); err != nil {
			return err
		}
	}
}

// startRound starts another round over all endpoints after a delay, if every
// endpoint was tried. It reports whether it did.
func (s *Streamer) startRound(g *generation, err error) bool {
	if codeOf(err) != refuser.NoEndpoint || len(g.tried) == 0 || g.rounds == maxRounds {
		return false
	}
	g.rounds++
	g.tried = nil
	s.count.Add("retry", "round")
	time.Sleep(roundDelay << g.rounds)
	return true
}

// prepareSwitch decides whether the request may continue at another endpoint after
// cause, and waits before the switch. It returns an error if the request has
// failed.
func (s *Streamer) prepareSwitch(ctx context.Context, g *generation, from *tracker.Track, cause error) error {
	g.tried = append(g.tried, from)
	g.switches++
	g.cause = cause
	switch {
	case g.relayedTokens > 0 && !g.request.Pool.CanContinue:
		return refuser.New(refuser.UpstreamLost, judge.Ran, "the engine was lost after %d tokens: %s", g.relayedTokens, cause)
	case ctx.Err() != nil:
		return refuser.New(refuser.CallerGone, max(g.worstVerdict, judge.NotRun), "the caller has gone")
	case g.switches >= attemptLimit, !s.budget.TryRetry():
		s.count.Add("retry", "exhausted")
		return g.withWorstVerdict(cause)
	}
	s.count.Add("retry", string(codeOf(cause)))
	time.Sleep(switchDelay)
	return nil
}

// resume continues an answer from the event that the caller received last.
func (s *Streamer) resume(ctx context.Context, g *generation) error {
	lastEvent, err := parsePosition(g.request.LastEventID)
	if err != nil {
		return err
	}
	track := s.board.Fleet.Load().Track(lastEvent.endpoint)
	if track == nil || track.Endpoint.Pool != g.request.Route.Pool {
		return refuser.New(refuser.AnswerLost, judge.Ran, "endpoint %q, which holds the answer, is not configured", lastEvent.endpoint)
	}
	s.count.Add("stream", "resumed-by-caller")
	a := s.newAttempt(ctx, g, track, lastEvent.attempt)
	a.sequence = lastEvent.sequence
	a.resumedByCaller = true
	a.incarnation = ""
	a.call = a.call.WithResume(lastEvent.sequence, s.now())
	outcome, err := a.run()
	if outcome == finished || g.lastTokenRelayed {
		return nil
	}
	if outcome == switchEndpoint {
		return refuser.New(refuser.AnswerLost, judge.Ran, "the rest of the answer is lost: %s", err)
	}
	return err
}

func (s *Streamer) attempt(ctx context.Context, g *generation, choice chooser.Choice) (outcome, error) {
	id := fmt.Sprintf("%s-%d", g.request.ID, g.switches)
	a := s.newAttempt(ctx, g, choice.Track, id)
	a.choice = choice
	a.missingBytes = g.request.Chain.MissingBytes(min(choice.CachedLevels, g.request.Chain.Depth()))
	choice.Track.Begin(a.missingBytes)
	defer choice.Track.End()
	defer a.recordFirstToken()
	return a.run()
}

// withWorstVerdict returns err with the least favourable verdict of all attempts.
func (g *generation) withWorstVerdict(err error) error {
	refusal, ok := err.(*refuser.Refusal)
	if !ok {
		return err
	}
	if g.relayedTokens > 0 {
		return refusal.WithVerdict(judge.Ran)
	}
	return refusal.WithVerdict(max(refusal.Ran, g.worstVerdict))
}

func codeOf(err error) refuser.Code {
	if refusal, ok := err.(*refuser.Refusal); ok {
		return refusal.Code
	}
	return refuser.UpstreamLost
}
