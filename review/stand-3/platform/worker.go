package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rowLife is how long the store keeps the row of a silent worker: three ping intervals.
const rowLife = 3600 * time.Millisecond

// Seal is what a worker puts on its answers.
const Seal = "3e1b.07.5a2.600.0.c9f2a4d1"

// Call is a request that a worker runs.
type Call struct {
	*http.Request
	Worker *Worker
	Conn   net.Conn
	ID     string
	Parts  []string
}

// Worker is a server of a service.
type Worker struct {
	ID, Address, Service string
	Born                 int64
	// Run answers a request. It reports whether the channel may be used again.
	Run      func(call *Call) bool
	rig      *Rig
	engine   bool
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	arrived  atomic.Int64
}

var boots atomic.Int64

// StartWorker starts a worker at a free address and registers it.
func (r *Rig) StartWorker(service string, engine bool, run func(call *Call) bool) (*Worker, error) {
	return r.startWorker(service, "127.0.0.1:0", engine, run)
}

func (r *Rig) startWorker(service, address string, engine bool, run func(call *Call) bool) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: fmt.Sprintf("i-%04x", boots.Add(1)), Address: listener.Addr().String(), Service: service, Born: time.Now().UnixMilli(), Run: run, rig: r, engine: engine, listener: listener, conns: map[net.Conn]struct{}{}}
	go w.accept()
	return w, w.Register("ready")
}

// Register writes the row of the worker.
func (w *Worker) Register(state string) error {
	row := map[string]any{"service": w.Service, "address": w.Address, "zone": "za", "version": 1, "slots": 64, "state": state, "coldRemainingMs": 0, "seq": 1, "born": w.Born}
	if w.engine {
		row["stage"], row["models"] = "prefill_decode", []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
	}
	return w.rig.Store.Put("servers", w.ID, row)
}

// Crash ends the worker as the end of its process does: its channels are closed and nothing
// listens at its address. It starts again at the same address after a time, as a new boot.
func (w *Worker) Crash(back time.Duration) {
	w.end()
	time.AfterFunc(rowLife, func() { w.rig.Store.Remove("servers", w.ID) })
	time.AfterFunc(back, func() {
		next, err := w.rig.startWorker(w.Service, w.Address, w.engine, w.Run)
		if err != nil {
			w.rig.Logf("worker at %s did not start again: %s", w.Address, err)
			return
		}
		w.rig.Logf("worker %s starts at %s", next.ID, next.Address)
	})
}

// Leave takes the worker away as planned: it reports that it drains, serves on for DrainMs and
// a little longer, closes its channels and ends.
func (w *Worker) Leave() {
	if err := w.Register("draining"); err != nil {
		w.rig.Logf("worker %s could not report that it drains: %s", w.ID, err)
	}
	time.AfterFunc((DrainMs+300)*time.Millisecond, func() {
		w.rig.Store.Remove("servers", w.ID)
		w.end()
	})
}

func (w *Worker) end() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !w.rig.KeepBodies {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if !w.answer(conn, request) {
			return
		}
	}
}

func (w *Worker) answer(conn net.Conn, request *http.Request) bool {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		return send(conn, "421 Misdirected Request", "X-Instance-Id: "+w.ID, "X-Not-Executed: 1")
	}
	switch request.Method + " " + request.URL.Path {
	case "GET /report":
		return w.report(conn)
	case "POST /order":
		return send(conn, "200 OK")
	}
	call := &Call{Request: request, Worker: w, Conn: conn, ID: request.Header.Get("X-Attempt-Id")}
	for part := range strings.SplitSeq(request.Header.Get("X-Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(part, ":")
		call.Parts = append(call.Parts, id)
	}
	if call.ID == "" {
		return send(conn, "400 Bad Request", "X-Not-Executed: 1")
	}
	if expected := request.Header.Get("X-Expect-Version"); expected != "" && expected != "1" {
		return send(conn, "421 Misdirected Request", "X-Attempt-Id: "+call.ID, "X-Not-Executed: 1")
	}
	w.arrived.Add(1)
	return w.Run(call)
}

func (w *Worker) report(conn net.Conn) bool {
	body, err := json.Marshal(map[string]any{"stage": "prefill_decode", "models": []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 146957, "handles": 0, "born": w.Born, "state": "ready", "runs": []any{}})
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// send writes an answer without a body.
func send(conn net.Conn, status string, fields ...string) bool {
	text := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n"
	for _, field := range fields {
		text += field + "\r\n"
	}
	_, err := io.WriteString(conn, text+"\r\n")
	return err == nil
}

// Answer writes a whole answer that bears the worker's seal.
func (c *Call) Answer(status string, body []byte) bool {
	_, err := c.Conn.Write(append([]byte("HTTP/1.1 "+status+"\r\nX-Attempt-Id: "+c.ID+"\r\nX-Server-Seal: "+Seal+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...))
	return err == nil
}

// BeginStream writes the head of a stream of events.
func (c *Call) BeginStream() error {
	_, err := io.WriteString(c.Conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+c.ID+"\r\nX-Server-Seal: "+Seal+"\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	return err
}

// Event writes an event.
func (c *Call) Event(number int) error {
	event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", number, number)
	_, err := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(event), event)
	return err
}

// EndStream ends a stream.
func (c *Call) EndStream() bool {
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	return err == nil
}

// Stream writes a whole stream of so many events.
func (c *Call) Stream(events int, pause time.Duration) bool {
	if c.BeginStream() != nil {
		return false
	}
	for number := 1; number <= events; number++ {
		if c.Event(number) != nil {
			return false
		}
		time.Sleep(pause)
	}
	return c.EndStream()
}
