package dialer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriadrum/allotter"
	"wisteriadrum/answerer"
	"wisteriadrum/caller"
	"wisteriadrum/commander"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/packer"
	"wisteriadrum/pager"
	"wisteriadrum/pooler"
	"wisteriadrum/refuser"
	"wisteriadrum/reporter"
)

// Header fields of the endpoint protocol.
const (
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderSalt           = "X-Salt"
	HeaderWeightsVersion = "X-Weights-Version"
	HeaderPriority       = "X-Priority"
	HeaderStartBy        = "X-Start-By"
	HeaderIncarnation    = "X-Incarnation"
	HeaderCachedBytes    = "X-Cached-Bytes"
	HeaderQueueBytes     = "X-Queue-Bytes"
	HeaderVerdict        = "X-Verdict"
	HeaderReason         = "X-Reason"
	HeaderLastEventID    = "Last-Event-ID"
	// HeaderRetryAfter is the number of seconds for which an endpoint that refused wants
	// no requests.
	HeaderRetryAfter = "Retry-After"
)

const (
	loadTimeout = time.Second
	// largeBodyBytes is the size above which a body may not fit into the buffers of an
	// endpoint that does not read it.
	largeBodyBytes = 8 << 10
	maxLoadBytes   = 1 << 16
	maxHeadBytes   = 32 << 10 // the head of an answer
	// maxWaitSeconds bounds the time for which an endpoint may want no requests.
	maxWaitSeconds = 24 * 60 * 60
	// reusedConnTimeout limits the wait for an answer's header on a reused
	// connection, because such a connection may have failed without an error.
	reusedConnTimeout = 400 * time.Millisecond
)

type httpDialer struct {
	pool     *pooler.Pool
	now      func() time.Time
	received *allotter.Allotter
}

// New returns a dialer that sends HTTP requests over connections opened with dial. received
// bounds the memory of their answers.
func New(dial func(address string) (net.Conn, error), now func() time.Time, received *allotter.Allotter) Dialer {
	return &httpDialer{pool: pooler.New(dial, now), now: now, received: received}
}

func (d *httpDialer) Send(call caller.Call) (*answerer.Answer, error) {
	conn, err := d.pool.Get(call.Address, call.NewConnection)
	if err != nil {
		code := refuser.Timeout
		if errors.Is(err, syscall.ECONNREFUSED) {
			code = refuser.UpstreamLost
		}
		return nil, refuser.New(code, judge.NotRun, "dial %s: %s", call.Address, err)
	}
	answer, err := d.roundTrip(conn, call)
	if err == nil {
		return answer, nil
	}
	abandon(conn, call)
	if conn.Reused {
		// Other idle connections to the same endpoint may have failed as well.
		d.pool.Drop(call.Address)
	}
	return nil, err
}

func (d *httpDialer) Cancel(address, attempt string) error {
	now := d.now()
	answer, err := d.Send(caller.Call{
		Address: address, Attempt: attempt, Method: fasthttp.MethodDelete, Path: "/v1/attempts/" + attempt,
		NewConnection: true, FirstByteDeadline: now.Add(loadTimeout), IdleDeadline: func(now time.Time) time.Time { return now.Add(loadTimeout) },
	})
	if err != nil {
		return err
	}
	answer.Close(false)
	return nil
}

func (d *httpDialer) FetchLoad(address string) (reporter.Report, error) {
	var report reporter.Report
	err := d.getJSON(address, "/v1/load", &report)
	report.Incarnation = packer.Incarnation(report.Incarnation)
	return report, err
}

func (d *httpDialer) FetchEvents(address string, after uint64) (pager.Page, error) {
	var page pager.Page
	err := d.getJSON(address, "/v1/events?after="+strconv.FormatUint(after, 10), &page)
	page.Incarnation = packer.Incarnation(page.Incarnation)
	return page, err
}

func (d *httpDialer) SendOrder(address string, order commander.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	answer, err := d.Send(caller.Call{
		Address: address, Method: fasthttp.MethodPost, Path: "/v1/orders", ContentType: "application/json", Body: body, NewConnection: true,
		FirstByteDeadline: d.now().Add(loadTimeout), IdleDeadline: func(now time.Time) time.Time { return now.Add(loadTimeout) },
	})
	if err != nil {
		return err
	}
	answer.Close(false)
	if answer.Status != fasthttp.StatusOK {
		return eris.Errorf("endpoint at %s refused the order: %s", address, answer.Reason)
	}
	return nil
}

// getJSON fetches a JSON document of at most maxLoadBytes and decodes it into
// target.
func (d *httpDialer) getJSON(address, path string, target any) error {
	answer, err := d.Send(caller.Call{
		Address: address, Method: fasthttp.MethodGet, Path: path,
		FirstByteDeadline: d.now().Add(loadTimeout), IdleDeadline: func(now time.Time) time.Time { return now.Add(loadTimeout) },
	})
	if err != nil {
		return err
	}
	body, err := framer.ReadAll(answer.Body, int64(answer.Length), maxLoadBytes, answer.Memory)
	answer.Close(err == nil)
	if err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	if answer.Status != fasthttp.StatusOK {
		return eris.Errorf("%s returned status %d", path, answer.Status)
	}
	return eris.Wrapf(json.Unmarshal(body, target), "decode %s", path)
}

