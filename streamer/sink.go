package streamer

import "wisteriadrum/chunker"

// Sink receives the events of an answer in order, each exactly once.
type Sink interface {
	// Send passes on a chunk. The position resumes the answer after it.
	// An error means that the caller has gone.
	Send(position string, chunk chunker.Chunk) error
}
