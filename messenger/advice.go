package messenger

import "wisteriadrum/director"

// AdviceRequest asks the home instance of a prefix for a choice.
type AdviceRequest struct {
	ID   string
	Pool string
	// Levels, Piece and Size describe the prompt as hasher.Of does.
	Levels []uint64
	Piece  int
	Size   int
	Weigh  director.Objective
}

// Advice names the endpoint chosen and the levels expected in its cache.
type Advice struct {
	Endpoint string
	Depth    int
}

// Outcome tells the home instance what came of its advice.
type Outcome struct {
	ID          string
	Incarnation string
	Queue       int // bytes
	Cached      int // levels
}
