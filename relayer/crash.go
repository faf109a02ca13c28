package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/allotter"
	"wisteriadrum/detector"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refuser"
)

// loss is how an attempt lost its connection.
type loss struct {
	// crashed reports that the endpoint was taken as crashed, begun that it had begun
	// to answer.
	crashed, begun bool
	// suspects is the evidence against the parts of the prompt that changed.
	suspects []detector.Suspect
}

// recordCrash records that the endpoint crashed while it ran the attempt. The crash
// is no evidence against the prompt if this endpoint had begun to answer, or another one
// before.
func (r *Relayer) recordCrash(a *attempt, crash quarantiner.Crash, now time.Time) {
	a.loss = &loss{crashed: true, begun: a.begun}
	changed, refused, found := r.deps.Detector.RecordCrash(detector.Crash{
		Request: a.request, Marks: a.marks, Endpoint: crash.Endpoint + "@" + crash.Incarnation,
		Weights: max(a.weights, r.oldestWeights(a.request)), Begun: a.begun || a.lastEventID != "",
	}, now)
	a.loss.suspects = changed
	if len(changed) == 0 {
		return
	}
	r.deps.Count.Add("quarantine", "crashes")
	r.deps.AnnounceSuspects(changed)
	if found {
		r.deps.Count.Add("quarantine", "parts")
		r.deps.Log.Warn("part of prompts refused", a.partFields(refused)...)
		return
	}
	for _, part := range changed {
		if part.Blocked() && slices.ContainsFunc(a.marks, func(mark detector.Suspect) bool { return mark.Part == part.Part && mark.Trials < part.Trials }) {
			r.deps.Count.Add("quarantine", "trials")
			r.deps.Log.Warn("trial of a refused part of prompts failed", a.partFields(part)...)
		}
	}
}

// recordBegin records that the endpoint began to answer, which proves the parts of the
// prompt sound.
func (r *Relayer) recordBegin(a *attempt) {
	if a.begun {
		return
	}
	a.begun = true
	defer a.endTurn()
	r.endPlace(a.exchange, a.outcome(r.deps.Now()))
	a.settled.Store(true)
	void, cleared := r.deps.Detector.RecordAnswer(a.request, r.deps.Now())
	if len(cleared) == 0 {
		return
	}
	r.deps.AnnounceSuspects(cleared)
	r.deps.Count.AddMany("quarantine", "cleared", len(cleared))
	for _, part := range void {
		level := zap.InfoLevel // parts that share an endpoint with the cause are suspect for a moment
		if part.Refused {
			level = zap.WarnLevel
		}
		r.deps.Log.Log(level, "part of prompts cleared", a.partFields(part)...)
	}
}

// clearRequest makes the crashes void that an answered request was involved in.
func (r *Relayer) clearRequest(e *exchange) {
	if cleared, changed := r.deps.Quarantine.RecordAnswer(e.request.Fingerprint, r.deps.Now()); changed {
		r.deps.Count.Add("quarantine", "answered")
		r.deps.AnnounceCrash(cleared)
	}
}

// partFields returns the log fields of an event about a part of the prompt.
func (a *attempt) partFields(part detector.Suspect) []zap.Field {
	return []zap.Field{
		zap.String("part", part.Name), zap.Int("level", part.Level), zap.Bool("refused", part.Refused), zap.Time("until", part.Until),
		zap.Int("answers", part.Answers), zap.Int("trials", part.Trials), zap.Time("trial_at", part.TrialAt),
		zap.String("request", a.request.ID), zap.String("workspace", a.request.Workspace.Name), zap.String("model", a.request.Model), zap.String("endpoint", a.entry.Name),
	}
}

// fields returns the log fields of a loss, none if l is nil.
func (l *loss) fields() []zap.Field {
	if l == nil {
		return nil
	}
	suspects := make([]string, len(l.suspects))
	for i, part := range l.suspects {
		suspects[i] = fmt.Sprintf("%s=%d", part.Name, part.Level)
	}
	return []zap.Field{zap.Bool("crashed", l.crashed), zap.Bool("begun", l.begun), zap.Strings("suspects", suspects)}
}

