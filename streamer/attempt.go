package streamer

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"wisteriadrum/answerer"
	"wisteriadrum/caller"
	"wisteriadrum/chooser"
	"wisteriadrum/chunker"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/tracker"
)

// outcome is the result of an attempt.
type outcome int

const (
	finished       outcome = iota // the answer is complete
	switchEndpoint                // another endpoint may continue
	failed                        // the request has failed
)

// attempt is one execution of a request at one engine. It may use several
// connections, which all carry the same attempt ID.
type attempt struct {
	*Streamer
	*generation
	ctx             context.Context
	track           *tracker.Track
	choice          chooser.Choice
	call            caller.Call
	id              string
	sequence        int // of the last relayed event
	incarnation     string
	missingBytes    int
	firstTokenSeen  bool
	resumedByCaller bool
	mayHaveRun      bool // a call may have reached the engine
	headReceived    bool // the head of an answer was received
	resendFromStart bool // the engine has not received the attempt
}

// errTruncated means that a stream ended without its closing event or that an
// event is missing in it.
var errTruncated = errors.New("the stream ended without its closing event")

// errCallerGone means that the caller does not receive the answer any more.
var errCallerGone = errors.New("the caller has gone")

func (s *Streamer) newAttempt(ctx context.Context, g *generation, track *tracker.Track, id string) *attempt {
	prompt := g.request.Prompt.WithStream()
	if g.relayedTokens > 0 {
		prompt = prompt.WithGenerated(g.relayedText.String(), g.relayedTokens)
	}
	now := s.now()
	return &attempt{
		Streamer: s, generation: g, ctx: ctx, track: track, id: id,
		incarnation: track.View().Incarnation,
		call: caller.Call{
			Address: track.Endpoint.Address, Attempt: id, Method: g.request.Method, Path: g.request.Path,
			ContentType: "application/json", Body: prompt.Encode(), Salt: g.request.Salt,
			Weights: requiredWeights(g, track), Priority: g.request.Workspace.Priority,
			StartDeadline: g.request.Route.FirstByteDeadline(now), FirstByteDeadline: g.request.Route.FirstByteDeadline(now), IdleDeadline: g.request.Route.IdleDeadline,
		},
	}
}

// requiredWeights returns the version of the weights that track must use: that of
// the text relayed so far, else the version that track has loaded if the pool
// accepts it, else the version of the pool.
func requiredWeights(g *generation, track *tracker.Track) string {
	if g.weights != "" {
		return g.weights
	}
	if weights := track.View().Weights; g.request.Pool.Accepts(weights) {
		return weights
	}
	return g.request.Pool.Version
}

// run opens connections until the answer is complete, the attempt has failed, or
// several connections in a row brought no new event.
func (a *attempt) run() (outcome, error) {
	var lastErr error
	for fruitless := 0; fruitless < maxFruitlessConnections; fruitless++ {
		previous := a.sequence
		result, done, err := a.connect()
		if done {
			return result, err
		}
		lastErr = err
		if a.sequence > previous {
			fruitless = -1
		}
		a.count.Add("stream", "resumed-"+string(codeOf(err)))
		if a.resendFromStart {
			a.call = a.call.WithStart(a.request.Route.FirstByteDeadline(a.now()))
			a.resendFromStart = false
			continue
		}
		a.call = a.call.WithResume(a.sequence, a.now())
		if a.sequence == 0 {
			a.call.FirstByteDeadline = a.request.Route.FirstByteDeadline(a.now())
		}
	}
	a.picker.RecordFailure(a.track)
	select {
	case <-a.cancel(): // it must not run at two engines
	case <-time.After(cancelTimeout):
	}
	return switchEndpoint, lastErr
}

// connect opens one connection and relays its events. The second result reports
// whether the attempt is over; otherwise it can be resumed.
func (a *attempt) connect() (outcome, bool, error) {
	answer, err := a.dialer.Send(a.call)
	if err != nil {
		return a.handleSendError(err)
	}
	if answer.Refused {
		answer.Close(false)
		a.picker.RecordAnswer(a.request, a.track, answer)
		return a.handleRefusal(answer)
	}
	if answer.Status != statusOK {
		return a.handleErrorStatus(answer)
	}
	a.markMayHaveRun()
	if a.headReceived && answer.Incarnation != a.incarnation {
		answer.Close(false)
		return a.handleCrash("the engine restarted")
	}
	a.headReceived = true
	a.incarnation = answer.Incarnation
	a.picker.RecordAnswer(a.request, a.track, answer)
	if answer.CachedBytes >= 0 && !a.resumedByCaller && a.sequence == 0 {
		a.picker.RecordCached(a.request, a.choice, answer.CachedBytes)
		a.count.Observe("cache.hit-permille", int64(1000*answer.CachedBytes/max(a.request.Chain.SizeBytes(), 1)))
	}
	err = a.relay(answer)
	answer.Close(err == nil)
	switch {
	case err == nil:
		return finished, true, nil
	case errors.Is(err, errCallerGone):
		a.cancel()
		return failed, true, refuser.New(refuser.CallerGone, judge.Ran, "the caller has gone")
	case a.ctx.Err() != nil:
		a.cancel()
		return failed, true, refuser.New(refuser.CallerGone, judge.MayHaveRun, "the caller has gone")
	default:
		return switchEndpoint, false, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "%s", err)
	}
}

const statusOK = 200

