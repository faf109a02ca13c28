package messenger

import "wisteriadrum/director"

// AdviceRequest asks the home instance of a prompt prefix to choose an endpoint.
type AdviceRequest struct {
	ID   string
	Pool string
	// Levels, Piece and Size are the prompt's hash chain, piece size and total
	// size in bytes, as in hasher.Chain.
	Levels []uint64
	Piece  int
	Size   int
	Weigh  director.Objective
}

// Advice is the chosen endpoint and the number of levels expected in its cache.
type Advice struct {
	Endpoint string
	Depth    int
}

// Outcome reports to the home instance what the endpoint answered after its
// advice.
type Outcome struct {
	ID          string
	Incarnation string
	Queue       int // bytes
	Cached      int // levels
}
