// Package fetcher sends HTTP requests to the platform and never retries them.
package fetcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriadrum/allotter"
	"wisteriadrum/framer"
	"wisteriadrum/inspector"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
)

const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 64 << 20
)

// ErrNotFound is returned for an object that does not exist.
var ErrNotFound = errors.New("not found")

// Fetcher sends requests to one HTTP server.
type Fetcher struct {
	client   *fasthttp.HostClient
	address  string
	received *allotter.Allotter
}

// New returns a fetcher for the server at address, an IP address and port,
// which opens connections with dial. received bounds the memory of its answers.
func New(address string, dial func(address string) (net.Conn, error), received *allotter.Allotter) *Fetcher {
	return &Fetcher{address: address, received: received, client: &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      inspector.Dial(dial),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
	}}
}

// Do sends one request and returns the body of a successful answer. It fails at the
// deadline of ctx or after five seconds. The verdict of the error is judge.NotRun
// if the server cannot have received the request. The error for status 404 wraps
// ErrNotFound.
func (f *Fetcher) Do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := f.Call(callCtx, method, path, body)
	if err != nil {
		return nil, err
	}
	switch answer.Status {
	case fasthttp.StatusOK:
		return answer.Body, nil
	case fasthttp.StatusNotFound:
		return nil, eris.Wrapf(ErrNotFound, "%s %s", method, path)
	default:
		return nil, refuser.New(refuser.PlatformFailed, judge.MayHaveRun, "platform answered %d to %s %s", answer.Status, method, path)
	}
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Body   []byte
	header fasthttp.ResponseHeader
}

// Get returns the value of a header field, empty if the answer does not have it.
func (a *Answer) Get(name string) string { return string(a.header.Peek(name)) }

// Call sends one request and returns its answer. It fails at the deadline of ctx, which
// must have one.
func (f *Fetcher) Call(ctx context.Context, method, path string, body []byte) (*Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + f.address + path)
	if body != nil {
		request.SetBody(body)
		request.Header.SetContentType("application/json")
	}
	deadline, _ := ctx.Deadline()
	if err := f.client.DoDeadline(request, response, deadline); err != nil {
		return nil, f.callError(err)
	}
	received, err := ReadBody(ctx, response, maxBodyBytes, f.received)
	if err != nil {
		return nil, f.callError(err)
	}
	answer := &Answer{Status: response.StatusCode(), Body: received}
	response.Header.CopyTo(&answer.header)
	return answer, nil
}

// ReadBody reads the body of a streamed response, at most limit bytes, and closes it.
// ctx must have a deadline. The memory of the body is taken from received until it has
// been read.
func ReadBody(ctx context.Context, response *fasthttp.Response, limit int64, received *allotter.Allotter) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil // the response has no body
	}
	deadline, _ := ctx.Deadline()
	evicted, evict := context.WithCancel(ctx)
	defer evict()
	memory := received.Open(evicted, deadline, evict)
	defer memory.Close()
	stop := context.AfterFunc(evicted, func() { closeStream(stream, evicted.Err()) })
	defer stop()
	body, err := framer.ReadAll(stream, int64(response.Header.ContentLength()), limit, memory)
	if err == nil {
		err = memory.Settle()
	}
	if err != nil && memory.Evicted() {
		err = allotter.ErrFull
	}
	closeStream(stream, err)
	return body, err
}

// closeStream closes the body of a response. Its connection is kept for other calls if err
// is nil and the body was read to its end.
func closeStream(stream io.Reader, err error) {
	if closer, ok := stream.(fasthttp.ReadCloserWithError); ok {
		_ = closer.CloseWithError(err) // nothing is left to do if it fails
	}
}

// callError returns err as a refusal, whose verdict is judge.NotRun if no
// connection was established.
func (f *Fetcher) callError(err error) error {
	verdict := judge.MayHaveRun
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial" {
		verdict = judge.NotRun
	}
	return refuser.New(refuser.PlatformFailed, verdict, "platform at %s: %s", f.address, fmt.Sprint(err))
}
