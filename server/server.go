// Package server implements the HTTP interface for callers.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"wisteriadrum/attempter"
	"wisteriadrum/chunker"
	"wisteriadrum/counter"
	"wisteriadrum/drainer"
	"wisteriadrum/grouper"
	"wisteriadrum/judge"
	"wisteriadrum/keeper"
	"wisteriadrum/limiter"
	"wisteriadrum/muter"
	"wisteriadrum/recorder"
	"wisteriadrum/refuser"
	"wisteriadrum/resolver"
	"wisteriadrum/streamer"
)

// Header fields of the caller interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderVerdict        = "X-Verdict"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	eventStream      = "text/event-stream"
	serviceTimeout   = 2 * time.Minute // for one request to a plain service
	keepAliveTimeout = time.Minute
	readTimeout      = time.Minute // for reading one request
)

// Server accepts requests of callers and returns the answers of endpoints.
type Server struct {
	board    *keeper.Board
	limits   *limiter.Limiter
	streams  *streamer.Streamer
	services *attempter.Attempter
	count    *counter.Counter
	now      func() time.Time
	http     *fasthttp.Server
	aborted  chan struct{}
	// terms are those of a planned stop, nil before it.
	terms atomic.Pointer[drainer.Drainer]
}

// New returns a server that accepts bodies and headers of at most maxBodyBytes
// and maxHeaderBytes.
func New(board *keeper.Board, limits *limiter.Limiter, streams *streamer.Streamer, services *attempter.Attempter, count *counter.Counter, now func() time.Time, maxBodyBytes, maxHeaderBytes int) *Server {
	s := &Server{board: board, limits: limits, streams: streams, services: services, count: count, now: now, aborted: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.refuseMalformed,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           keepAliveTimeout,
		NoDefaultServerHeader: true, Logger: muter.New(),
		CloseOnShutdown: true,
	}
	return s
}

// Serve accepts callers on listener until it is closed.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown stops accepting requests and waits until the requests in flight have
// ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Drain refuses requests that a planned stop with these terms would cut off from now on.
func (s *Server) Drain(terms drainer.Drainer) { s.terms.Store(&terms) }

// Abort ends the requests in flight with a refusal whose verdict is
// judge.MayHaveRun. It must be called at most once.
func (s *Server) Abort() { close(s.aborted) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	input := s.newInput(ctx)
	ctx.Response.Header.Set(HeaderRequestID, input.ID)
	request, err := resolver.New(input, s.board.Index.Load())
	if err != nil {
		s.writeRefusal(ctx, input.ID, err)
		return
	}
	if err := s.refuseCutOff(request); err != nil {
		ctx.SetConnectionClose() // the caller returns to another instance
		s.writeRefusal(ctx, input.ID, err)
		return
	}
	release, err := s.limits.Admit(request.Workspace, input.ReceivedAt)
	if err != nil {
		s.writeRefusal(ctx, input.ID, err)
		return
	}
	s.count.Add("requests", request.Route.Name)
	switch {
	case request.Pool.Kind == grouper.Service:
		defer release()
		s.serveService(ctx, request)
	case request.Prompt.Stream:
		s.serveStream(ctx, request, release)
	default:
		defer release()
		s.serveComplete(ctx, request)
	}
}

// refuseCutOff returns a refusal if a planned stop would cut request off.
func (s *Server) refuseCutOff(request *resolver.Request) error {
	terms, receivedAt := s.terms.Load(), request.ReceivedAt
	if terms == nil || terms.Admits(request.Route.AtMostOnce, receivedAt, request.Route.FirstByteDeadline(receivedAt)) {
		return nil
	}
	return refuser.New(refuser.Stopping, judge.NotRun, "the instance stops before the request may have ended").WithRetryAt(s.now())
}

func (s *Server) newInput(ctx *fasthttp.RequestCtx) resolver.Input {
	head := &ctx.Request.Header
	return resolver.Input{
		ID:             uuid.NewString(),
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		Query:          string(ctx.URI().QueryString()),
		ContentType:    string(head.ContentType()),
		Authorization:  string(head.Peek(fasthttp.HeaderAuthorization)),
		IdempotencyKey: string(head.Peek(HeaderIdempotencyKey)),
		LastEventID:    string(head.Peek("Last-Event-ID")),
		Body:           append([]byte(nil), ctx.PostBody()...),
		ReceivedAt:     s.now(),
	}
}

