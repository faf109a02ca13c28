// Package requester describes a request on its way to an endpoint.
package requester

import (
	"time"

	"wisteriadrum/framer"
	"wisteriadrum/router"
)

// Part is a piece of a prompt that engines keep.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request of a caller, read whole and found to be allowed.
type Request struct {
	// ID is the caller's name of this attempt, which endpoints echo.
	ID        string
	Head      *framer.Head
	Body      []byte
	Host      string
	Path      string
	Key       string
	Route     router.Route
	Pool      router.Pool
	Workspace router.Workspace
	// ConfigVersion is the version of the configuration by which it was allowed.
	ConfigVersion int64
	// Model, Prompt and Output describe a generation: the model's name, the
	// tokens of the prompt, and the most tokens of the answer.
	Model                      string
	PromptTokens, OutputTokens int
	Parts                      []Part
	// Fingerprint is the same for each resend of the request.
	Fingerprint uint64
	// ReceivedAt is when the request had come.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEventID is the last event that the caller has, or "".
	LastEventID string
}

// EffectiveDeadline returns the earlier of the caller's deadline and the route's timeout.
func (r *Request) EffectiveDeadline() time.Time {
	ends := r.Route.AnswerDeadline(r.ReceivedAt)
	if r.Route.TimeoutMillis > 0 && ends.Before(r.Deadline) {
		return ends
	}
	return r.Deadline
}

// Priority returns the rank of the request from 0, the most urgent, to 9. The
// workspace's rank goes before the route's.
func (r *Request) Priority() int {
	const ranks, most = 3, 9
	return min(r.Workspace.Priority*ranks+min(r.Route.Priority, ranks-1), most)
}

// Repeatable reports whether the request may run again after it may have run.
func (r *Request) Repeatable() bool { return r.Route.Repeat != router.Once }
