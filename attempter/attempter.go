// Package attempter sends requests to plain services, with retries, and returns
// their complete answers.
package attempter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wisteriadrum/answerer"
	"wisteriadrum/budgeter"
	"wisteriadrum/caller"
	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/picker"
	"wisteriadrum/recorder"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/tracker"
)

const (
	attemptLimit   = 6 // per request
	maxAnswerBytes = 16 << 20
	switchDelay    = 20 * time.Millisecond
	maxRounds      = 2 // additional rounds over all endpoints
	roundDelay     = 50 * time.Millisecond
)

// Attempter sends requests to plain services.
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

// Run sends request to a service and returns the complete answer. On an
// at-most-once route, a request with an idempotency key runs at most once
// including resends by the caller. A request without a key runs at most once
// within this call.
func (a *Attempter) Run(ctx context.Context, request *resolver.Request) (recorder.Answer, error) {
	if !request.Route.AtMostOnce || request.IdempotencyKey == "" {
		return a.tryEndpoints(request, time.Time{})
	}
	expires := request.Route.RecordExpiry(request.ReceivedAt)
	return a.claims.Do(ctx, request.ClaimKey(), request.ContentHash(), expires, func(startDeadline time.Time) (recorder.Answer, error) {
		return a.tryEndpoints(request, startDeadline)
	})
}

// tryEndpoints tries endpoints until one answers. On an at-most-once route it
// retries only if all earlier attempts are known not to have run.
func (a *Attempter) tryEndpoints(request *resolver.Request, startDeadline time.Time) (recorder.Answer, error) {
	var tried []*tracker.Track
	worstVerdict := judge.NotRun
	switches, rounds := 0, 0
	var cause error // of the last switch to another endpoint
	for {
		choice, err := a.picker.Pick(request, tried)
		if err != nil && codeOf(err) == string(refuser.NoEndpoint) && len(tried) > 0 && rounds < maxRounds {
			rounds++
			tried = nil
			a.count.Add("retry", "round")
			time.Sleep(roundDelay << rounds)
			continue
		}
		if err != nil {
			return recorder.Answer{}, withVerdict(refuser.CauseOf(err, cause), worstVerdict)
		}
		answer, err := a.attempt(request, choice.Track, switches, startDeadline)
		if err == nil {
			a.budget.RecordRequest()
			return answer, nil
		}
		cause = err
		worstVerdict = max(worstVerdict, judge.FromError(err))
		tried = append(tried, choice.Track)
		switches++
		if request.Route.AtMostOnce && worstVerdict != judge.NotRun {
			return recorder.Answer{}, err
		}
		if switches >= attemptLimit || !a.budget.TryRetry() {
			a.count.Add("retry", "exhausted")
			return recorder.Answer{}, withVerdict(err, worstVerdict)
		}
		a.count.Add("retry", codeOf(err))
		time.Sleep(switchDelay)
	}
}

func (a *Attempter) attempt(request *resolver.Request, track *tracker.Track, switches int, startDeadline time.Time) (recorder.Answer, error) {
	track.Begin(0)
	defer track.End()
	now := a.now()
	if !startDeadline.IsZero() && now.After(startDeadline) {
		return recorder.Answer{}, refuser.New(refuser.ClaimFailed, judge.NotRun, "the claim is too old to be sent")
	}
	answer, err := a.dialer.Send(caller.Call{
		Address: track.Endpoint.Address, Attempt: fmt.Sprintf("%s-%d", request.ID, switches),
		Method: request.Method, Path: request.Target(), ContentType: request.ContentType, Body: request.Body,
		Salt: request.Salt, NewConnection: true, StartDeadline: startDeadline,
		FirstByteDeadline: request.Route.FirstByteDeadline(now), IdleDeadline: request.Route.IdleDeadline,
	})
	if err != nil {
		a.picker.RecordFailure(track)
		return recorder.Answer{}, err
	}
	a.picker.RecordAnswer(request, track, answer)
	return a.readAnswer(track, answer)
}

// readAnswer reads the complete answer, which ends with its connection if it has no
// length. It returns an error if the endpoint refused the request or the answer is
// truncated or too large.
func (a *Attempter) readAnswer(track *tracker.Track, answer *answerer.Answer) (recorder.Answer, error) {
	defer answer.Close(false)
	if answer.Refused {
		return recorder.Answer{}, refuser.New(refuser.UpstreamBusy, judge.NotRun, "endpoint %s: %s", track.Endpoint.Name, answer.Reason)
	}
	body, err := framer.ReadAll(answer.Body, int64(answer.Length), maxAnswerBytes, answer.Memory)
	if errors.Is(err, framer.ErrTooLarge) {
		return recorder.Answer{}, refuser.New(refuser.TooLarge, judge.Ran, "the answer of endpoint %s is larger than %d bytes", track.Endpoint.Name, maxAnswerBytes)
	}
	if err == nil {
		err = answer.Memory.Settle()
	}
	if err != nil {
		return recorder.Answer{}, refuser.New(refuser.AnswerLost, judge.MayHaveRun, "the answer of endpoint %s was cut: %v", track.Endpoint.Name, err)
	}
	return recorder.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: body}, nil
}

func withVerdict(err error, verdict judge.Verdict) error {
	if refusal, ok := err.(*refuser.Refusal); ok && verdict > refusal.Ran {
		return refusal.WithVerdict(verdict)
	}
	return err
}

func codeOf(err error) string {
	if refusal, ok := err.(*refuser.Refusal); ok {
		return string(refusal.Code)
	}
	return string(refuser.UpstreamLost)
}
