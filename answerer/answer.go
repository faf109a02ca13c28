// Package answerer represents the answer of an endpoint while its body is read.
package answerer

import (
	"io"

	"wisteriadrum/allotter"
)

// UntilClose is the length of a body that ends when the connection is closed.
const UntilClose = -2

// Answer is the header and the body of an endpoint's answer. The receiver must
// call Close.
type Answer struct {
	Status      int
	ContentType string
	Attempt     string
	// Incarnation changes each time the endpoint starts.
	Incarnation string
	// Weights is the version of the weights that the endpoint has loaded, or empty.
	Weights string
	// CachedBytes is the number of prompt bytes found in the endpoint's cache,
	// or -1 if the endpoint did not report it.
	CachedBytes int
	// QueueBytes is the number of prompt bytes queued at the endpoint, or -1 if
	// the endpoint did not report it.
	QueueBytes int
	// Refused means that the endpoint reported that it did not run the request.
	Refused bool
	// WaitMillis is how long an endpoint that refused wants no requests, 0 if it did not
	// say so.
	WaitMillis int
	// Reason is the endpoint's reason for a refusal.
	Reason string
	// Length is the size of the body in bytes, -1 for a chunked one, or UntilClose.
	Length int
	Body   io.Reader
	// Memory accounts for the body while it is read.
	Memory *allotter.Share
	// Finish releases the connection; Close calls it at most once.
	Finish func(complete bool)
}

// Close releases the answer's connection, which can be reused only if the body
// was read completely. Further calls do nothing.
func (a *Answer) Close(complete bool) {
	if a.Finish != nil {
		a.Finish(complete)
		a.Finish = nil
	}
}
