// Package drainer decides which requests an instance that stops still sends to endpoints,
// and until when their answers must be complete.
package drainer

import "time"

// Shares of the grace period, as divisors of it.
const (
	// acceptDivisor gives the part of the grace period in which new connections are accepted.
	acceptDivisor = 2
	// answerDivisor gives the part at its end for the answers to what is still in progress.
	answerDivisor = 8
	// exitDivisor gives the part at its end for leaving the fleet.
	exitDivisor = 16
)

// Drainer holds the instants of a planned stop.
type Drainer struct {
	acceptUntil, answerBy, exitBy time.Time
}

// New returns the instants of a stop that began at stoppedAt. The instance is killed after
// grace; the load balancer sends it new connections for balancerWait.
func New(stoppedAt time.Time, grace, balancerWait time.Duration) Drainer {
	return Drainer{
		acceptUntil: stoppedAt.Add(min(balancerWait, grace/acceptDivisor)),
		answerBy:    stoppedAt.Add(grace - grace/answerDivisor),
		exitBy:      stoppedAt.Add(grace - grace/exitDivisor),
	}
}

// AcceptUntil returns until when new connections are accepted.
func (d Drainer) AcceptUntil() time.Time { return d.acceptUntil }

// AnswerBy returns when requests that are still in progress are ended.
func (d Drainer) AnswerBy() time.Time { return d.answerBy }

// ExitBy returns when the instance ends, whatever is in progress.
func (d Drainer) ExitBy() time.Time { return d.exitBy }

// Bound returns deadline, or when requests are ended if that is earlier.
func (d Drainer) Bound(deadline time.Time) time.Time {
	if d.answerBy.Before(deadline) {
		return d.answerBy
	}
	return deadline
}

// Admits reports whether a request may still be sent to an endpoint. One that must not
// run twice needs all its time until deadline, since its caller cannot repeat it after an
// unclear end. Any other must be able to begin its answer by targetBy.
func (d Drainer) Admits(once bool, targetBy, deadline time.Time) bool {
	if once {
		return !d.answerBy.Before(deadline)
	}
	return targetBy.Before(d.answerBy)
}
