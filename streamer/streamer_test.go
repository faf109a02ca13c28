package streamer_test

import (
	"cmp"
	"errors"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/answerer"
	"wisteriadrum/balancer"
	"wisteriadrum/budgeter"
	"wisteriadrum/caller"
	"wisteriadrum/cataloguer"
	"wisteriadrum/chunker"
	"wisteriadrum/counter"
	"wisteriadrum/delegator"
	"wisteriadrum/dialer"
	"wisteriadrum/follower"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/messenger"
	"wisteriadrum/picker"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refresher"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/streamer"
)

const config = `{
	"data_centres": [{"name": "a"}],
	"models": [{"name": "m", "versions": ["v1"], "piece": 4000}],
	"pools": [{"name": "hall", "kind": "engine", "model": "m", "version": "v1", "continues": true, "serving": 1}],
	"endpoints": [{"name": "e", "pool": "hall", "data_centre": "a", "address": "127.0.0.1:1"}],
	"workspaces": [{"name": "w", "key": "d5ead6fdd3d16630aad4f07f5e49486337a42e58fb4eef0deaabb814c003b134"}],
	"routes": [{"name": "ask", "pool": "hall", "model": "m"}],
}`

// chunked is the length of an answer in chunks.
const chunked = -1

// engine answers the first call with first, whose body goes on with rest, and the others
// with the events that are missing. status is that of the first answer, 200 if it is 0.
type engine struct {
	dialer.Dialer
	status int
	length int
	first  string
	rest   io.Reader
	calls  int
}

func (e *engine) Send(call caller.Call) (*answerer.Answer, error) {
	e.calls++
	answer := &answerer.Answer{Status: 200, Attempt: call.Attempt, Incarnation: "i", Weights: "v1", CachedBytes: -1, QueueBytes: -1, Length: e.length}
	answer.Body = strings.NewReader(strings.Join(events[call.ResumeAfter:], ""))
	if e.calls == 1 {
		answer.Status = cmp.Or(e.status, 200)
		answer.Body = io.MultiReader(strings.NewReader(e.first), e.rest)
	}
	return answer, nil
}

// events are the events of an answer.
var events = []string{
	"id: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n", "id: 2\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n",
	"id: 3\ndata: " + chunker.Done + "\n\n",
}

// silence is the rest of a connection that stays open without data.
type silence struct{}

func (silence) Read([]byte) (int, error) {
	time.Sleep(3 * time.Second)
	return 0, os.ErrDeadlineExceeded
}

// collector collects the text of an answer.
type collector struct{ text string }

func (c *collector) Send(_ string, chunk chunker.Chunk) error {
	c.text += chunk.Text()
	return nil
}

// An answer is complete after its closing event only, however its connection ends. The
// caller does not wait for the end of a connection after that.
func TestEndsOfStreams(t *testing.T) {
	whole := strings.Join(events, "")
	end := iotest.ErrReader(io.EOF)
	for name, test := range map[string]struct {
		length int
		first  string
		rest   io.Reader
		calls  int
	}{
		"chunks":                          {chunked, whole, end, 1},
		"unframed, closed":                {answerer.UntilClose, whole, end, 1},
		"unframed, closed, CRLF":          {answerer.UntilClose, strings.ReplaceAll(whole, "\n", "\r\n"), end, 1},
		"unframed, left open":             {answerer.UntilClose, whole, silence{}, 1},
		"closed before an event":          {answerer.UntilClose, "", end, 2},
		"closed after an event":           {answerer.UntilClose, events[0], end, 2},
		"closed inside an event":          {answerer.UntilClose, events[0] + "id: 2\ndata: {\"cho", end, 2},
		"closed before the blank line":    {answerer.UntilClose, events[0] + strings.TrimSuffix(events[1], "\n"), end, 2},
		"closed inside the closing event": {answerer.UntilClose, events[0] + events[1] + "id: 3\ndata: [DONE]\n", end, 2},
		"chunks end inside an event":      {chunked, events[0] + "id: 2\nda", end, 2},
		"reset after an event":            {answerer.UntilClose, events[0], iotest.ErrReader(syscall.ECONNRESET), 2},
		"reset inside an event":           {answerer.UntilClose, events[0] + "id: 2\nda", iotest.ErrReader(syscall.ECONNRESET), 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{length: test.length, first: test.first, rest: test.rest}
			streams, request := newStreamer(t, e)
			var got collector
			startedAt := time.Now()
			assert.NilError(t, streams.Run(t.Context(), request, &got))
			assert.Equal(t, got.text, "ab")
			assert.Equal(t, e.calls, test.calls)
			assert.Assert(t, time.Since(startedAt) < 2*time.Second)
		})
	}
}

