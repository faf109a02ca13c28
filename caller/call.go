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
	// Attach demands that the endpoint knows the attempt already, and Resume
	// is the number of its events that have been received.
	Attach bool
	Resume int
	// Fresh demands a new connection.
	Fresh bool
	// SendBy is when the endpoint must have begun; later it must refuse.
	SendBy time.Time
	// FirstBy is the deadline of the answer's first byte.
	FirstBy time.Time
	// IdleBy returns the deadline of the next byte after one at now.
	IdleBy func(now time.Time) time.Time
}

// WithStart returns a copy of c that starts the work over a new connection.
func (c Call) WithStart(firstBy time.Time) Call {
	c.Attach = false
	c.Resume = 0
	c.FirstBy = firstBy
	return c
}

// WithResume returns a copy of c that asks for the events after count over a
// new connection.
func (c Call) WithResume(count int, now time.Time) Call {
	c.Attach = true
	c.Resume = count
	c.Fresh = true
	c.FirstBy = c.IdleBy(now)
	return c
}
