// Package requester defines a caller's request on its way to an endpoint.
package requester

import (
	"time"

	"wisteriadrum/framer"
	"wisteriadrum/router"
)

// Part is a part of a prompt that engines cache.
type Part struct {
	ID     string
	Tokens int
}

// Request is a completely received and authorized request of a caller.
type Request struct {
	// ID is the caller's ID of this attempt, which endpoints echo.
	ID        string
	Head      *framer.Head
	Body      []byte
	Host      string
	Path      string
	Key       string
	Route     router.Route
	Pool      router.Pool
	Workspace router.Workspace
	// ConfigVersion is the version of the configuration that the request was
	// resolved with.
	ConfigVersion int64
	// Model, PromptTokens and OutputTokens describe a generation: the model's
	// name, the tokens of the prompt, and the maximum tokens of the answer.
	Model                      string
	PromptTokens, OutputTokens int
	Parts                      []Part
	// Fingerprint identifies the request; it is the same for every resend.
	Fingerprint uint64
	// ReceivedAt is when the request was received completely.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEventID is the ID of the last event that the caller received, or "".
	LastEventID string
}

// EffectiveDeadline returns the caller's deadline or the end of the route's
// timeout, whichever is earlier.
func (r *Request) EffectiveDeadline() time.Time {
	timeoutAt := r.Route.AnswerDeadline(r.ReceivedAt)
	if r.Route.TimeoutMillis > 0 && timeoutAt.Before(r.Deadline) {
		return timeoutAt
	}
	return r.Deadline
}

// Priority returns the rank of the request from 0, the most urgent, to 9. The
// workspace's rank takes precedence over the route's.
func (r *Request) Priority() int {
	const ranks, maxRank = 3, 9
	return min(r.Workspace.Priority*ranks+min(r.Route.Priority, ranks-1), maxRank)
}

// Repeatable reports whether the request may be sent again after it may have
// run.
func (r *Request) Repeatable() bool { return r.Route.Repeat != router.Once }