// Guards against a part of a failure that ends a request as if it were the whole answer.
func TestFailureThatIsCut(t *testing.T) {
	for name, test := range map[string]struct {
		rest  io.Reader
		whole bool
	}{
		"whole": {iotest.ErrReader(io.EOF), true},
		"reset": {iotest.ErrReader(syscall.ECONNRESET), false},
		"cut":   {iotest.ErrReader(io.ErrUnexpectedEOF), false},
	} {
		e := &engine{status: 404, length: answerer.UntilClose, first: "no such", rest: test.rest}
		streams, request := newStreamer(t, e)
		var got collector
		err := streams.Run(t.Context(), request, &got)
		var refusal *refuser.Refusal
		assert.Equal(t, errors.As(err, &refusal) && refusal.Code == refuser.Rejected, test.whole, "%s: %v", name, err)
		assert.Equal(t, got.text == "ab", !test.whole, name)
	}
}

// cutting is two engines. The first one sends an event on the first connection and nothing on
// the others; it takes a while to cancel the attempt.
type cutting struct {
	dialer.Dialer
	first     string
	calls     int
	cancelled atomic.Bool
	early     bool
}

func (c *cutting) Send(call caller.Call) (*answerer.Answer, error) {
	c.calls++
	answer := &answerer.Answer{Status: 200, Attempt: call.Attempt, Incarnation: "i", Weights: "v1", CachedBytes: -1, QueueBytes: -1, Length: answerer.UntilClose, Body: strings.NewReader("")}
	if c.calls == 1 {
		c.first, answer.Body = call.Address, strings.NewReader(events[0])
	}
	if call.Address != c.first {
		c.early = !c.cancelled.Load()
		answer.Body = strings.NewReader(strings.Join(events, ""))
	}
	return answer, nil
}

func (c *cutting) Cancel(string, string) error {
	time.Sleep(100 * time.Millisecond)
	c.cancelled.Store(true)
	return nil
}

// Guards against a request that goes on at another engine before the first one has ended it.
func TestCancelledBeforeTheSwitch(t *testing.T) {
	c := &cutting{}
	streams, request := newStreamerOf(t, c, strings.Replace(config, `"address": "127.0.0.1:1"}`, `"address": "127.0.0.1:1"}, {"name": "f", "pool": "hall", "data_centre": "a", "address": "127.0.0.1:2"}`, 1))
	assert.NilError(t, streams.Run(t.Context(), request, &collector{}))
	assert.Assert(t, c.cancelled.Load() && !c.early)
}

// newStreamer returns a streamer with one engine, and a request for it.
func newStreamer(t *testing.T, dial dialer.Dialer) (*streamer.Streamer, *resolver.Request) {
	t.Helper()
	return newStreamerOf(t, dial, config)
}

// newStreamerOf returns a streamer with the engines of a configuration, and a request.
func newStreamerOf(t *testing.T, dial dialer.Dialer, config string) (*streamer.Streamer, *resolver.Request) {
	t.Helper()
	board, count, now := keeper.New(), counter.New(metrics.NewRegistry()), time.Now()
	parsed, err := cataloguer.New([]byte(config))
	assert.NilError(t, err)
	source := parsed.Encode()
	assert.NilError(t, follower.New(board, "me", "a", nil, nil, nil, count, zap.NewNop()).Adopt(1, cataloguer.Digest(source), source))
	cacheMap := mapper.New(1<<16, now)
	homes := delegator.New(messenger.Member{}, board, nil, 2, count)
	engines := picker.New(board, balancer.New(), balancer.New(), refresher.New(dial, cacheMap, count, time.Now), homes, cacheMap, quarantiner.New(), count, time.Now, func() {})
	request, err := resolver.New(resolver.Input{
		ID: "r", Method: "POST", Path: resolver.CompletionsPath, Authorization: "Bearer key-0",
		Body: []byte(`{"model":"m","prompt":"p","max_tokens":2,"stream":true}`), ReceivedAt: now,
	}, board.Index.Load())
	assert.NilError(t, err)
	return streamer.New(board, dial, engines, budgeter.New(budgeter.Default(), 1, time.Now), count, time.Now), request
}
