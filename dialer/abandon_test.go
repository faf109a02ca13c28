package dialer_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"wisteriadrum/allotter"
	"wisteriadrum/dialer"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
)

// Guards against an endpoint that goes on with a call that was given up, since the end of its
// connection waits behind bytes that it does not read.
func TestEndpointLearnsThatACallWasGivenUp(t *testing.T) {
	for name, answer := range map[string]string{"silent": "", "no answer": "no answer\r\n", "rest is late": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			conn := giveUp(t, answer, 1<<20)
			assert.Assert(t, knowsEnd(t, conn), "the endpoint does not know the end")
		})
	}
}

// Guards against an endpoint that goes on with a small call that was given up, since a reset
// that is lost on the way is not repeated.
func TestSmallCallIsNotReset(t *testing.T) {
	conn := giveUp(t, "", 100)
	_, err := io.Copy(io.Discard, conn)
	assert.NilError(t, err)
}

// giveUp makes a call with a body of some bytes that is given up, and returns its connection at
// the endpoint, which has read the head and sent answer.
func giveUp(t *testing.T, answer string, bodyBytes int) *net.TCPConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close() //nolint:errcheck // not checked in a test
	begun := make(chan *net.TCPConn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		if _, err := framer.ReadRequest(bufio.NewReaderSize(conn, 1024), 1<<16); err == nil {
			_, _ = conn.Write([]byte(answer))
			begun <- conn.(*net.TCPConn)
		}
	}()
	d := dialer.New(func(address string) (net.Conn, error) { return net.Dial("tcp", address) }, time.Now, allotter.New(0))
	call := newCall(listener.Addr().String(), "POST")
	call.Body = make([]byte, bodyBytes)
	received, err := d.Send(call)
	if err == nil {
		received.Close(false)
	} else {
		assert.Equal(t, judge.FromError(err), judge.MayHaveRun)
	}
	conn := <-begun
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// knowsEnd reports whether the end of a connection is known at this side within 400 ms, though
// nothing is read.
func knowsEnd(t *testing.T, conn *net.TCPConn) bool {
	t.Helper()
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	for by := time.Now().Add(400 * time.Millisecond); time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
		var events []unix.PollFd
		assert.NilError(t, raw.Control(func(descriptor uintptr) {
			events = []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
			_, _ = unix.Poll(events, 0)
		}))
		if events[0].Revents != 0 {
			return true
		}
	}
	return false
}

// Guards against a part of an answer that is taken for a whole one, since its connection was
// reset while the call was written.
func TestResetDuringCall(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 404 X\r\n\r\n", "HTTP/1.0 500 X\r\n\r\n"} {
		for _, bodyBytes := range []int{0, 9 << 10, 200_000, 16 << 20} {
			d := dialer.New(func(address string) (net.Conn, error) { return net.Dial("tcp", address) }, time.Now, allotter.New(0))
			call := newCall(serve(t, head+"part", resets), "POST")
			call.Body = make([]byte, bodyBytes)
			answer, err := d.Send(call)
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				answer.Close(false)
			}
			assert.Assert(t, err != nil, "%q, %d bytes", head, bodyBytes)
		}
	}
}
