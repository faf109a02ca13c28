// Package attempter brings requests to plain services and their whole answers back.
package attempter

import (
	"context"
	"fmt"
	"io"
	"time"

	"wisteriadrum/answerer"
	"wisteriadrum/budgeter"
	"wisteriadrum/caller"
	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/judge"
	"wisteriadrum/picker"
	"wisteriadrum/recorder"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/tracker"
)

const (
	maxMoves   = 6
	maxAnswer  = 16 << 20 // bytes
	movePause  = 20 * time.Millisecond
	maxRounds  = 2 // over all endpoints, after the first
	roundPause = 50 * time.Millisecond
	identity   = -2 // length of a body that ends with its connection
)

// Attempter runs requests at plain services.
type Attempter struct {
	dialer dialer.Dialer
	picker *picker.Picker
	claims *claimer.Claimer
	budget *budgeter.Budget
	count  *counter.Counter
	now    func() time.Time
}

// New returns an attempter.
func New(dial dialer.Dialer, pick *picker.Picker, claims *claimer.Claimer, budget *budgeter.Budget, count *counter.Counter, now func() time.Time) *Attempter {
	return &Attempter{dialer: dial, picker: pick, claims: claims, budget: budget, count: count, now: now}
}

// Run sends request to a service and returns its whole answer. Non-idempotent
// requests run at most once: those with a key over all their resends, those
// without one over all attempts made here.
func (a *Attempter) Run(ctx context.Context, request *resolver.Request) (recorder.Answer, error) {
	if !request.Route.AtMostOnce || request.IdempotencyKey == "" {
		return a.attempts(request, time.Time{})
	}
	expires := request.Route.RecordExpiry(request.ReceivedAt)
	return a.claims.Do(ctx, request.ClaimKey(), request.ContentHash(), expires, func(sendBy time.Time) (recorder.Answer, error) {
		return a.attempts(request, sendBy)
	})
}

// attempts tries endpoints until one answers. Once-only work is tried again
// only where the last attempt is known not to have run.
func (a *Attempter) attempts(request *resolver.Request, sendBy time.Time) (recorder.Answer, error) {
	var tried []*tracker.Track
	worst := judge.NotRun
	moves, rounds := 0, 0
	var cause error // of the last move
	for {
		choice, err := a.picker.Pick(request, tried)
		if err != nil && len(tried) > 0 && rounds < maxRounds {
			rounds++
			tried = nil
			a.count.Add("retry", "round")
			time.Sleep(roundPause << rounds)
			continue
		}
		if err != nil {
			return recorder.Answer{}, withVerdict(refuser.CauseOf(err, cause), worst)
		}
		answer, err := a.attempt(request, choice.Track, moves, sendBy)
		if err == nil {
			a.budget.RecordRequest()
			return answer, nil
		}
		cause = err
		worst = max(worst, judge.FromError(err))
		tried = append(tried, choice.Track)
		moves++
		if request.Route.AtMostOnce && worst != judge.NotRun {
			return recorder.Answer{}, err
		}
		if moves >= maxMoves || !a.budget.TryRetry() {
			a.count.Add("retry", "exhausted")
			return recorder.Answer{}, withVerdict(err, worst)
		}
		a.count.Add("retry", code(err))
		time.Sleep(movePause)
	}
}

func (a *Attempter) attempt(request *resolver.Request, track *tracker.Track, moves int, sendBy time.Time) (recorder.Answer, error) {
	track.Begin(0)
	defer track.End()
	now := a.now()
	if !sendBy.IsZero() && now.After(sendBy) {
		return recorder.Answer{}, refuser.New(refuser.ClaimFailed, judge.NotRun, "the claim is too old to be sent")
	}
	answer, err := a.dialer.Send(caller.Call{
		Address: track.Endpoint.Address, Attempt: fmt.Sprintf("%s-%d", request.ID, moves),
		Method: request.Method, Path: request.Target(), ContentType: request.ContentType, Body: request.Body,
		Salt: request.Salt, NewConnection: true, StartDeadline: sendBy,
		FirstByteDeadline: request.Route.FirstByteDeadline(now), IdleDeadline: request.Route.IdleDeadline,
	})
	if err != nil {
		a.picker.RecordFailure(track)
		return recorder.Answer{}, err
	}
	a.picker.RecordAnswer(request, track, answer)
	return a.read(track, answer)
}

// read returns the whole answer or says that there is none.
func (a *Attempter) read(track *tracker.Track, answer *answerer.Answer) (recorder.Answer, error) {
	defer answer.Close(false)
	if answer.Refused {
		return recorder.Answer{}, refuser.New(refuser.UpstreamBusy, judge.NotRun, "endpoint %s: %s", track.Endpoint.Name, answer.Reason)
	}
	if answer.Length == identity {
		return recorder.Answer{}, refuser.New(refuser.AnswerLost, judge.MayHaveRun, "endpoint %s did not say how long its answer is", track.Endpoint.Name)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil || answer.Length > len(body) {
		return recorder.Answer{}, refuser.New(refuser.AnswerLost, judge.MayHaveRun, "the answer of endpoint %s was cut: %v", track.Endpoint.Name, err)
	}
	if len(body) > maxAnswer {
		return recorder.Answer{}, refuser.New(refuser.TooLarge, judge.Ran, "the answer of endpoint %s is larger than %d bytes", track.Endpoint.Name, maxAnswer)
	}
	return recorder.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: body}, nil
}

func withVerdict(err error, ran judge.Verdict) error {
	if refusal, ok := err.(*refuser.Refusal); ok && ran > refusal.Ran {
		return refusal.WithVerdict(ran)
	}
	return err
}

func code(err error) string {
	if refusal, ok := err.(*refuser.Refusal); ok {
		return string(refusal.Code)
	}
	return string(refuser.UpstreamLost)
}
