// Package acceptor takes callers' connections, reads their requests and keeps
// watch whether the callers stay.
package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/responder"
	"wisteriadrum/router"
	"wisteriadrum/translator"
)

const (
	readerBytes = 4096
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
)

// defaults hold before the first configuration is known.
var defaults = router.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000}

// Acceptor serves callers.
type Acceptor struct {
	speaker translator.Translator
	beliefs *registrar.Registrar
	relayer *relayer.Relayer
	count   *counter.Counter
	log     *zap.Logger
	now     func() time.Time

	leaving atomic.Bool // connections end with their next answer
	ending  atomic.Bool // no request is taken any more
	mu      sync.Mutex
	conns   map[*session]struct{}
}

// New returns an acceptor that has its requests relayed by relay.
func New(speak translator.Translator, beliefs *registrar.Registrar, relay *relayer.Relayer, count *counter.Counter, log *zap.Logger, now func() time.Time) *Acceptor {
	return &Acceptor{speaker: speak, beliefs: beliefs, relayer: relay, count: count, log: log, now: now, conns: map[*session]struct{}{}}
}

// Serve takes connections until listener is closed.
func (a *Acceptor) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			a.log.Warn("connection not accepted", zap.String("error", err.Error()))
			time.Sleep(acceptPause)
			continue
		}
		s := &session{Acceptor: a, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes)}
		a.mu.Lock()
		a.conns[s] = struct{}{}
		a.mu.Unlock()
		go s.run()
	}
}

// acceptPause is the wait after a failed accept, such as for want of descriptors.
const acceptPause = 20 * time.Millisecond

// DisableKeepAlive makes each connection end with its next answer.
func (a *Acceptor) DisableKeepAlive() { a.leaving.Store(true) }

// CloseIdle closes the connections on which no request is under way, takes no
// new request on the others, and returns how many those are.
func (a *Acceptor) CloseIdle() int {
	a.ending.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	left := 0
	for s := range a.conns {
		if !s.state.CompareAndSwap(idle, closed) {
			left++
			continue
		}
		_ = s.conn.Close()
	}
	return left
}

// Busy returns the number of connections with a request under way.
func (a *Acceptor) Busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for s := range a.conns {
		if s.state.Load() == busy {
			count++
		}
	}
	return count
}

func (a *Acceptor) limits() router.Limits {
	if table := a.beliefs.Table(); table != nil {
		return table.Limits
	}
	return defaults
}

// States of a connection. One that is closed for being idle serves no request
// that has come meanwhile, since its answer would be lost.
const (
	idle int32 = iota
	busy
	closed
)

// session is one connection of a caller.
type session struct {
	*Acceptor
	conn   net.Conn
	reader *bufio.Reader
	state  atomic.Int32
}

func (s *session) run() {
	defer func() {
		_ = s.conn.Close()
		s.mu.Lock()
		delete(s.conns, s)
		s.mu.Unlock()
	}()
	for {
		if s.conn.SetReadDeadline(s.limits().IdleDeadline(s.now())) != nil {
			return
		}
		if _, err := s.reader.Peek(1); err != nil {
			return
		}
		if !s.state.CompareAndSwap(idle, busy) || s.ending.Load() || !s.one() {
			return
		}
		s.state.CompareAndSwap(busy, idle)
	}
}

// one serves one request and reports whether another may follow.
func (s *session) one() bool {
	limits := s.limits()
	if s.conn.SetReadDeadline(limits.HeaderDeadline(s.now())) != nil {
		return false
	}
	head, err := framer.ReadRequest(s.reader, limits.HeaderBytes)
	if err != nil {
		return s.malformed(nil, err)
	}
	body, err := s.body(head, limits)
	if err != nil {
		return s.malformed(head, err)
	}
	at := s.now()
	request, err := s.speaker.DecodeRequest(head, at)
	if err != nil {
		return s.refuse(head, "", err)
	}
	request.Body = body
	if refusal := relayer.Resolve(request, s.beliefs.Table()); refusal != nil {
		return s.refuse(head, request.ID, refusal)
	}
	return s.relay(request)
}

