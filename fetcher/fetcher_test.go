package fetcher_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriadrum/allotter"
	"wisteriadrum/fetcher"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
)

// serve answers each request on a new listener with head, and with bytes until the caller
// closes if endless is set. It counts the connections.
func serve(t *testing.T, head string, endless bool) (address string, conns *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go answerAll(conn, head, endless)
		}
	}()
	return listener.Addr().String(), conns
}

func answerAll(conn net.Conn, head string, endless bool) {
	defer conn.Close() //nolint:errcheck // not checked in a test
	reader, block := bufio.NewReader(conn), bytes.Repeat([]byte("x"), 64<<10)
	for {
		if _, err := framer.ReadRequest(reader, 1<<16); err != nil {
			return
		}
		_, err := conn.Write([]byte(head))
		for endless && err == nil {
			_, err = conn.Write(block)
		}
	}
}

func dial(address string) (net.Conn, error) { return net.Dial("tcp", address) }

// Guards against answers of the platform without an end that take more memory than there
// is. What was sent may have been done.
func TestEndlessAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"until close":  "HTTP/1.1 200 OK\r\n\r\n",
		"one chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
		"false length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n",
		"length":       "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, head, true)
			received := allotter.New(1 << 20)
			fetch := fetcher.New(address, dial, received)
			_, err := fetch.Do(t.Context(), "GET", "/", nil)
			assert.Equal(t, judge.FromError(err), judge.MayHaveRun, "%v", err)
			assert.Equal(t, received.Used(), int64(0))
		})
	}
}

// Guards against a call that goes on after its answer had to end for another message.
func TestDisplacedAnswer(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\nbegin", false)
	received := allotter.New(32 << 10)
	fetch := fetcher.New(address, dial, received)
	failed := make(chan error, 1)
	go func() {
		_, err := fetch.Do(context.Background(), "GET", "/", nil)
		failed <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if received.Used() > 0 {
			return poll.Success()
		}
		return poll.Continue("the answer takes no memory")
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	other := received.Open(t.Context(), time.Now().Add(time.Second), func() {})
	assert.NilError(t, other.Grow(12<<10))
	assert.ErrorContains(t, other.Grow(30<<10), "exhausted")
	small := received.Open(t.Context(), time.Now().Add(time.Second), func() {})
	assert.NilError(t, small.Grow(15<<10))
	assert.ErrorContains(t, <-failed, "exhausted")
}

// Guards against a connection that is opened anew for each call, and against an answer
// that is cut and taken for a whole one.
func TestConnectionsAreKept(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		address, conns := serve(t, answer, false)
		fetch := fetcher.New(address, dial, allotter.New(1<<20))
		for range 3 {
			body, err := fetch.Do(t.Context(), "GET", "/", nil)
			assert.NilError(t, err, name)
			assert.Assert(t, string(body) == "body" || name == "no body", name)
		}
		assert.Equal(t, conns.Load(), int64(1), name)
	}
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nbody", false)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := fetcher.New(address, dial, allotter.New(1<<20)).Do(ctx, "GET", "/", nil)
	assert.Assert(t, err != nil)
}

// Guards against an answer of the platform with the status 000, which the HTTP library takes
// for 200.
func TestStatusBelow100(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", false)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := fetcher.New(address, dial, allotter.New(0)).Call(ctx, "GET", "/", nil)
	assert.Assert(t, err != nil && judge.FromError(err) == judge.MayHaveRun, "%v", err)
}

// Guards against an answer of the platform whose head is broken.
func TestBrokenHeads(t *testing.T) {
	for _, head := range []string{
		"\r\nHTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n", "HTTP/1.1 200 OK\r\nX-Foo : 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\n",
		"HTTP/1.1 200 OK\r\nX-Foo: 1\r\n 2\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.1 200 OK\nX-Foo: 1\r\n",
	} {
		address, _ := serve(t, head+"Content-Length: 2\r\n\r\n{}", false)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := fetcher.New(address, dial, allotter.New(0)).Call(ctx, "GET", "/", nil)
		cancel()
		assert.Assert(t, err != nil && judge.FromError(err) == judge.MayHaveRun, "%q: %v", head, err)
	}
}

// Guards against a part of an answer that is taken for a whole one, since its connection was
// lost before the request was written or after.
func TestLostAnswers(t *testing.T) {
	closeConn := func(conn *net.TCPConn) { _ = conn.Close() }
	reset := func(conn *net.TCPConn) {
		time.Sleep(3 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	const unframed, counted, chunked = "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	for name, test := range map[string]struct {
		answer string
		upload int
		end    func(conn *net.TCPConn)
	}{
		"no length, reset":           {unframed, 0, reset},
		"no length, reset, upload":   {unframed, 4 << 20, reset},
		"failure, reset":             {"HTTP/1.1 404 X\r\n\r\npart", 0, reset},
		"failure, reset, upload":     {"HTTP/1.1 404 X\r\n\r\npart", 4 << 20, reset},
		"empty, reset, upload":       {"HTTP/1.1 200 OK\r\n\r\n", 4 << 20, reset},
		"HTTP/1.0, reset":            {"HTTP/1.0 200 OK\r\n\r\npart", 0, reset},
		"length, closed":             {counted, 0, closeConn},
		"length, reset":              {counted, 0, reset},
		"chunks, closed":             {chunked, 0, closeConn},
		"chunks, reset":              {chunked, 0, reset},
		"chunks, closed in the last": {chunked + "0\r\n", 0, closeConn},
		"head, closed":               {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", 0, closeConn},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEnd(t, test.answer, test.end)
			for range 10 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				answer, err := fetcher.New(address, dial, allotter.New(0)).Call(ctx, "POST", "/", make([]byte, test.upload))
				cancel()
				assert.Assert(t, err != nil && judge.FromError(err) == judge.MayHaveRun, "%v %v", answer, err)
			}
		})
	}
}

// serveEnd answers the head of each request on a new listener with answer, and lets end end
// the connection. It does not read bodies.
func serveEnd(t *testing.T, answer string, end func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			if _, err := framer.ReadRequest(bufio.NewReaderSize(conn, 1024), 1<<16); err == nil {
				_, _ = conn.Write([]byte(answer))
			}
			end(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}