// roundTrip sends call on conn and reads the header of the answer. If call has an
// attempt ID, an answer with another one is an error. An answer without one is an
// error unless call requires a new connection.
func (d *httpDialer) roundTrip(conn *pooler.Conn, call caller.Call) (*answerer.Answer, error) {
	if err := send(conn, call); err != nil {
		return nil, err
	}
	headerDeadline := call.FirstByteDeadline
	if reusedDeadline := d.now().Add(reusedConnTimeout); conn.Reused && reusedDeadline.Before(headerDeadline) {
		headerDeadline = reusedDeadline
	}
	if err := conn.SetReadDeadline(headerDeadline); err != nil {
		return nil, transportError(call, err)
	}
	evicted, evict := context.WithCancel(context.Background())
	stop := context.AfterFunc(evicted, func() { abandon(conn, call) })
	memory := d.received.Open(evicted, call.FirstByteDeadline, evict)
	release := func() bool {
		defer evict()
		memory.Close()
		return stop()
	}
	head, err := framer.ReadResponse(conn.Reader, maxHeadBytes, call.Method, memory)
	if err != nil {
		release()
		return nil, transportError(call, err)
	}
	answer := d.answer(conn, call, head, release)
	answer.Memory = memory
	if call.Attempt != "" && answer.Attempt != call.Attempt && (answer.Attempt != "" || !call.NewConnection) {
		answer.Close(false)
		return nil, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "answer to attempt %q came for %q", answer.Attempt, call.Attempt)
	}
	return answer, nil
}

// answer returns the answer with the given head. Its Finish calls release, which reports
// whether conn is still open, and returns conn to the pool if the body was read to its end
// and conn can be reused.
func (d *httpDialer) answer(conn *pooler.Conn, call caller.Call, head *framer.Head, release func() bool) *answerer.Answer {
	answer := &answerer.Answer{
		Status:      head.Status,
		ContentType: head.Get(fasthttp.HeaderContentType),
		Attempt:     head.Get(HeaderAttemptID),
		Incarnation: packer.Incarnation(head.Get(HeaderIncarnation)),
		Weights:     head.Get(HeaderWeightsVersion),
		CachedBytes: parseCount(head.Get(HeaderCachedBytes)),
		QueueBytes:  parseCount(head.Get(HeaderQueueBytes)),
		Refused:     head.Get(HeaderVerdict) == judge.NotRun.String(),
		Reason:      head.Get(HeaderReason),
		Length:      int(head.Length),
	}
	if seconds, err := strconv.ParseFloat(head.Get(HeaderRetryAfter), 64); err == nil && answer.Refused && seconds > 0 {
		answer.WaitMillis = int(min(seconds, maxWaitSeconds) * 1000)
	}
	body, awaitingFirstByte, ended := head.Body(conn.Reader), true, head.Length == 0
	answer.Body = readerFunc(func(buffer []byte) (int, error) {
		deadline := call.IdleDeadline(d.now())
		if awaitingFirstByte && call.FirstByteDeadline.After(deadline) {
			deadline = call.FirstByteDeadline
		}
		if err := conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := body.Read(buffer)
		ended = errors.Is(err, io.EOF)
		awaitingFirstByte = awaitingFirstByte && n == 0
		return n, err
	})
	reusable := !head.Close && head.Length != framer.UntilClose
	answer.Finish = func(complete bool) {
		// What is left of a body that was not read to its end would precede the next answer.
		switch isOpen := release(); {
		case !ended:
			abandon(conn, call)
		case !isOpen || !reusable || !complete:
			_ = conn.Close()
		default:
			d.pool.Put(call.Address, conn, time.Time{})
		}
	}
	return answer
}

// abandon closes the connection of a call on which the endpoint may still work. A reset passes
// a large body that the endpoint does not read. The end of a small call waits behind nothing,
// and the kernel repeats it, unlike a reset, until it arrives.
func abandon(conn *pooler.Conn, call caller.Call) {
	if len(call.Body) > largeBodyBytes {
		conn.Reset()
		return
	}
	_ = conn.Close()
}

type readerFunc func([]byte) (int, error)

func (r readerFunc) Read(buffer []byte) (int, error) { return r(buffer) }

// transportError returns a refusal for a call that failed after it was sent at
// least in part.
func transportError(call caller.Call, err error) error {
	code, reason := refuser.UpstreamLost, fmt.Sprint(err)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		code, reason = refuser.Timeout, "timeout"
	}
	return refuser.New(code, judge.MayHaveRun, "%s %s at %s: %s", call.Method, call.Path, call.Address, reason)
}

// parseCount returns the number in text, or -1 if there is none.
func parseCount(text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return value
}