// body reads the body of a request, after telling a caller that waits for it
// to go on.
func (s *session) body(head *framer.Head, limits router.Limits) ([]byte, error) {
	if head.Length == 0 {
		return nil, nil
	}
	if head.Length > int64(limits.BodyBytes) {
		return nil, framer.ErrTooLarge
	}
	if err := s.conn.SetReadDeadline(s.now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	if head.Get("Expect") != "" && !head.HTTP10 && s.reader.Buffered() == 0 {
		if _, err := s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	return head.ReadBody(s.reader, int64(limits.BodyBytes))
}

// relay has the request answered while it watches the connection. It reports
// whether another request may follow.
func (s *session) relay(request *requester.Request) bool {
	if s.conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan error, 1)
	go func() {
		_, err := s.reader.Peek(1)
		if err != nil {
			cancel()
		}
		watched <- err
	}()
	answer := responder.New(s.conn, request.Head, s.now, s.leaving.Load())
	refusal := s.relayer.Run(ctx, request, answer)
	if refusal != nil && refusal.Code != refuser.CallerGone && !answer.Begun() {
		s.write(answer, request.ID, refusal)
	}
	cancel()
	if !answer.Reusable() || s.leaving.Load() {
		return s.end(answer, watched)
	}
	s.state.Store(idle)
	if s.conn.SetReadDeadline(s.limits().IdleDeadline(s.now())) != nil {
		return false
	}
	return <-watched == nil
}

// end closes the connection after its last answer. One that broke off is
// reset, so that it does not look complete.
func (s *session) end(answer *responder.Responder, watched chan error) bool {
	if tcp, ok := s.conn.(*net.TCPConn); ok && answer.Complete() {
		s.linger(tcp, watched)
	} else if ok && answer.Begun() {
		_ = tcp.SetLinger(0)
	}
	_ = s.conn.Close()
	<-watched
	return false
}

// lingerTimeout bounds the wait for a caller to close after its last answer.
const lingerTimeout = 300 * time.Millisecond

// linger ends the connection in the caller's direction and waits for the
// caller to close, since closing with unread bytes would lose the answer.
func (s *session) linger(tcp *net.TCPConn, watched chan error) {
	if tcp.CloseWrite() != nil || s.conn.SetReadDeadline(s.now().Add(lingerTimeout)) != nil {
		return
	}
	err := <-watched
	watched <- err
}

// malformed answers a request that could not be read.
func (s *session) malformed(head *framer.Head, err error) bool {
	code := refuser.BadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, framer.ErrTooLarge):
		code = refuser.TooLarge
	case errors.Is(err, framer.ErrMalformed), errors.Is(err, framer.ErrTransferCoding):
	case errors.As(err, &timeout) && timeout.Timeout():
		code = refuser.SlowRequest
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return false
	default:
		return false
	}
	s.count.Add("refusal", string(code))
	answer := responder.New(s.conn, head, s.now, true)
	s.write(answer, "", refuser.New(code, judge.NotRun, "the request could not be read: %s", err))
	return false
}

// refuse answers a request that goes to no endpoint and reports whether
// another may follow.
func (s *session) refuse(head *framer.Head, id string, err error) bool {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = refuser.New(refuser.BadRequest, judge.NotRun, "%s", err)
	}
	s.count.Add("refusal", string(refusal.Code))
	s.log.Warn("request refused", zap.String("request", id), zap.String("outcome", string(refusal.Code)), zap.String("reason", refusal.Reason))
	answer := responder.New(s.conn, head, s.now, s.leaving.Load())
	s.write(answer, id, refusal)
	return answer.Reusable()
}

func (s *session) write(answer *responder.Responder, id string, refusal *refuser.Refusal) {
	status, fields := s.speaker.EncodeRefusal(id, refusal, s.now())
	answer.WriteAnswer(status, fields, []byte(refusal.Reason+"\n"), true)
}