// connectionFailed returns the refusal for an answer that did not arrive
// completely.
func (r *Relayer) connectionFailed(ctx context.Context, a *attempt, err error) *refuser.Refusal {
	if ctx.Err() != nil {
		return endedRefusal(ctx, judge.MayHaveRun)
	}
	if a.isDropped(err) && r.redial(a.entry.Address) == nil {
		a.unended = true
		r.deps.Count.Add("reset", "impossible")
	}
	now := r.deps.Now()
	var timeout net.Error
	if a.outdated.Load() {
		return refuser.New(refuser.WrongWeights, judge.MayHaveRun, "endpoint %s did not begin before version %d of the weights of %s went out of use", a.entry.Name, a.weights, a.request.Model)
	}
	if refusal := r.memoryRefusal(a, err); refusal != nil {
		return refusal
	}
	if a.abandoned.Load() {
		a.endpoint.RecordFailure(now)
		return refuser.New(refuser.Silent, judge.MayHaveRun, "endpoint %s sent nothing for %d ms", a.entry.Name, a.endpoint.SilentFor(now).Milliseconds())
	}
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.endpoint.RecordFailure(now)
		return refuser.New(refuser.Timeout, judge.MayHaveRun, "endpoint %s did not answer in time", a.entry.Name)
	}
	if a.conn.Reused {
		r.deps.Pool.Drop(a.entry.Address)
	}
	lost := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetworkError(err)
	if lost {
		r.recordLoss(a, now)
	} else {
		a.endpoint.RecordFailure(now)
	}
	return refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s: %s", a.entry.Name, err)
}

// isDropped reports whether the kernel has dropped the connection without telling the
// endpoint. It tells only the read or write that comes first; err is that of the read.
func (a *attempt) isDropped(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) || a.writeDone == nil {
		return errors.Is(err, syscall.ETIMEDOUT)
	}
	writeErr := a.endWrite(0)
	return errors.Is(writeErr, syscall.ETIMEDOUT)
}

// memoryRefusal returns the refusal for an answer that ended since its endpoint sent more
// than there is memory for, or nil for one that ended otherwise. The endpoint may have run
// the request, and its connection is no sign of a crash.
func (r *Relayer) memoryRefusal(a *attempt, err error) *refuser.Refusal {
	isFull := errors.Is(err, allotter.ErrFull) || a.memory.Evicted()
	switch {
	case isFull:
		r.deps.Count.Add("answers", "displaced")
		a.endpoint.RecordFailure(r.deps.Now())
	case errors.Is(err, framer.ErrTooLarge):
		r.deps.Count.Add("answers", "oversized")
		a.endpoint.RecordFailure(r.deps.Now())
	case !errors.Is(err, allotter.ErrTimeout):
		return nil
	}
	return refuser.New(refuser.AnswerLost, judge.MayHaveRun, "answer of endpoint %s: %s", a.entry.Name, err)
}

// recordLoss records that the connection of the attempt was lost, as a crash of its
// endpoint unless that accepts another one.
func (r *Relayer) recordLoss(a *attempt, now time.Time) {
	dialErr := r.redial(a.entry.Address)
	if dialErr == nil {
		a.endpoint.RecordReset(now)
		a.loss = &loss{begun: a.begun}
		return
	}
	r.recordDialFailure(a.endpoint, dialErr)
	crash := quarantiner.Crash{Endpoint: a.entry.Name, Incarnation: strconv.FormatInt(a.entry.Incarnation, 10)}
	r.deps.AnnounceCrash(r.deps.Quarantine.RecordCrash(a.request.Fingerprint, crash, now))
	r.recordCrash(a, crash, now)
}

// redial opens a new connection to an endpoint, which is kept for reuse. After a lost
// connection it distinguishes an endpoint that crashed from a connection that was reset
// while its endpoint works.
func (r *Relayer) redial(address string) error {
	conn, err := r.deps.Pool.Get(address, true)
	if err != nil {
		return err
	}
	r.deps.Pool.Put(address, conn, time.Time{})
	return nil
}

// isNetworkError reports whether err is an error of a network operation, such
// as a connection reset.
func isNetworkError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
