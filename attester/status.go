// Package attester defines the status of a claim as reported by its owner.
package attester

import "wisteriadrum/recorder"

// Phase is the phase of a claim.
type Phase int

// Phases of a claim.
const (
	// Unknown means that the owner does not have the claim, for example after a
	// restart.
	Unknown Phase = iota
	// Unreachable means that the query to the owner failed.
	Unreachable
	// Running means that the request may be running.
	Running
	// Finished means that the request ran and its answer is available.
	Finished
	// Abandoned means that the request was not sent and will not be sent.
	Abandoned
	// InDoubt means that the request may have run and its answer is lost.
	InDoubt
)

// Status is the status of a claim. Answer is set in the phase Finished.
type Status struct {
	Phase  Phase
	Answer recorder.Answer
}
