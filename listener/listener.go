// Package listener accepts connections until its listener is closed: other errors, as for a
// process without a free descriptor, are retried.
package listener

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// retryDelay is the delay after a failed accept.
const retryDelay = 20 * time.Millisecond

// Listener is a listener whose Accept fails only after it was closed.
type Listener struct {
	net.Listener
	log *zap.Logger
}

// New returns a listener that accepts connections of inner.
func New(inner net.Listener, log *zap.Logger) *Listener {
	return &Listener{Listener: inner, log: log}
}

// Accept returns the next connection, or an error that is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	isFailing := false
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if !isFailing {
			l.log.Warn("accepting a connection failed; it is retried", zap.Stringer("address", l.Addr()), zap.String("error", err.Error()))
			isFailing = true
		}
		time.Sleep(retryDelay)
	}
}
