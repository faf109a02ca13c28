package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatTime = 1200 * time.Millisecond
	// loadTime is how long a worker loads new weights.
	loadTime = 1100 * time.Millisecond
	// drainTime is drainMs, and drainRest how much longer a worker that leaves serves.
	drainTime = 2000 * time.Millisecond
	drainRest = 500 * time.Millisecond
	// silentTime is how long a worker that leaves without a report is still listed.
	silentTime = time.Second
	// linkBytes is the rate of a worker's link in bytes a second.
	linkBytes = 1000e6 / 8
	model     = "m0"
	service   = "llm"
	plain     = "app"
)

// order is an order that a worker has received.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Strategy string `json:"strategy"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Expected *int   `json:"expected"`
	at       time.Time
}

// worker is a stand-in of a worker.
type worker struct {
	scene             *scene
	name, service     string
	address           string
	work, first, rest time.Duration
	slots             int
	born              int64
	// sick means that the worker answers every call with bytes that are no answer and do
	// not end, until the caller closes.
	sick atomic.Bool
	// sickHead is the beginning of such an answer; %s is the id of the request.
	sickHead string
	link     link

	server  *http.Server
	mu      sync.Mutex
	leaving bool
	left    bool
	seq     int
	version int
	fence   uint64
	orders  []order
	// beats counts what the worker has written to the store.
	beats       int
	loading     bool
	loadVersion int
}

// newWorker starts a worker of a service and lists it in the store.
func (s *scene) newWorker(name, serviceName string, work, first, rest time.Duration) (*worker, error) {
	listener, err := s.listen()
	if err != nil {
		return nil, err
	}
	w := &worker{
		scene: s, name: name, service: serviceName, address: listener.Addr().String(), work: work, first: first, rest: rest,
		slots: 128, born: time.Now().UnixMilli(), version: 1,
		sickHead: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), IdleTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	go func() {
		for w.beat() {
			time.Sleep(beatTime)
		}
	}()
	return w, nil
}

// leave drains the worker and ends it.
func (w *worker) leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.beat()
	w.scene.note("drain", "%s", w.name)
	time.Sleep(drainTime + drainRest)
	w.unlist()
	w.close()
}

// leaveSilently lets the worker say in its answers that it leaves, and removes its row.
func (w *worker) leaveSilently() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.scene.note("drain", "%s leaves without a report", w.name)
	time.Sleep(silentTime)
	w.unlist()
}

// unlist removes the worker's row for good.
func (w *worker) unlist() {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	w.scene.store.remove("servers", w.name)
}

// close ends the worker.
func (w *worker) close() {
	_ = w.server.Close()
	w.scene.note("left", "%s", w.name)
}

// beat writes the worker's row unless it has left, and reports whether it has not.
func (w *worker) beat() bool {
	w.mu.Lock()
	if w.left {
		w.mu.Unlock()
		return false
	}
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	w.beats++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "z-a", "version": "1", "slots": w.slots, "state": state, "coldRemainingMs": 0, "seq": w.beats, "born": w.born,
	}
	if w.service == service {
		entry["models"] = []map[string]any{{"name": model, "version": w.version, "adapters": []string{}}}
	}
	w.mu.Unlock()
	w.scene.store.put("servers", w.name, entry)
	return true
}

func (w *worker) handle(out http.ResponseWriter, in *http.Request) {
	if w.sick.Load() {
		w.answerEndlessly(out, in)
		return
	}
	out.Header().Set("X-Instance-Id", w.name)
	w.sayLeaving(out)
	if id := in.Header.Get("X-Attempt-Id"); id != "" {
		out.Header().Set("X-Attempt-Id", id)
	}
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != w.name {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/report":
		w.report(out)
	case "/order":
		w.order(out, in)
	default:
		w.run(out, in)
	}
}

