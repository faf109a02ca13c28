// Package caller describes one call to an endpoint, independent of the protocol.
package caller

import "time"

// Call is one call to an endpoint. Attempt is the attempt's ID: an endpoint that
// is called again with the same ID does not run the work again, but sends the
// answer's events after number ResumeAfter.
type Call struct {
	Address string
	Attempt string
	Method  string
	// Path includes the query.
	Path        string
	ContentType string
	Body        []byte
	// Salt separates the cached prompts of different workspaces.
	Salt string
	// Weights is the version of the weights that must generate the answer, or
	// empty for any.
	Weights  string
	Priority int
	// ResumeOnly requires that the endpoint already has the attempt. ResumeAfter
	// is the number of events that have been received of it.
	ResumeOnly  bool
	ResumeAfter int
	// NewConnection requires that no idle connection is reused.
	NewConnection bool
	// StartDeadline is the time after which the endpoint must refuse to start the
	// work.
	StartDeadline time.Time
	// FirstByteDeadline is the deadline for the first byte of the answer.
	FirstByteDeadline time.Time
	// IdleDeadline returns the deadline for the next byte after one received at
	// now.
	IdleDeadline func(now time.Time) time.Time
}

// WithStart returns a copy of c that starts the work instead of resuming it.
func (c Call) WithStart(firstByteDeadline time.Time) Call {
	c.ResumeOnly = false
	c.ResumeAfter = 0
	c.FirstByteDeadline = firstByteDeadline
	return c
}

// WithResume returns a copy of c that requests the events after number count over
// a new connection.
func (c Call) WithResume(count int, now time.Time) Call {
	c.ResumeOnly = true
	c.ResumeAfter = count
	c.NewConnection = true
	c.FirstByteDeadline = c.IdleDeadline(now)
	return c
}
