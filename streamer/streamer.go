// Package streamer brings a generated answer to its caller complete and in
// order, over lost connections and lost engines.
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
	maxMoves   = 6 // endpoints tried for one request
	maxResumes = 3 // connections without a new event to one endpoint
	movePause  = 20 * time.Millisecond
	maxRounds  = 2 // over all endpoints, after the first
	roundPause = 50 * time.Millisecond
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

// generation is a request on its way through one or more attempts.
type generation struct {
	request *resolver.Request
	sink    Sink
	text    strings.Builder // relayed
	tokens  int             // chunks with text relayed
	tried   []*tracker.Track
	moves   int
	rounds  int
	ended   bool   // the last token has been relayed
	weights string // that the text relayed came from
	cause   error  // of the last move
	begun   time.Time
	worst   judge.Verdict // over all attempts
}

// Run sends request to an engine and its answer to sink, and moves to other
// engines as needed. It returns nil only after a complete answer.
func (s *Streamer) Run(ctx context.Context, request *resolver.Request, sink Sink) error {
	g := &generation{request: request, sink: sink, begun: s.now()}
	if request.LastEventID != "" {
		return s.resume(ctx, g)
	}
	for {
		choice, err := s.picker.Pick(request, g.tried)
		if err != nil && s.again(g, err) {
			continue
		}
		if err != nil {
			return g.verdict(refuser.CauseOf(err, g.cause))
		}
		outcome, err := s.attempt(ctx, g, choice)
		if outcome == finished || g.ended {
			// Without its closing event an answer is whole once its last
			// token has come.
			s.budget.RecordRequest()
			return nil
		}
		if outcome == failed {
			return err
		}
		if err := s.move(ctx, g, choice.Track, err); err != nil {
			return err
		}
	}
}

// again begins another round when every endpoint was tried, after a pause.
func (s *Streamer) again(g *generation, err error) bool {
	if codeOf(err) != refuser.NoEndpoint || len(g.tried) == 0 || g.rounds == maxRounds {
		return false
	}
	g.rounds++
	g.tried = nil
	s.count.Add("retry", "round")
	time.Sleep(roundPause << g.rounds)
	return true
}

// move decides whether the request goes on at another endpoint after cause.
func (s *Streamer) move(ctx context.Context, g *generation, from *tracker.Track, cause error) error {
	g.tried = append(g.tried, from)
	g.moves++
	g.cause = cause
	switch {
	case g.tokens > 0 && !g.request.Pool.CanContinue:
		return refuser.New(refuser.UpstreamLost, judge.Ran, "the engine was lost after %d tokens: %s", g.tokens, cause)
	case ctx.Err() != nil:
		return refuser.New(refuser.CallerGone, max(g.worst, judge.NotRun), "the caller has gone")
	case g.moves >= maxMoves, !s.budget.TryRetry():
		s.count.Add("retry", "exhausted")
		return g.verdict(cause)
	}
	s.count.Add("retry", string(codeOf(cause)))
	time.Sleep(movePause)
	return nil
}

// resume goes on with an answer that the caller lost.
func (s *Streamer) resume(ctx context.Context, g *generation) error {
	at, err := parsePosition(g.request.LastEventID)
	if err != nil {
		return err
	}
	track := s.board.Fleet.Load().Track(at.endpoint)
	if track == nil || track.Endpoint.Pool != g.request.Route.Pool {
		return refuser.New(refuser.AnswerLost, judge.Ran, "endpoint %q, which holds the answer, is not configured", at.endpoint)
	}
	s.count.Add("stream", "resumed-by-caller")
	a := s.newAttempt(ctx, g, track, at.attempt)
	a.sequence = at.sequence
	a.adopted = true
	a.incarnation = ""
	a.call = a.call.WithResume(at.sequence, s.now())
	outcome, err := a.run()
	if outcome == finished || g.ended {
		return nil
	}
	if outcome == moved {
		return refuser.New(refuser.AnswerLost, judge.Ran, "the rest of the answer is lost: %s", err)
	}
	return err
}

func (s *Streamer) attempt(ctx context.Context, g *generation, choice chooser.Choice) (outcome, error) {
	name := fmt.Sprintf("%s-%d", g.request.ID, g.moves)
	a := s.newAttempt(ctx, g, choice.Track, name)
	a.choice = choice
	a.bytes = g.request.Chain.MissingBytes(min(choice.CachedLevels, g.request.Chain.Depth()))
	choice.Track.Begin(a.bytes)
	defer choice.Track.End()
	defer a.heardFirst()
	return a.run()
}

// verdict returns err with the verdict of the whole generation.
func (g *generation) verdict(err error) error {
	refusal, ok := err.(*refuser.Refusal)
	if !ok {
		return err
	}
	if g.tokens > 0 {
		return refusal.WithVerdict(judge.Ran)
	}
	return refusal.WithVerdict(max(refusal.Ran, g.worst))
}

func codeOf(err error) refuser.Code {
	if refusal, ok := err.(*refuser.Refusal); ok {
		return refusal.Code
	}
	return refuser.UpstreamLost
}
