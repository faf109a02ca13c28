package completer_test

import (
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/completer"
)

// Guards against a reset that is taken for the end of an answer, whatever its status.
func TestEnds(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("writev", errno)}
	}
	for name, test := range map[string]struct {
		writeErr         error
		success, failure bool
	}{
		"written":             {nil, true, true},
		"reset":               {wrapped(syscall.ECONNRESET), false, false},
		"dropped":             {wrapped(syscall.ETIMEDOUT), false, false},
		"unreachable":         {wrapped(syscall.EHOSTUNREACH), false, false},
		"connection released": {net.ErrClosed, false, false},
		"ended, then reset":   {wrapped(syscall.EPIPE), false, true},
		"ended, unread":       {&net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, false, true},
	} {
		end := completer.New(test.writeErr)
		assert.Equal(t, end.Completes(200), test.success, name)
		assert.Equal(t, end.Completes(204), test.success, name)
		for _, status := range []int{300, 302, 404, 413, 500, 503} {
			assert.Equal(t, end.Completes(status), test.failure, "%s, %d", name, status)
		}
	}
}
