// Package booker emulates a plain service whose requests must not run twice. It
// counts the runs of each request.
package booker

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriadrum/dialer"
	"wisteriadrum/judge"
	"wisteriadrum/muter"
	"wisteriadrum/severer"
)

// Faults are the injected faults of a service.
type Faults struct {
	// LoseAnswers runs the given number of requests and closes their connections
	// without an answer.
	LoseAnswers int `json:"lose"`
	// Refuse refuses the given number of requests without running them.
	Refuse int `json:"refuse"`
	// DelayMillis delays every run.
	DelayMillis int `json:"hold"`
	// TruncateAnswers runs the given number of requests and truncates their answers.
	TruncateAnswers int `json:"cut"`
	// PadBytes is the number of spaces appended to every answer.
	PadBytes int `json:"pad"`
}

// Service runs each request that it receives and answers with the number of runs.
type Service struct {
	http *fasthttp.Server

	mu        sync.Mutex
	faults    Faults
	runs      map[string]int
	totalRuns int
}

// New returns a service without runs.
func New() *Service {
	s := &Service{runs: map[string]int{}}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: muter.New()}
	return s
}

// Serve answers requests on listener until it is closed.
func (s *Service) Serve(listener net.Listener) error { return s.http.Serve(severer.New(listener)) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the number of runs by request body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, count := range s.runs {
		runs[body] = count
	}
	return runs
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/fault":
		var faults Faults
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	case "/runs":
		_ = json.NewEncoder(ctx).Encode(s.Runs()) // can't fail: writes to memory
	default:
		s.run(ctx)
	}
}

func (s *Service) run(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(dialer.HeaderAttemptID, string(ctx.Request.Header.Peek(dialer.HeaderAttemptID)))
	s.mu.Lock()
	faults := s.faults
	s.faults.Refuse = max(faults.Refuse-1, 0)
	s.mu.Unlock()
	if faults.Refuse > 0 || deadlinePassed(ctx) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(dialer.HeaderVerdict, judge.NotRun.String())
		ctx.Response.Header.Set(dialer.HeaderReason, "busy")
		return
	}
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	answer := s.book(string(ctx.PostBody())) + strings.Repeat(" ", faults.PadBytes)
	s.mu.Lock()
	s.faults.LoseAnswers = max(s.faults.LoseAnswers-1, 0)
	s.faults.TruncateAnswers = max(s.faults.TruncateAnswers-1, 0)
	s.mu.Unlock()
	ctx.SetContentType("application/json")
	ctx.SetBodyString(answer)
	if faults.LoseAnswers > 0 {
		_ = ctx.Conn().Close()
	}
	if faults.TruncateAnswers > 0 {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer[:len(answer)/2])
		})
	}
}

// book runs a request and returns its answer.
func (s *Service) book(body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	s.totalRuns++
	return fmt.Sprintf(`{"booking":%d,"run":%d}`, s.totalRuns, s.runs[body])
}

func deadlinePassed(ctx *fasthttp.RequestCtx) bool {
	deadline, err := time.Parse(time.RFC3339Nano, string(ctx.Request.Header.Peek(dialer.HeaderStartBy)))
	return err == nil && time.Now().After(deadline)
}
