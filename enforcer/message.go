package enforcer

import (
	"errors"
	"time"

	"wisteriadrum/redistributor"
)

const (
	maxNameBytes = 256
	maxOffers    = 4096
	maxTokens    = 1e15
	maxRank      = 1000
	maxMillis    = 60 * 1000
)

// errMalformed means that a message has a field out of range.
var errMalformed = errors.New("request for tokens has a field out of range")

// Stamp is a time by the clock of one process. What refers to it can be dated by that
// process alone, however long it was under way.
type Stamp struct {
	Process uint64
	Millis  int64
}

// Offer is an offer of the tokens of a workspace. LifeMillis is the time from the receipt of
// the stamp that comes with it to its end. Since the stamp was made before, the offer ends at
// the home when LifeMillis have passed since the stamp, not later than at its sender.
type Offer struct {
	Workspace  string
	Tokens     float64
	LifeMillis int64
}

// Ask offers tokens to the home, and asks for tokens of a workspace unless its name is
// empty.
type Ask struct {
	// Stamp is the last one that the home has sent.
	Stamp     Stamp
	Offers    []Offer
	Workspace string
	Need      redistributor.Request
	// Hops is the number of instances that have forwarded the request.
	Hops int
}

// Answer is the answer to an Ask.
type Answer struct {
	Stamp Stamp
	// Accepted means that the stamp of the request is one of the home, which has taken the
	// offers that have not expired.
	Accepted, Granted bool
	// ExtraTokens can be used until ExtraMillis after the request was sent.
	ExtraTokens float64
	ExtraMillis int64
	// WaitMillis is after how many milliseconds tokens are expected if none were granted.
	WaitMillis int64
	// Short are the workspaces whose requests were refused lately.
	Short []string
}

// validate returns an error if a field is out of range.
func (a Ask) validate() error {
	if len(a.Offers) > maxOffers || !validNeed(a.Workspace, a.Need) {
		return errMalformed
	}
	for _, offer := range a.Offers {
		if offer.Workspace == "" || len(offer.Workspace) > maxNameBytes || !validTokens(offer.Tokens) || offer.LifeMillis < 0 {
			return errMalformed
		}
	}
	return nil
}

// validate returns an error if a field is out of range.
func (a Answer) validate() error {
	if !validTokens(a.ExtraTokens) || a.ExtraMillis < 0 || a.ExtraMillis > maxMillis || a.WaitMillis < 0 || a.WaitMillis > maxMillis || len(a.Short) > maxOffers {
		return errMalformed
	}
	return nil
}

func validNeed(workspace string, need redistributor.Request) bool {
	return len(workspace) <= maxNameBytes && validTokens(need.Tokens) && validTokens(need.Extra) && need.Rank >= 0 && need.Rank <= maxRank
}

// validTokens reports whether a number of tokens is in range, which NaN is not.
func validTokens(tokens float64) bool { return tokens >= 0 && tokens <= maxTokens }

// millis returns a number of milliseconds as a duration.
func millis(number int64) time.Duration { return time.Duration(number) * time.Millisecond }
