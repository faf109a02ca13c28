package attempter_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/allotter"
	"wisteriadrum/answerer"
	"wisteriadrum/attempter"
	"wisteriadrum/balancer"
	"wisteriadrum/batcher"
	"wisteriadrum/budgeter"
	"wisteriadrum/caller"
	"wisteriadrum/cataloguer"
	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/emulator"
	"wisteriadrum/follower"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/picker"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
)

// endpoint counts the calls that it receives.
type endpoint struct {
	dialer.Dialer
	calls int
}

func (e *endpoint) Send(caller.Call) (*answerer.Answer, error) {
	e.calls++
	return nil, context.Canceled
}

// crasher is an endpoint that ends while it runs a request.
type crasher struct {
	dialer.Dialer
	onSend func()
}

func (c *crasher) Send(caller.Call) (*answerer.Answer, error) {
	c.onSend()
	return nil, refuser.New(refuser.UpstreamLost, judge.NotRun, "connection reset")
}

const config = `{
	"data_centres": [{"name": "a"}],
	"pools": [{"name": "office", "kind": "service"}],
	"endpoints": [{"name": "s", "pool": "office", "data_centre": "a", "address": "127.0.0.1:1"}],
	"workspaces": [{"name": "w", "key": "d5ead6fdd3d16630aad4f07f5e49486337a42e58fb4eef0deaabb814c003b134"}],
	"routes": [{"name": "booking", "pool": "office", "prefix": "/book", "once": true, "idle": 200}],
}`

// newAttempter returns an attempter with one endpoint, and a request for it. The
// request is claimed at now and sent at sentAt.
func newAttempter(t *testing.T, dial dialer.Dialer, quarantine *quarantiner.Registry, count *counter.Counter, now, sentAt time.Time) (*attempter.Attempter, *resolver.Request) {
	t.Helper()
	board := keeper.New()
	parsed, err := cataloguer.New([]byte(config))
	assert.NilError(t, err)
	source := parsed.Encode()
	assert.NilError(t, follower.New(board, "me", "a", nil, nil, nil, count, zap.NewNop()).Adopt(1, cataloguer.Digest(source), source))
	table := emulator.New(time.Now).Table()
	endpoints := picker.New(board, balancer.New(), balancer.New(), nil, nil, mapper.New(1<<16, now), quarantine, count, func() time.Time { return now }, func() {})
	claims := claimer.New("me", "", batcher.New(table, count), table, nil, nil, count, func() time.Time { return now })
	sendNow := func() time.Time { return sentAt }
	request, err := resolver.New(resolver.Input{ID: "r", Method: "POST", Path: "/book", Authorization: "Bearer key-0", IdempotencyKey: "k", Body: []byte("slot"), ReceivedAt: now}, board.Index.Load())
	assert.NilError(t, err)
	return attempter.New(dial, endpoints, claims, budgeter.New(budgeter.Default(), 1, sendNow), count, sendNow), request
}

// A request that is quarantined after its first attempt is refused at once, not
// after further rounds over the endpoints.
func TestQuarantinedRequestGetsNoRound(t *testing.T) {
	now, quarantine, count := time.Unix(1000, 0), quarantiner.New(), counter.New(metrics.NewRegistry())
	dialed := &crasher{}
	attempts, request := newAttempter(t, dialed, quarantine, count, now, now)
	dialed.onSend = func() {
		quarantine.RecordCrash(request.Fingerprint, quarantiner.Crash{Endpoint: "s", Incarnation: "1"}, now)
		quarantine.RecordCrash(request.Fingerprint, quarantiner.Crash{Endpoint: "other", Incarnation: "1"}, now)
	}
	_, err := attempts.Run(t.Context(), request)
	assert.ErrorContains(t, err, "crashed")
	assert.Equal(t, count.Value("retry", "round"), int64(0))
}

