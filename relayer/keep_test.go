package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/allotter"
	"wisteriadrum/budgeter"
	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/framer"
	"wisteriadrum/monitor"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/responder"
	"wisteriadrum/router"
	"wisteriadrum/translator"
	"wisteriadrum/versioner"
)

// plainTranslator is a protocol whose endpoints answer every request with its id.
type plainTranslator struct{ translator.Translator }

func (plainTranslator) EncodeRequest(buffer []byte, request *requester.Request, _ translator.SendOptions, _ time.Time) []byte {
	return fmt.Appendf(buffer, "POST / HTTP/1.1\r\nId: %s\r\n\r\n", request.ID)
}

func (plainTranslator) DecodeAnswer(head *framer.Head) translator.Answer {
	return translator.Answer{RequestID: head.Get("Id"), Sealed: true}
}

// keptConn is a connection whose release for other requests takes a while. It counts the
// deadlines that are set afterwards.
type keptConn struct {
	net.Conn
	released atomic.Bool
	late     atomic.Int32
}

func (c *keptConn) SetDeadline(deadline time.Time) error {
	if c.released.Load() {
		c.late.Add(1)
	}
	if deadline.IsZero() {
		c.released.Store(true)
		time.Sleep(time.Second)
	}
	return c.Conn.SetDeadline(deadline)
}

// Guards against an attempt that is given up when it has ended, so that another request on
// its connection fails after it was sent.
func TestKeptConnectionIsNotInterrupted(t *testing.T) {
	for name, route := range map[string]router.Route{
		"silent":   {Repeat: router.Repeatable, TargetMillis: 100, Attempts: 2},
		"outdated": {Stream: true, Attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assert.Equal(t, interruptions(t, route), int32(0)) })
		})
	}
}

// interruptions returns how often a connection was interrupted after its release. The weights
// of the endpoint go out of use then, and its silence becomes too long.
func interruptions(t *testing.T, route router.Route) int32 {
	begun := time.Now()
	state := registrar.New(time.Now)
	state.PutTable(router.New(1, nil, []router.Pool{{Name: "p"}}, nil, nil, router.Limits{}))
	state.PutEndpoints([]monitor.Entry{{Name: "a", Address: "a", Pool: "p", Incarnation: 1, Weights: map[string]int{"m": 1}}}, nil, begun, begun)
	state.AddVersion("m", versioner.Version{Number: 1, OlderUntil: begun})
	state.AddVersion("m", versioner.Version{Number: 2, OlderUntil: begun.Add(600 * time.Millisecond)})
	own, other := net.Pipe()
	conn := &keptConn{Conn: own}
	go func() {
		head, err := framer.ReadRequest(bufio.NewReader(other), 1<<10)
		if err == nil {
			_, _ = fmt.Fprintf(other, "HTTP/1.1 400 X\r\nId: %s\r\nContent-Length: 0\r\n\r\n", head.Get("Id"))
		}
	}()
	r := relayer.New(relayer.Dependencies{
		Translator: plainTranslator{}, Registrar: state, Pool: pooler.New(func(string) (net.Conn, error) { return conn, nil }, time.Now),
		Received: allotter.New(0), Quarantine: quarantiner.New(), Detector: detector.New(), RetryRule: budgeter.Rule{ExtraRetries: 9, WindowMillis: 1000},
		WeightsPeriod: 700 * time.Millisecond, FollowedSince: func() (time.Time, bool) { return begun.Add(-time.Hour), true },
		Count: counter.New(metrics.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		r.WatchSilent(ctx)
		close(watched)
	}()
	caller, answers := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, answers) }()
	request := &requester.Request{ID: "r", Head: &framer.Head{Method: "POST"}, Route: route, Pool: router.Pool{Name: "p"}, Model: "m", ConfigVersion: 1, ReceivedAt: begun, Deadline: begun.Add(time.Minute)}
	assert.Assert(t, r.Run(ctx, request, responder.New(caller, request.Head, time.Now, false)) == nil)
	cancel()
	<-watched
	_, _ = caller.Close(), other.Close()
	return conn.late.Load()
}
