package listener_test

import (
	"net"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/listener"
)

// failing is a listener that fails as in a process without a free descriptor.
type failing struct {
	net.Listener
	left int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left--; f.left >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Guards against a process that ends because the server of its readiness probe or metrics
// found no free descriptor (review/4).
func TestAcceptIsRetried(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepting := listener.New(&failing{inner, 3}, zap.NewNop())
	near, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer near.Close() //nolint:errcheck // not checked in a test
	far, err := accepting.Accept()
	assert.NilError(t, err)
	assert.NilError(t, far.Close())
	assert.NilError(t, accepting.Close())
	_, err = accepting.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
