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
	// Table is the version of the configuration by which it was allowed.
	Table int64
	// Model, Prompt and Output describe a generation: the model's name, the
	// tokens of the prompt, and the most tokens of the answer.
	Model          string
	Prompt, Output int
	Parts          []Part
	// Fingerprint is the same for each resend of the request.
	Fingerprint uint64
	// At is when the request had come.
	At time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEvent is the last event that the caller has, or "".
	LastEvent string
}

// EndsBy returns the earlier of the caller's deadline and the route's timeout.
func (r *Request) EndsBy() time.Time {
	ends := r.Route.EndsBy(r.At)
	if r.Route.Timeout > 0 && ends.Before(r.Deadline) {
		return ends
	}
	return r.Deadline
}

// Urgency returns the rank of the request from 0, the most urgent, to 9. The
// workspace's rank goes before the route's.
func (r *Request) Urgency() int {
	const ranks, most = 3, 9
	return min(r.Workspace.Priority*ranks+min(r.Route.Priority, ranks-1), most)
}

// Repeats reports whether the request may run again after it may have run.
func (r *Request) Repeats() bool { return r.Route.Repeat != router.Once }
