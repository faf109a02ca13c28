package acceptor_test

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/acceptor"
	"wisteriadrum/budgeter"
	"wisteriadrum/counter"
	"wisteriadrum/framer"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refuser"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/translator"
)

// mute counts the requests that were read and refuses them.
type mute struct{ decoded *atomic.Int64 }

func (m mute) DecodeRequest(head *framer.Head, at time.Time) (*requester.Request, error) {
	m.decoded.Add(1)
	return &requester.Request{Head: head, ID: "a", ReceivedAt: at, Deadline: at.Add(time.Second)}, nil
}

func (mute) EncodeRequest(buffer []byte, _ *requester.Request, _ translator.SendOptions, _ time.Time) []byte {
	return buffer
}
func (mute) DecodeAnswer(*framer.Head) translator.Answer { return translator.Answer{} }
func (mute) EncodeRefusal(string, *refuser.Refusal, time.Time) (int, []framer.Field) {
	return 503, nil
}

// A connection that is closed for being idle has read no request: either the
// request is answered, or it was not taken.
func TestIdleCloseCutsNoRequest(t *testing.T) {
	count := counter.New(metrics.NewRegistry())
	beliefs := registrar.New()
	var decoded atomic.Int64
	speak := mute{decoded: &decoded}
	relay := relayer.New(relayer.Dependencies{
		Translator: speak, Registrar: beliefs, Pool: pooler.New(nil, time.Now), Quarantine: quarantiner.New(), RetryRule: budgeter.Default(),
		Count: count, Log: zap.NewNop(), Now: time.Now,
	})
	answered := int64(0)
	for range 1500 {
		accept := acceptor.New(speak, beliefs, relay, count, zap.NewNop(), time.Now)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = accept.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		for range 2 {
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			if err == nil {
				_, err = framer.ReadResponse(reader, 4096, "HEAD")
			}
			if err != nil {
				break
			}
			answered++
			_, _ = reader.Discard(reader.Buffered())
			go accept.CloseIdle()
		}
		_ = conn.Close()
		_ = listener.Close()
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, decoded.Load(), answered)
}

// lateConn is a caller whose request arrives in the very moment in which its
// idle connection is closed.
type lateConn struct {
	net.Conn
	idle, request, closed chan struct{}
	once                  sync.Once
	reads                 atomic.Int64
}

func (c *lateConn) Read(data []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.closed
		return 0, net.ErrClosed
	}
	close(c.idle)
	<-c.request
	return copy(data, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil
}

func (c *lateConn) Close() error {
	c.once.Do(func() {
		close(c.request)
		time.Sleep(20 * time.Millisecond) // for the session to take the request, if it would
		close(c.closed)
	})
	return nil
}

func (c *lateConn) SetReadDeadline(time.Time) error  { return nil }
func (c *lateConn) SetWriteDeadline(time.Time) error { return nil }
func (c *lateConn) SetDeadline(time.Time) error      { return nil }
func (c *lateConn) Write(data []byte) (int, error)   { return len(data), nil }

// one is a listener that accepts one connection.
type one struct {
	net.Listener
	conns chan net.Conn
}

func (o one) Accept() (net.Conn, error) {
	conn, ok := <-o.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// A request that arrives while its idle connection is being closed is not
// taken.
func TestIdleCloseCrossesRequest(t *testing.T) {
	count, beliefs := counter.New(metrics.NewRegistry()), registrar.New()
	var decoded atomic.Int64
	speak := mute{decoded: &decoded}
	relay := relayer.New(relayer.Dependencies{
		Translator: speak, Registrar: beliefs, Pool: pooler.New(nil, time.Now), Quarantine: quarantiner.New(), RetryRule: budgeter.Default(),
		Count: count, Log: zap.NewNop(), Now: time.Now,
	})
	accept := acceptor.New(speak, beliefs, relay, count, zap.NewNop(), time.Now)
	conn := &lateConn{idle: make(chan struct{}), request: make(chan struct{}), closed: make(chan struct{})}
	listener := one{conns: make(chan net.Conn, 1)}
	listener.conns <- conn
	go func() { _ = accept.Serve(listener) }()
	<-conn.idle
	assert.Equal(t, accept.CloseIdle(), 0)
	<-conn.closed
	assert.Equal(t, decoded.Load(), int64(0))
	close(listener.conns)
}
