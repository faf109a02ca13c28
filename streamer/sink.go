package streamer

import "wisteriadrum/chunker"

// Sink receives the events of an answer in order, each exactly once.
type Sink interface {
	// Send sends a chunk to the caller. The position is its event ID, after which
	// the answer can be resumed. An error means that the caller has disconnected.
	Send(position string, chunk chunker.Chunk) error
}