// handleSendError handles a call that failed before an answer arrived.
func (a *attempt) handleSendError(err error) (outcome, bool, error) {
	if judge.FromError(err) != judge.NotRun {
		a.markMayHaveRun()
		if codeOf(err) == refuser.Timeout && !a.headReceived {
			// A timeout is no evidence of a crash, so a later change of the
			// incarnation must not be recorded as one.
			a.incarnation = ""
		}
		return switchEndpoint, false, err
	}
	a.picker.RecordFailure(a.track)
	if a.mayHaveRun && codeOf(err) == refuser.UpstreamLost {
		return a.handleCrash(err.Error())
	}
	return switchEndpoint, true, err
}

// handleRefusal handles an answer in which the engine reports that it did not run
// the request. If the engine does not know the attempt, the request never arrived
// or the engine has restarted since.
func (a *attempt) handleRefusal(answer *answerer.Answer) (outcome, bool, error) {
	if answer.Reason == reasonUnknownAttempt && a.incarnation != "" && answer.Incarnation != a.incarnation {
		return a.handleCrash("the engine restarted")
	}
	if answer.Reason == reasonUnknownAttempt && a.sequence == 0 && !a.resumedByCaller {
		a.resendFromStart = true
		return switchEndpoint, false, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "the attempt did not arrive")
	}
	code := refuser.UpstreamBusy
	if answer.Reason == reasonWrongWeights {
		code = refuser.WrongWeights
	}
	return switchEndpoint, true, refuser.New(code, judge.NotRun, "endpoint %s: %s", a.track.Endpoint.Name, answer.Reason)
}

// Reasons of refusals in the engine protocol.
const (
	reasonUnknownAttempt = "unknown-attempt"
	reasonWrongWeights   = "wrong-weights"
)

// markMayHaveRun records that the engine may have started the request.
func (a *attempt) markMayHaveRun() {
	a.mayHaveRun = true
	a.worstVerdict = judge.MayHaveRun
}

// handleErrorStatus handles a status other than 200. A status below 500 means
// that the request is at fault, so no other engine is tried, unless the answer was
// cut.
func (a *attempt) handleErrorStatus(answer *answerer.Answer) (outcome, bool, error) {
	message, err := io.ReadAll(io.LimitReader(answer.Body, maxReasonBytes))
	answer.Close(false)
	if answer.Status >= 500 {
		a.markMayHaveRun()
		a.picker.RecordFailure(a.track)
		return switchEndpoint, true, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s answered %d", a.track.Endpoint.Name, answer.Status)
	}
	if err != nil {
		a.markMayHaveRun()
		return switchEndpoint, false, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "the answer %d of endpoint %s was cut: %s", answer.Status, a.track.Endpoint.Name, err)
	}
	return failed, true, refuser.New(refuser.Rejected, judge.MayHaveRun, "the engine answered %d: %s", answer.Status, message)
}

const maxReasonBytes = 1024

// handleCrash records that the engine crashed while it ran the request.
func (a *attempt) handleCrash(reason string) (outcome, bool, error) {
	a.count.Add("stream", "engine-lost")
	if !a.resumedByCaller {
		a.picker.RecordCrash(a.request, a.track, a.incarnation)
	}
	return switchEndpoint, true, refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s: %s", a.track.Endpoint.Name, reason)
}

// relay sends the events of answer to the sink. It returns nil after the closing
// event.
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
			return errTruncated
		}
		if event.Data == chunker.Done {
			discardRest(answer)
			return nil
		}
		if err := a.relayEvent(sequence, event.Data); err != nil {
			return err
		}
	}
	return errTruncated
}

func (a *attempt) relayEvent(sequence int, data string) error {
	chunk, err := chunker.New(data)
	if err != nil {
		return err
	}
	a.recordFirstToken()
	eventID := position{endpoint: a.track.Endpoint.Name, attempt: a.id, sequence: sequence}
	if a.sink.Send(eventID.String(), chunk.WithID(a.request.ID)) != nil {
		return errCallerGone
	}
	a.sequence = sequence
	a.weights = a.call.Weights
	a.lastTokenRelayed = a.lastTokenRelayed || chunk.IsLast()
	if text := chunk.Text(); text != "" {
		a.relayedText.WriteString(text)
		a.relayedTokens++
	}
	return nil
}

// recordFirstToken counts the first token. Further calls do nothing.
func (a *attempt) recordFirstToken() {
	if a.firstTokenSeen {
		return
	}
	a.firstTokenSeen = true
	a.track.FirstToken(a.missingBytes)
	if a.relayedTokens == 0 && a.sequence == 0 && !a.resumedByCaller {
		a.count.Observe("latency.first-token-us", a.now().Sub(a.startedAt).Microseconds())
	}
}

// cancel asks the engine to end the attempt, if it may have begun. The returned channel is
// closed when the engine has answered or the call has failed.
func (a *attempt) cancel() <-chan struct{} {
	done := make(chan struct{})
	if !a.mayHaveRun {
		close(done)
		return done
	}
	a.count.Add("stream", "cancelled")
	go func() {
		defer close(done)
		_ = a.dialer.Cancel(a.track.Endpoint.Address, a.id)
	}()
	return done
}

// discardRest reads the rest of a complete stream, so that its connection can be
// reused. It does not wait for the end of a connection that cannot be.
func discardRest(answer *answerer.Answer) {
	if answer.Length != answerer.UntilClose {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxReasonBytes))
	}
}
