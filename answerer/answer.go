// Package answerer holds an endpoint's answer while its body is read.
package answerer

import "io"

// Answer is the head of an answer and its body. Close must be called once.
type Answer struct {
	Status      int
	ContentType string
	Attempt     string
	// Incarnation changes each time the endpoint starts.
	Incarnation string
	// Weights is the version that the endpoint holds, or empty.
	Weights string
	// CachedBytes is the number of prompt bytes found in the endpoint's cache,
	// or -1 when the endpoint did not say.
	CachedBytes int
	// QueueBytes is the number of prompt bytes waiting at the endpoint, or -1.
	QueueBytes int
	// Refused means that the endpoint states that it did not run the request.
	Refused bool
	// Reason is the endpoint's own reason for a refusal.
	Reason string
	// Length is the size of the body in bytes, or -1 for a chunked one.
	Length int
	Body   io.Reader
	Finish func(whole bool)
}

// Close ends the answer. Its connection is kept only after a whole body.
func (a *Answer) Close(whole bool) {
	if a.Finish != nil {
		a.Finish(whole)
		a.Finish = nil
	}
}
