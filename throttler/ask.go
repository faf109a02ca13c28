package throttler

import (
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/opener"
)

// maxMillis bounds the times in a request: a day.
const maxMillis = 24 * 60 * 60 * 1000

// Ask asks for a place at an endpoint that has just started or recovered, or ends one. It is
// sent between instances.
type Ask struct {
	// Key identifies the endpoint, ID the request.
	Key, ID uint64
	// Full is what the endpoint can take at once.
	Full opener.Size
	// Tokens is the number of prompt tokens that the request makes the endpoint read.
	Tokens int
	// LeftMillis is after how long the place ends if its end is not told before.
	LeftMillis int64
	// RecoveredMillis is how long ago the endpoint failed or had loaded weights, 0 if it has
	// just started.
	RecoveredMillis int64
	// Ends means that the request has ended with Outcome, and asks for nothing.
	Ends    bool
	Outcome opener.Outcome
	// Hops is the number of instances that have forwarded the request.
	Hops int
}

// Validate returns an error if a number is out of range.
func (a Ask) Validate() error {
	if a.Tokens < 0 || a.Full.Requests < 0 || a.Full.Tokens < 0 || !a.Outcome.Valid() {
		return eris.Errorf("request for a place has a number out of range: %d tokens of %d, %d requests, outcome %d", a.Tokens, a.Full.Tokens, a.Full.Requests, a.Outcome)
	}
	if min(a.LeftMillis, a.RecoveredMillis) < 0 || max(a.LeftMillis, a.RecoveredMillis) > maxMillis {
		return eris.Errorf("request for a place has a time out of range: left %d ms, recovered %d ms ago", a.LeftMillis, a.RecoveredMillis)
	}
	return nil
}

// until returns when the place ends.
func (a Ask) until(now time.Time) time.Time {
	return now.Add(time.Duration(a.LeftMillis) * time.Millisecond)
}

// Answer is the answer to an Ask.
type Answer int

const (
	// Refused means that the endpoint must not get the request now.
	Refused Answer = iota
	// Granted means that it may get the request.
	Granted
	// Open means that it takes requests without a place.
	Open
)
