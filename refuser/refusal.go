// Package refuser defines the error with which a request is refused.
package refuser

import (
	"fmt"
	"time"

	"wisteriadrum/judge"
)

// Code identifies the kind of a refusal. Refusals are counted by code.
type Code string

// The codes, each with the HTTP status that Status returns for it.
const (
	BadRequest      Code = "bad-request"
	Unauthorized    Code = "unauthorized"
	Forbidden       Code = "forbidden"
	NoRoute         Code = "no-route"
	TooLarge        Code = "too-large"
	TooDeep         Code = "too-deep"
	RateLimited     Code = "rate-limited"
	Overloaded      Code = "overloaded"
	NoEndpoint      Code = "no-endpoint"
	NoConfiguration Code = "no-set"
	Stopping        Code = "stopping"
	Quarantined     Code = "quarantined"
	PartQuarantined Code = "part-quarantined"
	KeyRequired     Code = "key-required"
	KeyReused       Code = "key-reused"
	InDoubt         Code = "in-doubt"
	ClaimFailed     Code = "claim-failed"
	PlatformFailed  Code = "platform-failed"
	UpstreamLost    Code = "upstream-lost"
	UpstreamBusy    Code = "upstream-busy"
	WrongWeights    Code = "wrong-weights"
	AnswerMismatch  Code = "answer-crossed"
	AnswerLost      Code = "answer-lost"
	Timeout         Code = "timeout"
	Silent          Code = "silent"
	CallerGone      Code = "caller-gone"
	Rejected        Code = "rejected"
	SlowRequest     Code = "slow-request"
	Internal        Code = "internal"
)

var statuses = map[Code]int{
	BadRequest: 400, Unauthorized: 401, Forbidden: 403, NoRoute: 404,
	TooLarge: 413, TooDeep: 413, RateLimited: 429, Overloaded: 503,
	NoEndpoint: 503, NoConfiguration: 503, Stopping: 503, Quarantined: 422, PartQuarantined: 422,
	KeyRequired: 400, KeyReused: 422, InDoubt: 409, ClaimFailed: 503, PlatformFailed: 503,
	UpstreamLost: 502, UpstreamBusy: 503, WrongWeights: 503,
	AnswerMismatch: 502, AnswerLost: 502, Timeout: 504, Silent: 504, CallerGone: 499,
	Rejected: 400, SlowRequest: 408, Internal: 500,
}

// Codes returns every code.
func Codes() []Code {
	codes := make([]Code, 0, len(statuses))
	for code := range statuses {
		codes = append(codes, code)
	}
	return codes
}

// Refusal is the error of a request that was not answered. Ran is the verdict on
// whether the request may have run. RetryAt is the earliest useful time for a
// retry, zero if unknown.
type Refusal struct {
	Code    Code
	Reason  string
	Ran     judge.Verdict
	RetryAt time.Time
}

// New returns a refusal with a code, a verdict and a formatted reason.
func New(code Code, ran judge.Verdict, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: ran, Reason: fmt.Sprintf(format, args...)}
}

// Error returns the code, the reason and the verdict.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Reason, r.Ran)
}

// Verdict returns whether the refused request may have run, for
// judge.FromError.
func (r *Refusal) Verdict() judge.Verdict { return r.Ran }

// Status returns the HTTP status of the refusal's code.
func (r *Refusal) Status() int { return statuses[r.Code] }

// CauseOf returns cause in place of err if both are refusals and err has the code
// NoEndpoint: after failed attempts, the failure of the last one is more useful
// to the caller than the message that no endpoint is left. The result keeps the
// retry time of err.
func CauseOf(err, cause error) error {
	noEndpoint, ok := err.(*Refusal)
	attemptFailure, known := cause.(*Refusal)
	if !ok || !known || noEndpoint.Code != NoEndpoint {
		return err
	}
	return attemptFailure.WithRetryAt(noEndpoint.RetryAt)
}

// WithRetryAt returns a copy of r with the given retry time.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	changed := *r
	changed.RetryAt = at
	return &changed
}

// WithVerdict returns a copy of r with the given verdict.
func (r *Refusal) WithVerdict(ran judge.Verdict) *Refusal {
	changed := *r
	changed.Ran = ran
	return &changed
}