// Guards against an answer without a length that is taken for lost though it is whole, and
// against one that is recorded though its connection was reset or stayed open.
func TestAnswersWithoutLength(t *testing.T) {
	const unframed, http10 = "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody"
	for name, test := range map[string]struct {
		answer string
		end    func(far net.Conn)
		status int
		body   string
		code   refuser.Code
	}{
		"no content":           {"HTTP/1.1 204 No Content\r\n\r\n", keep, 204, "", ""},
		"not modified":         {"HTTP/1.1 304 Not Modified\r\n\r\n", keep, 304, "", ""},
		"not modified, length": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", keep, 304, "", ""},
		"closed":               {unframed, closeConn, 200, "body", ""},
		"closed, empty":        {"HTTP/1.1 200 OK\r\n\r\n", closeConn, 200, "", ""},
		"closed, status 500":   {"HTTP/1.1 500 Failed\r\n\r\nbody", closeConn, 500, "body", ""},
		"closed, HTTP/1.0":     {http10, closeConn, 200, "body", ""},
		"closed, coded 1.0":    {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", closeConn, 0, "", refuser.UpstreamLost},
		"reset":                {unframed, reset, 0, "", refuser.AnswerLost},
		"reset, HTTP/1.0":      {http10, reset, 0, "", refuser.AnswerLost},
		"open":                 {unframed, keep, 0, "", refuser.AnswerLost},
		"open, HTTP/1.0":       {http10, keep, 0, "", refuser.AnswerLost},
		"refusal":              {"HTTP/1.1 503 Busy\r\nX-Verdict: not-run\r\n\r\nfull", keep, 0, "", refuser.UpstreamBusy},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			dial := dialer.New(func(string) (net.Conn, error) { return answeringConn(t, test.answer, test.end), nil }, time.Now, allotter.New(0))
			attempts, request := newAttempter(t, dial, quarantiner.New(), counter.New(metrics.NewRegistry()), now, now)
			answer, err := attempts.Run(t.Context(), request)
			assert.Equal(t, answer.Status, test.status, "%v", err)
			assert.Equal(t, string(answer.Body), test.body)
			if test.code != "" {
				assert.Equal(t, err.(*refuser.Refusal).Code, test.code)
			}
		})
	}
}

// Guards against answers without an end that take more memory than there is. The work may
// have been done.
func TestEndlessAnswer(t *testing.T) {
	now := time.Now()
	received := allotter.New(1 << 20)
	endless := func(far net.Conn) {
		for block := make([]byte, 64<<10); ; {
			if _, err := far.Write(block); err != nil {
				return
			}
		}
	}
	dial := dialer.New(func(string) (net.Conn, error) { return answeringConn(t, "HTTP/1.1 200 OK\r\n\r\n", endless), nil }, time.Now, received)
	attempts, request := newAttempter(t, dial, quarantiner.New(), counter.New(metrics.NewRegistry()), now, now)
	_, err := attempts.Run(t.Context(), request)
	assert.Equal(t, err.(*refuser.Refusal).Code, refuser.AnswerLost)
	assert.Equal(t, judge.FromError(err), judge.MayHaveRun)
	assert.Equal(t, received.Used(), int64(0))
}

// answeringConn returns a connection to an endpoint that reads a request, sends answer
// and then calls end.
func answeringConn(t *testing.T, answer string, end func(far net.Conn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close() //nolint:errcheck // not checked in a test
	near, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	go func() {
		_, _ = framer.ReadRequest(bufio.NewReader(far), 1<<16)
		_, _ = far.Write([]byte(answer))
		end(far)
	}()
	return near
}

func keep(net.Conn) {}

func closeConn(far net.Conn) { _ = far.Close() }

func reset(far net.Conn) {
	time.Sleep(50 * time.Millisecond) // until the bytes sent before have arrived
	_ = far.(*net.TCPConn).SetLinger(0)
	_ = far.Close()
}

// A process that is suspended between claiming a request and sending it may
// resume after the claim has expired, when another instance may have run the
// request. It must not send the request then, and the verdict must be "not run".
func TestLateClaimIsNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	dialed := &endpoint{}
	attempts, request := newAttempter(t, dialed, quarantiner.New(), counter.New(metrics.NewRegistry()), now, now.Add(time.Minute))
	_, err := attempts.Run(t.Context(), request)
	assert.Equal(t, judge.FromError(err), judge.NotRun, "%v", err)
	assert.Equal(t, dialed.calls, 0)
}