// sayLeaving adds to an answer that the worker leaves if it does.
func (w *worker) sayLeaving(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		out.Header().Set("Server-Leaving", "1")
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scene.note("report", "%s version=%d busy=%t seq=%d", w.name, w.version, w.loading, w.seq)
	writeJSON(out, http.StatusOK, map[string]any{
		"stage": "prefill_decode", "models": []map[string]any{{"name": model, "version": w.version, "adapters": []string{}}},
		"busy": w.loading, "seq": w.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 186812, "handles": 0,
	})
}

func (w *worker) order(out http.ResponseWriter, in *http.Request) {
	var o order
	err := json.NewDecoder(in.Body).Decode(&o)
	o.at = time.Now()
	status := http.StatusAccepted
	w.mu.Lock()
	switch {
	case err != nil || o.Op != "version" || o.Model != model || o.Holder == "" || o.Fence == 0:
		status = http.StatusBadRequest
	case o.Fence < w.fence:
		status = http.StatusPreconditionFailed
	case w.loading || o.Expected != nil && *o.Expected != w.seq:
		status = http.StatusConflict
	case o.Version == w.version:
		status = http.StatusOK
	default:
		w.seq++
		w.loading, w.loadVersion = true, o.Version
		time.AfterFunc(loadTime, w.loaded)
	}
	if status < 300 {
		w.fence = o.Fence
	}
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.scene.note("order", "%s at %s: holder=%s fence=%d version=%d -> %d", in.Method, w.name, o.Holder, o.Fence, o.Version, status)
	out.WriteHeader(status)
}

// loaded ends the loading of weights.
func (w *worker) loaded() {
	w.mu.Lock()
	w.version, w.loading = w.loadVersion, false
	w.mu.Unlock()
	w.beat()
}

// received returns the orders that the worker has received.
func (w *worker) received() []order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]order(nil), w.orders...)
}

// run runs a request: a stream if it has a model.
func (w *worker) run(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	busy, version := w.loading, w.version
	w.mu.Unlock()
	if id == "" || busy {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if text := in.Header.Get("X-Expect-Version"); text != "" && text != strconv.Itoa(version) {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	complete := w.scene.recordRun(id, ran{worker: w.name, at: time.Now(), key: in.Header.Get("Authorization"), tenant: in.Header.Get("X-Tenant")})
	out.Header().Set("X-Server-Seal", "seal."+id)
	if in.Header.Get("X-Model") == "" {
		time.Sleep(w.work)
		w.sayLeaving(out)
		body := "answer to " + id
		out.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = out.Write([]byte(body)) // the caller may have left
		complete()
		return
	}
	out.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	out.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(w.first)
	from, _ := strconv.Atoi(in.Header.Get("Last-Event-Id")) // 0 if it is missing
	const events = 5
	for event := from + 1; event <= events; event++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: token %d\n\n", event, event); err != nil || in.Context().Err() != nil {
			return
		}
		out.(http.Flusher).Flush()
		time.Sleep(w.rest / events)
	}
	complete()
}

// answerEndlessly sends bytes that are no answer until the caller closes.
func (w *worker) answerEndlessly(out http.ResponseWriter, in *http.Request) {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	w.scene.note("endless", "%s answers %s without an end", w.name, in.URL.Path)
	head := w.sickHead
	if strings.Contains(head, "%s") {
		head = fmt.Sprintf(head, in.Header.Get("X-Attempt-Id"))
	}
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	sent := w.sendEndlessly(conn)
	w.scene.note("endless", "%s sent %d bytes as the answer to %s", w.name, sent, in.URL.Path)
}

func (w *worker) sendEndlessly(conn net.Conn) (sent int) {
	block := []byte(strings.Repeat("x", 1<<16))
	for {
		w.link.wait(len(block))
		n, err := conn.Write(block)
		sent += n
		if err != nil {
			return sent
		}
	}
}

// link is a network link with a rate of linkBytes.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// wait waits until so many bytes can be sent.
func (l *link) wait(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	until := l.free
	l.free = l.free.Add(time.Duration(float64(bytes) / linkBytes * float64(time.Second)))
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
