// Package caller describes one attempt at an endpoint, free of any wire form.
package caller

import "time"

// Call is one attempt. Attempt names it: an endpoint that is called twice
// with the same name runs the work once and answers from where Resume says.
type Call struct {
	Address string
	Attempt string
	Method  string
	// Path includes the query.
	Path        string
	ContentType string
	Body        []byte
	// Salt separates the cache of one workspace from that of another.
	Salt string
	// Weights is the version that the answer must come from, or empty.
	Weights  string
	Priority int
	// ResumeOnly demands that the endpoint knows the attempt already, and Resume
	// is the number of its events that have been received.
	ResumeOnly  bool
	ResumeAfter int
	// NewConnection demands a new connection.
	NewConnection bool
	// StartDeadline is when the endpoint must have begun; later it must refuse.
	StartDeadline time.Time
	// FirstByteDeadline is the deadline of the answer's first byte.
	FirstByteDeadline time.Time
	// IdleDeadline returns the deadline of the next byte after one at now.
	IdleDeadline func(now time.Time) time.Time
}

// WithStart returns a copy of c that starts the work over a new connection.
func (c Call) WithStart(firstBy time.Time) Call {
	c.ResumeOnly = false
	c.ResumeAfter = 0
	c.FirstByteDeadline = firstBy
	return c
}

// WithResume returns a copy of c that asks for the events after count over a
// new connection.
func (c Call) WithResume(count int, now time.Time) Call {
	c.ResumeOnly = true
	c.ResumeAfter = count
	c.NewConnection = true
	c.FirstByteDeadline = c.IdleDeadline(now)
	return c
}
