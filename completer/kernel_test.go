package completer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/completer"
)

// Guards against a kernel that reports the ends of connections otherwise than New assumes.
func TestEndsReportedByTheKernel(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(conn *net.TCPConn)
		closed bool
	}{
		"reset":             {reset, false},
		"ended, then reset": {func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) }, true},
		"ended, unread":     {func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			hidden := 0
			for range 200 {
				end, readErr := endUpload(t, test.end)
				if readErr != nil {
					assert.Assert(t, !test.closed, "%v", readErr)
					continue
				}
				hidden++
				assert.Equal(t, end == completer.Closed, test.closed)
				assert.Equal(t, end == completer.Reset, !test.closed)
			}
			t.Logf("the reader saw the end of a closed connection %d times of 200", hidden)
		})
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// endUpload answers an upload with a part of its answer and lets end end its connection. It
// returns the end by the writer of the upload, and the error of the reader of the answer.
func endUpload(t *testing.T, end func(conn *net.TCPConn)) (completer.End, error) {
	t.Helper()
	near, far := connect(t)
	defer near.Close() //nolint:errcheck // not checked in a test
	defer far.Close()  //nolint:errcheck // not checked in a test
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, 16<<20))
		written <- err
	}()
	_, err := far.Write([]byte("part"))
	assert.NilError(t, err)
	time.Sleep(time.Millisecond)
	end(far)
	_, readErr := io.ReadAll(near)
	assert.NilError(t, near.SetWriteDeadline(time.Unix(1, 0)))
	return completer.New(<-written), readErr
}

// connect returns both sides of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close() //nolint:errcheck // not checked in a test
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}
