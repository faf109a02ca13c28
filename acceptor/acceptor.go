// Package acceptor accepts callers' connections, reads their requests and
// detects callers that disconnect during a request.
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

	"wisteriadrum/allotter"
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
	readBufferBytes = 4096
	// bodyTimeout limits the time to read a request body.
	bodyTimeout = 10 * time.Second
	// memoryTimeout limits the wait for memory for a request body.
	memoryTimeout = 500 * time.Millisecond
	// memoryRetryDelay is the delay after which a caller may retry whose request found no
	// memory.
	memoryRetryDelay = time.Second
)

// defaultLimits apply until the first configuration is received.
var defaultLimits = router.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000}

// Acceptor accepts and serves callers' connections.
type Acceptor struct {
	translator translator.Translator
	registrar  *registrar.Registrar
	relayer    *relayer.Relayer
	// bodies bounds the memory of the request bodies.
	bodies *allotter.Allotter
	count  *counter.Counter
	log    *zap.Logger
	now    func() time.Time

	draining atomic.Bool // connections are closed after their next answer
	stopped  atomic.Bool // new requests are not read any more
	mu       sync.Mutex
	sessions map[*session]struct{}
}

// New returns an acceptor that passes the requests it accepts to relay. bodies bounds the
// memory of their bodies.
func New(translate translator.Translator, state *registrar.Registrar, relay *relayer.Relayer, bodies *allotter.Allotter, count *counter.Counter, log *zap.Logger, now func() time.Time) *Acceptor {
	return &Acceptor{translator: translate, registrar: state, relayer: relay, bodies: bodies, count: count, log: log, now: now, sessions: map[*session]struct{}{}}
}

// Serve accepts connections until listener is closed, which is not an error.
func (a *Acceptor) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			a.log.Warn("accepting a connection failed", zap.String("error", err.Error()))
			time.Sleep(acceptRetryDelay)
			continue
		}
		s := &session{Acceptor: a, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
		a.mu.Lock()
		a.sessions[s] = struct{}{}
		a.mu.Unlock()
		go s.run()
	}
}

// acceptRetryDelay is the delay after a failed accept, which can be due to a
// lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// DisableKeepAlive makes each connection close after its next answer.
func (a *Acceptor) DisableKeepAlive() { a.draining.Store(true) }

// CloseIdle closes the connections without a request in progress, stops the
// others from reading another request, and returns how many others there are.
func (a *Acceptor) CloseIdle() int {
	a.stopped.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := 0
	for s := range a.sessions {
		if !s.state.CompareAndSwap(idle, closed) {
			remaining++
			continue
		}
		_ = s.conn.Close()
	}
	return remaining
}

// Busy returns the number of connections with a request in progress.
func (a *Acceptor) Busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for s := range a.sessions {
		if s.state.Load() == busy {
			count++
		}
	}
	return count
}

// limits returns the limits of the configuration in force.
func (a *Acceptor) limits() router.Limits {
	if table := a.registrar.Table(); table != nil {
		return table.Limits
	}
	return defaultLimits
}

// States of a connection. A connection that was closed while idle must not serve
// a request that arrived in the meantime, since its answer would be lost.
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
		delete(s.sessions, s)
		s.mu.Unlock()
	}()
	for {
		if s.conn.SetReadDeadline(s.limits().IdleDeadline(s.now())) != nil {
			return
		}
		if _, err := s.reader.Peek(1); err != nil {
			return
		}
		if !s.state.CompareAndSwap(idle, busy) || s.stopped.Load() || !s.serveOne() {
			return
		}
		s.state.CompareAndSwap(busy, idle)
	}
}

