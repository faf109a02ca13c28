package dialer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/allotter"
	"wisteriadrum/caller"
	"wisteriadrum/dialer"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
)

// ending is what an endpoint does with a connection after its answer.
type ending int

const (
	keeps ending = iota
	closes
	resets
)

// serve answers each request on a new listener with answer, and returns its address.
func serve(t *testing.T, answer string, end ending) string {
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
			go answerAll(conn, answer, end)
		}
	}()
	return listener.Addr().String()
}

func answerAll(conn net.Conn, answer string, end ending) {
	defer conn.Close() //nolint:errcheck // not checked in a test
	reader := bufio.NewReader(conn)
	for {
		if _, err := framer.ReadRequest(reader, 1<<16); err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
		switch end {
		case closes:
			return
		case resets:
			time.Sleep(50 * time.Millisecond) // until the bytes sent before have arrived
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// Guards against a refusal whose wait is lost or taken from an answer that is none, and
// against waits out of range.
func TestWaitsOfRefusals(t *testing.T) {
	for fields, want := range map[string]int{
		"X-Verdict: not-run\r\nRetry-After: 1.5\r\n": 1500, "X-Verdict: not-run\r\nRetry-After: -1\r\n": 0, "X-Verdict: not-run\r\nRetry-After: Fri\r\n": 0,
		"X-Verdict: not-run\r\nRetry-After: NaN\r\n": 0, "X-Verdict: not-run\r\nRetry-After: 1e300\r\n": 24 * 60 * 60 * 1000, "Retry-After: 2\r\n": 0,
	} {
		address := serve(t, "HTTP/1.1 503 X\r\n"+fields+"Content-Length: 0\r\n\r\n", keeps)
		d := dialer.New(func(address string) (net.Conn, error) { return net.Dial("tcp", address) }, time.Now, allotter.New(0))
		deadline := time.Now().Add(5 * time.Second)
		answer, err := d.Send(caller.Call{Address: address, Method: "GET", Path: "/", FirstByteDeadline: deadline, IdleDeadline: func(time.Time) time.Time { return deadline }})
		assert.NilError(t, err)
		assert.Equal(t, answer.WaitMillis, want, fields)
		answer.Close(false)
	}
}

// Guards against an answer that is taken for complete though its connection was lost,
// and against a connection that is reused though its answer ends with it.
func TestEndsOfAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		answer   string
		end      ending
		body     string
		complete bool
		reused   bool
	}{
		"length":               {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", keeps, "body", true, true},
		"length, cut":          {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", closes, "body", false, false},
		"length, closing":      {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", keeps, "body", true, false},
		"chunks":               {chunked + "4\r\nbody\r\n0\r\n\r\n", keeps, "body", true, true},
		"chunks, cut":          {chunked + "4\r\nbody\r\n", closes, "body", false, false},
		"unframed, closed":     {"HTTP/1.1 200 OK\r\n\r\nbody", closes, "body", true, false},
		"unframed, reset":      {"HTTP/1.1 200 OK\r\n\r\nbody", resets, "body", false, false},
		"unframed, open":       {"HTTP/1.1 200 OK\r\n\r\nbody", keeps, "body", false, false},
		"unframed, says kept":  {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nbody", closes, "body", true, false},
		"HTTP/1.0, closed":     {"HTTP/1.0 200 OK\r\n\r\nbody", closes, "body", true, false},
		"HTTP/1.0, reset":      {"HTTP/1.0 200 OK\r\n\r\nbody", resets, "body", false, false},
		"HTTP/1.0, chunks":     {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", closes, "", false, false},
		"two codings":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", closes, "", false, false},
		"no number":            {"HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\nbody", closes, "", false, false},
		"torn trailer":         {chunked + "4\r\nbody\r\n0\r\n", closes, "body", false, false},
		"torn last chunk":      {chunked + "4\r\nbody\r\n0", closes, "body", false, false},
		"torn chunk size":      {chunked + "1", closes, "", false, false},
		"HTTP/1.0, length":     {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", keeps, "body", true, false},
		"no content":           {"HTTP/1.1 204 No Content\r\n\r\n", keeps, "", true, true},
		"no content, closing":  {"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", keeps, "", true, false},
		"not modified":         {"HTTP/1.1 304 Not Modified\r\n\r\n", keeps, "", true, true},
		"not modified, length": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", keeps, "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			dials := 0
			dial := dialer.New(func(address string) (net.Conn, error) {
				dials++
				return net.Dial("tcp", address)
			}, time.Now, allotter.New(0))
			address := serve(t, test.answer, test.end)
			for range 2 {
				answer, err := dial.Send(newCall(address, "GET"))
				if err != nil {
					assert.Assert(t, !test.complete && test.body == "", "%v", err)
					continue
				}
				body, err := io.ReadAll(answer.Body)
				answer.Close(err == nil)
				assert.Equal(t, string(body), test.body)
				assert.Equal(t, err == nil, test.complete, "%v", err)
				if test.complete && test.body == "" {
					assert.Equal(t, answer.Length, 0)
				}
			}
			assert.Equal(t, dials == 1, test.reused)
		})
	}
}

// Guards against a head that ends before its blank line and is taken for a whole one, on a
// new connection, after an interim answer, and on a connection that has carried an answer.
func TestTornHeads(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 1234\r\n\r\n"
	for cut := range len(interim + head) {
		for _, earlier := range []string{"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
			conns := 0
			dial := dialer.New(func(string) (net.Conn, error) {
				conns++
				return tornConn(t, earlier, (interim + head)[:cut]), nil
			}, time.Now, allotter.New(0))
			if earlier != "" {
				answer, err := dial.Send(newCall("x", "POST"))
				assert.NilError(t, err)
				_, err = io.ReadAll(answer.Body)
				answer.Close(err == nil)
			}
			_, err := dial.Send(newCall("x", "POST"))
			assert.Equal(t, judge.FromError(err), judge.MayHaveRun, "%q: %v", (interim + head)[:cut], err)
			assert.Equal(t, conns, 1)
		}
	}
}

// tornConn returns a connection to an endpoint that answers the first request with earlier,
// unless that is empty, and the next one with torn before it closes the connection.
func tornConn(t *testing.T, earlier, torn string) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		defer far.Close() //nolint:errcheck // not checked in a test
		reader := bufio.NewReader(far)
		for _, answer := range []string{earlier, torn} {
			if answer == "" && earlier == "" && torn != "" {
				continue
			}
			if _, err := framer.ReadRequest(reader, 1<<16); err != nil {
				return
			}
			_, _ = far.Write([]byte(answer))
		}
	}()
	return near
}

// Guards against a connection that is reused before the end of its last answer, whose rest
// would be taken for the next one.
func TestUnreadRestIsNotReused(t *testing.T) {
	dials := 0
	dial := dialer.New(func(address string) (net.Conn, error) {
		dials++
		return net.Dial("tcp", address)
	}, time.Now, allotter.New(0))
	address := serve(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", keeps)
	for range 2 {
		answer, err := dial.Send(newCall(address, "GET"))
		assert.NilError(t, err)
		_, err = io.ReadFull(answer.Body, make([]byte, 4))
		assert.NilError(t, err)
		answer.Close(true)
	}
	assert.Equal(t, dials, 2)
}

// Guards against a head without end that is held without bound.
func TestEndlessHead(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-More: more\r\n", 1<<16), keeps)
	dial := dialer.New(func(address string) (net.Conn, error) { return net.Dial("tcp", address) }, time.Now, allotter.New(0))
	_, err := dial.Send(newCall(address, "GET"))
	assert.Equal(t, judge.FromError(err), judge.MayHaveRun, "%v", err)
}

func newCall(address, method string) caller.Call {
	return caller.Call{
		Address: address, Method: method, Path: "/", FirstByteDeadline: time.Now().Add(time.Second),
		IdleDeadline: func(now time.Time) time.Time { return now.Add(200 * time.Millisecond) },
	}
}

// Guards against a part of a load report or of a page of cache events that is taken for the
// whole.
func TestCutReports(t *testing.T) {
	const body = `{"incarnation":"i","running":12,"sequence":34,"events":[]}`
	for cut := range len(body) {
		for name, answer := range map[string]string{
			"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:cut]),
			"no length": "HTTP/1.1 200 OK\r\n\r\n" + body[:cut],
			"chunks":    fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body), body[:cut]),
		} {
			d := dialer.New(func(address string) (net.Conn, error) { return net.Dial("tcp", address) }, time.Now, allotter.New(0))
			address := serve(t, answer, closes)
			_, err := d.FetchLoad(address)
			assert.Assert(t, err != nil, "%s, %d bytes of a report", name, cut)
			_, err = d.FetchEvents(address, 0)
			assert.Assert(t, err != nil, "%s, %d bytes of a page", name, cut)
		}
	}
}