func (s *Server) serveService(ctx *fasthttp.RequestCtx, request *resolver.Request) {
	callCtx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	answer, err := s.runUnlessAborted(func() (recorder.Answer, error) { return s.services.Run(callCtx, request) })
	if err != nil {
		s.writeRefusal(ctx, request.ID, err)
		return
	}
	s.answer(ctx, answer)
}

// runUnlessAborted runs work and returns its result, or a refusal if Abort is
// called first. In that case work continues in the background.
func (s *Server) runUnlessAborted(work func() (recorder.Answer, error)) (recorder.Answer, error) {
	type outcome struct {
		answer recorder.Answer
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		var result outcome
		defer func() {
			result.err = s.recoveredRefusal(recover(), result.err)
			done <- result
		}()
		result.answer, result.err = work()
	}()
	select {
	case result := <-done:
		return result.answer, result.err
	case <-s.aborted:
		return recorder.Answer{}, abortedRefusal()
	}
}

// recoveredRefusal returns err, or a refusal if panicked is a recovered panic of
// the data path, so that a panic in one request does not end the process.
func (s *Server) recoveredRefusal(panicked any, err error) error {
	if panicked == nil {
		return err
	}
	s.count.Add("requests", "panicked")
	return refuser.New(refuser.Internal, judge.MayHaveRun, "internal error: %v", panicked)
}

func abortedRefusal() error {
	return refuser.New(refuser.Stopping, judge.MayHaveRun, "the instance was stopped at once")
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, answer recorder.Answer) {
	s.count.Add("answers", "whole")
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set(HeaderVerdict, judge.Ran.String())
	ctx.SetBody(answer.Body)
}

// serveComplete collects a model's answer and returns it as one body.
func (s *Server) serveComplete(ctx *fasthttp.RequestCtx, request *resolver.Request) {
	answer, err := s.runUnlessAborted(func() (recorder.Answer, error) {
		var collector chunkCollector
		err := s.streams.Run(context.Background(), request, &collector)
		body := chunker.Join(collector.chunks, request.Prompt.IsChat()).Encode()
		return recorder.Answer{Status: fasthttp.StatusOK, ContentType: "application/json", Body: body}, err
	})
	if err != nil {
		s.writeRefusal(ctx, request.ID, err)
		return
	}
	s.answer(ctx, answer)
}

// chunkCollector is a sink that collects the chunks of an answer.
type chunkCollector struct {
	chunks []chunker.Chunk
}

func (g *chunkCollector) Send(_ string, chunk chunker.Chunk) error {
	g.chunks = append(g.chunks, chunk)
	return nil
}

// countRefusal returns err as a refusal and counts it under its code. Other
// errors become refuser.UpstreamLost.
func (s *Server) countRefusal(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "%s", err)
	}
	s.count.Add("refusal", string(refusal.Code))
	return refusal
}

// writeRefusal writes the reason, the verdict and the time after which a retry
// may succeed.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, id string, err error) {
	refusal := s.countRefusal(err)
	ctx.SetStatusCode(refusal.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderVerdict, refusal.Ran.String())
	if !refusal.RetryAt.IsZero() {
		seconds := math.Ceil(max(refusal.RetryAt.Sub(s.now()).Seconds(), 1))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	ctx.SetBody(encode(refusal, id))
}

// refuseMalformed refuses a request that could not be parsed.
func (s *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	code := refuser.BadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &smallBuffer) {
		code = refuser.TooLarge
	}
	s.writeRefusal(ctx, "", refuser.New(code, judge.NotRun, "the request could not be read: %s", strings.TrimSpace(err.Error())))
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    refuser.Code  `json:"code"`
	Reason  string        `json:"message"`
	Verdict judge.Verdict `json:"verdict"`
	Request string        `json:"request,omitempty"`
	RetryAt time.Time     `json:"retry_at,omitzero"`
}

func encode(refusal *refuser.Refusal, id string) []byte {
	encoded, err := json.Marshal(errorResponse{Error: errorDetail{
		Code: refusal.Code, Reason: refusal.Reason, Verdict: refusal.Ran, Request: id, RetryAt: refusal.RetryAt,
	}})
	if err != nil {
		panic(err) // every field can be encoded as JSON
	}
	return encoded
}
