// Package attester describes what the owner of a claim says of it.
package attester

import "wisteriadrum/recorder"

// Phase says how far the owner of a claim has come with it.
type Phase int

// The phases of a claim, as its owner knows them.
const (
	// Unknown means that the owner has no memory of the claim.
	Unknown Phase = iota
	// Unreachable means that the owner could not be asked.
	Unreachable
	// Running means that the work may be under way.
	Running
	// Finished means that the work ran and its answer is at hand.
	Finished
	// Abandoned means that the work was not and will not be sent.
	Abandoned
	// InDoubt means that the work may have run and has no answer.
	InDoubt
)

// Status is what the owner of a claim says of it.
type Status struct {
	Phase  Phase
	Answer recorder.Answer
}
