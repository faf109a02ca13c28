package streamer

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"wisteriadrum/answerer"
	"wisteriadrum/caller"
	"wisteriadrum/chooser"
	"wisteriadrum/chunker"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/tracker"
)

// outcome says how an attempt ended.
type outcome int

const (
	finished outcome = iota // the answer is complete
	moved                   // another endpoint may go on
	failed                  // the request ends here
)

// attempt is one named run at one engine, over one or more connections.
type attempt struct {
	*Streamer
	*generation
	ctx         context.Context
	track       *tracker.Track
	choice      chooser.Choice
	call        caller.Call
	name        string
	sequence    int // of the event relayed last
	incarnation string
	bytes       int
	first       bool
	adopted     bool
	mayRun      bool // a call has reached the engine, perhaps
	headSeen    bool // an answer has begun
	startOver   bool // the engine does not know the attempt yet
}

// errCut is returned for a stream that ended without its closing event.
var errCut = errors.New("the stream ended without its closing event")

// errGone is returned when the caller no longer takes the answer.
var errGone = errors.New("the caller has gone")

func (s *Streamer) newAttempt(ctx context.Context, g *generation, track *tracker.Track, name string) *attempt {
	prompt := g.request.Prompt.WithStream()
	if g.tokens > 0 {
		prompt = prompt.WithGenerated(g.text.String(), g.tokens)
	}
	now := s.now()
	return &attempt{
		Streamer: s, generation: g, ctx: ctx, track: track, name: name,
		incarnation: track.View().Incarnation,
		call: caller.Call{
			Address: track.Endpoint.Address, Attempt: name, Method: g.request.Method, Path: g.request.Path,
			ContentType: "application/json", Body: prompt.Encode(), Salt: g.request.Salt,
			Weights: weightsOf(g, track), Priority: g.request.Workspace.Priority,
			StartDeadline: g.request.Route.FirstByteDeadline(now), FirstByteDeadline: g.request.Route.FirstByteDeadline(now), IdleDeadline: g.request.Route.IdleDeadline,
		},
	}
}

// weightsOf returns the weights to demand of track: those that an answer was
// begun with, else those it holds if the pool accepts them, else the pool's own.
func weightsOf(g *generation, track *tracker.Track) string {
	if g.weights != "" {
		return g.weights
	}
	if weights := track.View().Weights; g.request.Pool.Accepts(weights) {
		return weights
	}
	return g.request.Pool.Version
}

// run connects until the answer is complete or the endpoint is given up.
func (a *attempt) run() (outcome, error) {
	var last error
	for fruitless := 0; fruitless < maxResumes; fruitless++ {
		before := a.sequence
		result, done, err := a.connect()
		if done {
			return result, err
		}
		last = err
		if a.sequence > before {
			fruitless = -1
		}
		a.count.Add("stream", "resumed-"+string(codeOf(err)))
		if a.startOver {
			a.call = a.call.WithStart(a.request.Route.FirstByteDeadline(a.now()))
			a.startOver = false
			continue
		}
		a.call = a.call.WithResume(a.sequence, a.now())
		if a.sequence == 0 {
			a.call.FirstByteDeadline = a.request.Route.FirstByteDeadline(a.now())
		}
	}
	a.picker.RecordFailure(a.track)
	a.cancel()
	return moved, last
}

// connect makes one connection and relays what comes over it. It reports
// whether the attempt is over; if not, it is to be resumed.
func (a *attempt) connect() (outcome, bool, error) {
	answer, err := a.dialer.Send(a.call)
	if err != nil {
		return a.unopened(err)
	}
	if answer.Refused {
		answer.Close(false)
		a.picker.RecordAnswer(a.request, a.track, answer)
		return a.refused(answer)
	}
	if answer.Status != statusOK {
		return a.rejected(answer)
	}
	a.reached()
	if a.headSeen && answer.Incarnation != a.incarnation {
		answer.Close(false)
		return a.crashed("the engine restarted")
	}
	a.headSeen = true
	a.incarnation = answer.Incarnation
	a.picker.RecordAnswer(a.request, a.track, answer)
	if answer.CachedBytes >= 0 && !a.adopted && a.sequence == 0 {
		a.picker.RecordCached(a.request, a.choice, answer.CachedBytes)
		a.count.Observe("cache.hit-permille", int64(1000*answer.CachedBytes/max(a.request.Chain.SizeBytes(), 1)))
	}
	err = a.relay(answer)
	answer.Close(err == nil)
	switch {
	case err == nil:
		return finished, true, nil
	case errors.Is(err, errGone):
		a.cancel()
		return failed, true, refuser.New(refuser.CallerGone, judge.Ran, "the caller has gone")
	case a.ctx.Err() != nil:
		a.cancel()
		return failed, true, refuser.New(refuser.CallerGone, judge.MayHaveRun, "the caller has gone")
	default:
		return moved, false, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "%s", err)
	}
}