// serveOne serves one request and reports whether another may follow.
func (s *session) serveOne() bool {
	limits := s.limits()
	if s.conn.SetReadDeadline(limits.HeaderDeadline(s.now())) != nil {
		return false
	}
	head, err := framer.ReadRequest(s.reader, limits.HeaderBytes)
	if err != nil {
		return s.refuseUnreadable(nil, err)
	}
	memory := s.bodies.Open(context.Background(), s.now().Add(memoryTimeout), func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer memory.Close()
	body, err := s.readBody(head, limits, memory)
	if err != nil {
		return s.refuseUnreadable(head, err)
	}
	receivedAt := s.now()
	request, err := s.translator.DecodeRequest(head, receivedAt)
	if err != nil {
		return s.refuse(head, "", err)
	}
	request.Body = body
	if refusal := relayer.Resolve(request, s.registrar.Table()); refusal != nil {
		return s.refuse(head, request.ID, refusal)
	}
	return s.relay(request)
}

// readBody reads the body of a request, after sending 100 Continue if the
// caller expects it.
func (s *session) readBody(head *framer.Head, limits router.Limits, memory *allotter.Share) ([]byte, error) {
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
	body, err := head.ReadBody(s.reader, int64(limits.BodyBytes), memory)
	if err == nil {
		err = memory.Settle()
	}
	if memory.Evicted() {
		return nil, allotter.ErrFull
	}
	return body, err
}

// relay relays the request and cancels it if the caller disconnects. It reports
// whether another request may follow.
func (s *session) relay(request *requester.Request) bool {
	if s.conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	peeked := make(chan error, 1)
	go func() {
		_, err := s.reader.Peek(1)
		if err != nil {
			cancel()
		}
		peeked <- err
	}()
	answer := responder.New(s.conn, request.Head, s.now, s.draining.Load())
	refusal := s.relayer.Run(ctx, request, answer)
	if refusal != nil && refusal.Code != refuser.CallerGone && !answer.Begun() {
		s.writeRefusal(answer, request.ID, refusal)
	}
	cancel()
	if !answer.Reusable() || s.draining.Load() {
		return s.closeConn(answer, peeked)
	}
	s.state.Store(idle)
	if s.conn.SetReadDeadline(s.limits().IdleDeadline(s.now())) != nil {
		return false
	}
	return <-peeked == nil
}

// closeConn closes the connection after its last answer. If that answer is
// incomplete, the connection is reset, so that the caller does not take the
// answer for a complete one.
func (s *session) closeConn(answer *responder.Responder, peeked chan error) bool {
	if tcp, ok := s.conn.(*net.TCPConn); ok && answer.Complete() {
		s.linger(tcp, peeked)
	} else if ok && answer.Begun() {
		_ = tcp.SetLinger(0)
	}
	_ = s.conn.Close()
	<-peeked
	return false
}

// lingerTimeout limits the wait for a caller to close its side after the last
// answer.
const lingerTimeout = 300 * time.Millisecond

// linger shuts down the sending side and waits for the caller to close its
// side, since closing a connection with unread bytes resets it, which could
// discard the answer.
func (s *session) linger(tcp *net.TCPConn, peeked chan error) {
	if tcp.CloseWrite() != nil || s.conn.SetReadDeadline(s.now().Add(lingerTimeout)) != nil {
		return
	}
	err := <-peeked
	peeked <- err
}

// refuseUnreadable answers a request that could not be read.
func (s *session) refuseUnreadable(head *framer.Head, err error) bool {
	code := refuser.BadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, framer.ErrTooLarge):
		code = refuser.TooLarge
	case errors.Is(err, allotter.ErrFull), errors.Is(err, allotter.ErrTimeout):
		code = refuser.Overloaded
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
	refusal := refuser.New(code, judge.NotRun, "the request could not be read: %s", err)
	if code == refuser.Overloaded {
		refusal = refusal.WithRetryAt(s.now().Add(memoryRetryDelay))
	}
	s.writeRefusal(answer, "", refusal)
	return false
}

// refuse answers a request that is not sent to any endpoint and reports whether
// another may follow.
func (s *session) refuse(head *framer.Head, id string, err error) bool {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = refuser.New(refuser.BadRequest, judge.NotRun, "%s", err)
	}
	s.count.Add("refusal", string(refusal.Code))
	s.log.Warn("request refused", zap.String("request", id), zap.String("outcome", string(refusal.Code)), zap.String("reason", refusal.Reason))
	answer := responder.New(s.conn, head, s.now, s.draining.Load())
	s.writeRefusal(answer, id, refusal)
	return answer.Reusable()
}

// writeRefusal writes a refusal as the answer.
func (s *session) writeRefusal(answer *responder.Responder, id string, refusal *refuser.Refusal) {
	status, fields := s.translator.EncodeRefusal(id, refusal, s.now())
	answer.WriteAnswer(status, fields, []byte(refusal.Reason+"\n"))
}
