// Package server answers callers over HTTP.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"wisteriadrum/attempter"
	"wisteriadrum/chunker"
	"wisteriadrum/counter"
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
	eventStream   = "text/event-stream"
	serviceLimit  = 2 * time.Minute // of one request to a plain service
	keepAliveTime = time.Minute
	readTime      = time.Minute // to read one request
)

// Server answers callers with what the data path brings.
type Server struct {
	board    *keeper.Board
	limits   *limiter.Limiter
	streams  *streamer.Streamer
	services *attempter.Attempter
	count    *counter.Counter
	now      func() time.Time
	http     *fasthttp.Server
	quit     chan struct{}
}

// New returns a server that takes bodies and headers of at most so many bytes.
func New(board *keeper.Board, limits *limiter.Limiter, streams *streamer.Streamer, services *attempter.Attempter, count *counter.Counter, now func() time.Time, maxBody, maxHeader int) *Server {
	s := &Server{board: board, limits: limits, streams: streams, services: services, count: count, now: now, quit: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.malformed,
		MaxRequestBodySize:    maxBody,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           readTime,
		IdleTimeout:           keepAliveTime,
		NoDefaultServerHeader: true, Logger: muter.New(),
		CloseOnShutdown: true,
	}
	return s
}

// Serve answers callers on listener until it is closed.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown ends after the requests under way, or with ctx.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Abort ends the requests under way with refusals that say what may have run.
// It must be called at most once.
func (s *Server) Abort() { close(s.quit) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	input := s.input(ctx)
	ctx.Response.Header.Set(HeaderRequestID, input.ID)
	request, err := resolver.New(input, s.board.Index.Load())
	if err != nil {
		s.refuse(ctx, input.ID, err)
		return
	}
	release, err := s.limits.Admit(request.Workspace, input.ReceivedAt)
	if err != nil {
		s.refuse(ctx, input.ID, err)
		return
	}
	s.count.Add("requests", request.Route.Name)
	switch {
	case request.Pool.Kind == grouper.Service:
		defer release()
		s.service(ctx, request)
	case request.Prompt.Stream:
		s.stream(ctx, request, release)
	default:
		defer release()
		s.whole(ctx, request)
	}
}

func (s *Server) input(ctx *fasthttp.RequestCtx) resolver.Input {
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

func (s *Server) service(ctx *fasthttp.RequestCtx, request *resolver.Request) {
	limit, cancel := context.WithTimeout(context.Background(), serviceLimit)
	defer cancel()
	answer, err := s.unlessAborted(func() (recorder.Answer, error) { return s.services.Run(limit, request) })
	if err != nil {
		s.refuse(ctx, request.ID, err)
		return
	}
	s.answer(ctx, answer)
}

// unlessAborted returns the outcome of work, or a refusal if Abort comes first.
func (s *Server) unlessAborted(work func() (recorder.Answer, error)) (recorder.Answer, error) {
	type outcome struct {
		answer recorder.Answer
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		var o outcome
		defer func() {
			o.err = s.survived(recover(), o.err)
			done <- o
		}()
		o.answer, o.err = work()
	}()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-s.quit:
		return recorder.Answer{}, aborted()
	}
}

// survived turns a panic of the data path into a refusal, so that one request
// does not end all others.
func (s *Server) survived(panicked any, err error) error {
	if panicked == nil {
		return err
	}
	s.count.Add("requests", "panicked")
	return refuser.New(refuser.Internal, judge.MayHaveRun, "internal error: %v", panicked)
}

func aborted() error {
	return refuser.New(refuser.Stopping, judge.MayHaveRun, "the instance was stopped at once")
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, answer recorder.Answer) {
	s.count.Add("answers", "whole")
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set(HeaderVerdict, judge.Ran.String())
	ctx.SetBody(answer.Body)
}

func (s *Server) whole(ctx *fasthttp.RequestCtx, request *resolver.Request) {
	answer, err := s.unlessAborted(func() (recorder.Answer, error) {
		var sink gatherer
		err := s.streams.Run(context.Background(), request, &sink)
		body := chunker.Join(sink.chunks, request.Prompt.IsChat()).Encode()
		return recorder.Answer{Status: fasthttp.StatusOK, ContentType: "application/json", Body: body}, err
	})
	if err != nil {
		s.refuse(ctx, request.ID, err)
		return
	}
	s.answer(ctx, answer)
}

// gatherer is a sink that keeps a whole answer.
type gatherer struct {
	chunks []chunker.Chunk
}

func (g *gatherer) Send(_ string, chunk chunker.Chunk) error {
	g.chunks = append(g.chunks, chunk)
	return nil
}

func (s *Server) counted(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "%s", err)
	}
	s.count.Add("refusal", string(refusal.Code))
	return refusal
}

// refuse answers with the reason, the verdict and the time of a useful retry.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, id string, err error) {
	refusal := s.counted(err)
	ctx.SetStatusCode(refusal.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderVerdict, refusal.Ran.String())
	if !refusal.RetryAt.IsZero() {
		seconds := math.Ceil(max(refusal.RetryAt.Sub(s.now()).Seconds(), 1))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	ctx.SetBody(encode(refusal, id))
}

// malformed answers requests that could not be read.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	code := refuser.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		code = refuser.TooLarge
	}
	s.refuse(ctx, "", refuser.New(code, judge.NotRun, "the request could not be read: %s", strings.TrimSpace(err.Error())))
}

type wireRefusal struct {
	Error wireReason `json:"error"`
}

type wireReason struct {
	Code    refuser.Code  `json:"code"`
	Reason  string        `json:"message"`
	Verdict judge.Verdict `json:"verdict"`
	Request string        `json:"request,omitempty"`
	RetryAt time.Time     `json:"retry_at,omitzero"`
}

func encode(refusal *refuser.Refusal, id string) []byte {
	encoded, err := json.Marshal(wireRefusal{Error: wireReason{
		Code: refusal.Code, Reason: refusal.Reason, Verdict: refusal.Ran, Request: id, RetryAt: refusal.RetryAt,
	}})
	if err != nil {
		panic(err) // every field has a JSON form
	}
	return encoded
}
