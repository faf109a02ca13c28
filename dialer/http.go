package dialer

import (
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

	"wisteriadrum/answerer"
	"wisteriadrum/caller"
	"wisteriadrum/commander"
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
)

const (
	loadTimeout  = time.Second
	maxLoadBytes = 1 << 16
	// reusedTimeout bounds the wait for an answer's head on a connection that
	// was used before, because such a connection may have gone silent.
	reusedTimeout = 400 * time.Millisecond
)

type httpDialer struct {
	pool *pooler.Pool
	now  func() time.Time
}

// New returns a dialer that speaks HTTP over connections opened with dial.
func New(dial func(address string) (net.Conn, error), now func() time.Time) Dialer {
	return &httpDialer{pool: pooler.New(dial, now), now: now}
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
	answer, err := d.exchange(conn, call)
	if err == nil {
		return answer, nil
	}
	_ = conn.Close()
	if conn.Reused {
		// The others of its age may be silent too.
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
	err := d.get(address, "/v1/load", &report)
	report.Incarnation = packer.Incarnation(report.Incarnation)
	return report, err
}

func (d *httpDialer) FetchEvents(address string, after uint64) (pager.Page, error) {
	var page pager.Page
	err := d.get(address, "/v1/events?after="+strconv.FormatUint(after, 10), &page)
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

// get reads a small JSON document.
func (d *httpDialer) get(address, path string, target any) error {
	answer, err := d.Send(caller.Call{
		Address: address, Method: fasthttp.MethodGet, Path: path,
		FirstByteDeadline: d.now().Add(loadTimeout), IdleDeadline: func(now time.Time) time.Time { return now.Add(loadTimeout) },
	})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxLoadBytes))
	answer.Close(err == nil)
	if err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	if answer.Status != fasthttp.StatusOK {
		return eris.Errorf("%s has status %d", path, answer.Status)
	}
	return eris.Wrapf(json.Unmarshal(body, target), "decode %s", path)
}

func (d *httpDialer) exchange(conn *pooler.Conn, call caller.Call) (*answerer.Answer, error) {
	if err := send(conn, call); err != nil {
		return nil, err
	}
	headBy := call.FirstByteDeadline
	if soon := d.now().Add(reusedTimeout); conn.Reused && soon.Before(headBy) {
		headBy = soon
	}
	if err := conn.SetReadDeadline(headBy); err != nil {
		return nil, lost(call, err)
	}
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	response.SkipBody = call.Method == fasthttp.MethodHead
	if err := response.Read(conn.Reader); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, lost(call, err)
	}
	answer := d.answer(conn, call, response)
	if call.Attempt != "" && answer.Attempt != call.Attempt && (answer.Attempt != "" || !call.NewConnection) {
		answer.Close(false)
		return nil, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "answer to attempt %q came for %q", answer.Attempt, call.Attempt)
	}
	return answer, nil
}

func (d *httpDialer) answer(conn *pooler.Conn, call caller.Call, response *fasthttp.Response) *answerer.Answer {
	head := &response.Header
	answer := &answerer.Answer{
		Status:      response.StatusCode(),
		ContentType: string(head.ContentType()),
		Attempt:     string(head.Peek(HeaderAttemptID)),
		Incarnation: packer.Incarnation(string(head.Peek(HeaderIncarnation))),
		Weights:     string(head.Peek(HeaderWeightsVersion)),
		CachedBytes: number(head.Peek(HeaderCachedBytes)),
		QueueBytes:  number(head.Peek(HeaderQueueBytes)),
		Refused:     string(head.Peek(HeaderVerdict)) == judge.NotRun.String(),
		Reason:      string(head.Peek(HeaderReason)),
		Length:      head.ContentLength(),
	}
	if response.SkipBody {
		answer.Length = 0
	}
	first := true
	answer.Body = reader(func(buffer []byte) (int, error) {
		deadline := call.IdleDeadline(d.now())
		if first && call.FirstByteDeadline.After(deadline) {
			deadline = call.FirstByteDeadline
		}
		if err := conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		body := response.BodyStream()
		if body == nil {
			return 0, io.EOF
		}
		n, err := body.Read(buffer)
		first = first && n == 0
		return n, err
	})
	keep := !head.ConnectionClose() && answer.Length != identity
	answer.Finish = func(whole bool) {
		if !whole || !keep {
			// Closed first: closing the body stream reads on to its end.
			_ = conn.Close()
		}
		_ = response.CloseBodyStream()
		fasthttp.ReleaseResponse(response)
		if whole && keep {
			d.pool.Put(call.Address, conn, time.Time{})
		}
	}
	return answer
}

// identity is fasthttp's content length of a body that ends with its connection.
const identity = -2

type reader func([]byte) (int, error)

func (r reader) Read(buffer []byte) (int, error) { return r(buffer) }

func lost(call caller.Call, err error) error {
	code := refuser.UpstreamLost
	var timeout interface{ Timeout() bool } // less than net.Error, as the codec's own
	if errors.As(err, &timeout) && timeout.Timeout() {
		code = refuser.Timeout
	}
	return refuser.New(code, judge.MayHaveRun, "%s %s at %s: %s", call.Method, call.Path, call.Address, fmt.Sprint(err))
}

func number(text []byte) int {
	value, err := strconv.Atoi(string(text))
	if err != nil {
		return -1
	}
	return value
}
