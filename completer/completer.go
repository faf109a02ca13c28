// Package completer decides whether an answer that ended with its connection is complete.
package completer

import (
	"errors"
	"os"
	"syscall"
)

// End is how the connection of an answer ended whose reader has seen the end of the answer.
type End int

const (
	// Reset means that the connection was reset or lost, so that bytes may be missing.
	Reset End = iota
	// Closed means that the endpoint ended its answer before the whole request was written.
	Closed
	// Written means that the whole request was written before. The reader learns of any
	// reset then, so the endpoint ended its answer.
	Written
)

// New returns the end of a connection whose writer of the request ended with writeErr:
// os.ErrDeadlineExceeded if it was interrupted after the reader had seen the end.
//
// Linux reports a reset once, to the reader or to the writer. If the writer gets it, the
// reader sees the end of a closed connection. A reset that follows the end of the answer is
// reported as EPIPE (tcp_reset), other errors of the writer mean that the end was lost.
func New(writeErr error) End {
	switch {
	case writeErr == nil:
		return Written
	case errors.Is(writeErr, os.ErrDeadlineExceeded), errors.Is(writeErr, syscall.EPIPE):
		return Closed
	default:
		return Reset
	}
}

// Completes reports whether an answer with this status is complete. A success to a request
// that was not written whole is not.
func (e End) Completes(status int) bool {
	return e == Written || e == Closed && status >= 300
}