const statusOK = 200

// unopened judges a call that brought no answer.
func (a *attempt) unopened(err error) (outcome, bool, error) {
	if judge.FromError(err) != judge.NotRun {
		a.reached()
		if codeOf(err) == refuser.Timeout && !a.headSeen {
			// Silence says nothing of a crash.
			a.incarnation = ""
		}
		return moved, false, err
	}
	a.picker.RecordFailure(a.track)
	if a.mayRun && codeOf(err) == refuser.UpstreamLost {
		return a.crashed(err.Error())
	}
	return moved, true, err
}

// refused judges an engine's own statement that it did not run the request.
// An attempt that is unknown never arrived, unless the engine has restarted.
func (a *attempt) refused(answer *answerer.Answer) (outcome, bool, error) {
	if answer.Reason == reasonUnknown && a.incarnation != "" && answer.Incarnation != a.incarnation {
		return a.crashed("the engine restarted")
	}
	if answer.Reason == reasonUnknown && a.sequence == 0 && !a.adopted {
		a.startOver = true
		return moved, false, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "the attempt did not arrive")
	}
	code := refuser.UpstreamBusy
	if answer.Reason == reasonWeights {
		code = refuser.WrongWeights
	}
	return moved, true, refuser.New(code, judge.NotRun, "endpoint %s: %s", a.track.Endpoint.Name, answer.Reason)
}

// Reasons by which an engine refuses, named here as the engine protocol does.
const (
	reasonUnknown = "unknown-attempt"
	reasonWeights = "wrong-weights"
)

// reached notes that the engine may have begun the request.
func (a *attempt) reached() {
	a.mayRun = true
	a.worst = judge.MayHaveRun
}

// rejected passes on an engine's word that the request is at fault.
func (a *attempt) rejected(answer *answerer.Answer) (outcome, bool, error) {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxReason))
	answer.Close(false)
	if answer.Status >= 500 {
		a.reached()
		a.picker.RecordFailure(a.track)
		return moved, true, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s answered %d", a.track.Endpoint.Name, answer.Status)
	}
	return failed, true, refuser.New(refuser.Rejected, judge.MayHaveRun, "the engine answered %d: %s", answer.Status, text)
}

const maxReason = 1024 // bytes

// crashed records that the engine ended while it ran the request.
func (a *attempt) crashed(reason string) (outcome, bool, error) {
	a.count.Add("stream", "engine-lost")
	if !a.adopted {
		a.picker.RecordCrash(a.request, a.track, a.incarnation)
	}
	return moved, true, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s: %s", a.track.Endpoint.Name, reason)
}

// relay passes the events on. It returns nil after the closing event.
func (a *attempt) relay(answer *answerer.Answer) error {
	for event, err := range sse.Read(answer.Body, nil) {
		if err != nil {
			return err
		}
		sequence, err := strconv.Atoi(event.LastEventID)
		if err != nil {
			return err
		}
		if sequence <= a.sequence {
			a.count.Add("stream", "duplicates")
			continue
		}
		if sequence != a.sequence+1 {
			a.count.Add("stream", "gaps")
			return errCut
		}
		if event.Data == chunker.Done {
			return drain(answer.Body)
		}
		if err := a.pass(sequence, event.Data); err != nil {
			return err
		}
	}
	return errCut
}

func (a *attempt) pass(sequence int, data string) error {
	chunk, err := chunker.New(data)
	if err != nil {
		return err
	}
	a.heardFirst()
	at := position{endpoint: a.track.Endpoint.Name, attempt: a.name, sequence: sequence}
	if a.sink.Send(at.String(), chunk.WithID(a.request.ID)) != nil {
		return errGone
	}
	a.sequence = sequence
	a.weights = a.call.Weights
	a.ended = a.ended || chunk.IsLast()
	if text := chunk.Text(); text != "" {
		a.text.WriteString(text)
		a.tokens++
	}
	return nil
}

// heardFirst counts the first token, once.
func (a *attempt) heardFirst() {
	if a.first {
		return
	}
	a.first = true
	a.track.FirstToken(a.bytes)
	if a.tokens == 0 && a.sequence == 0 && !a.adopted {
		a.count.Observe("latency.first-token-us", a.now().Sub(a.begun).Microseconds())
	}
}

func (a *attempt) cancel() {
	if a.mayRun {
		a.count.Add("stream", "cancelled")
		go func() { _ = a.dialer.Cancel(a.track.Endpoint.Address, a.name) }()
	}
}

// drain reads the end of a complete stream, so that its connection can be kept.
func drain(body io.Reader) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReason))
	return nil
}
