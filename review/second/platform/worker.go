package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// run is what a worker saw of one request.
type run struct {
	worker, tenant, salt string
	begunAt, endedAt     time.Time
	// complete means that the worker wrote its whole answer.
	complete bool
	// reused are the parts of the prompt that were cached, and foreign those that a request
	// of another tenant had cached.
	reused, foreign []string
}

// worker stands in for a server of a service.
type worker struct {
	id, service, zone, address string
	// listed is the address in its row.
	listed string
	slots  int
	// model is the name of its model, "" for a plain service.
	model string
	// work is how long a request takes, and events is the number of events of a stream.
	work   time.Duration
	events int
	store  *store
	record *record
	server *http.Server
	born   int64

	mu       sync.Mutex
	version  int
	seq      int64
	orders   int
	state    string
	runs     map[string]*run
	order    []string
	inFlight int
	parts    map[string]string // the tenant whose request cached a part, by salt and part
}

func newWorker(id, service, address string, slots int, model string, work time.Duration, events int, st *store, rec *record) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: "z1", address: address, listed: address, slots: slots, model: model, work: work, events: events, store: st, record: rec,
		born: time.Now().UnixMilli(), version: 1, state: "ready", runs: map[string]*run{}, parts: map[string]string{},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	go w.beat()
	return w, nil
}

// register writes the worker's row.
func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	models := []any{}
	if w.model != "" {
		models = append(models, map[string]any{"name": w.model, "version": w.version, "adapters": []any{}})
	}
	row := map[string]any{
		"service": w.service, "address": w.listed, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "coldRemainingMs": 0,
		"stage": "prefill_decode", "models": models, "seq": w.seq, "born": w.born,
	}
	w.mu.Unlock()
	w.store.put("servers", w.id, row)
}

func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.register()
	}
}

// begin records that a request begins to run, or returns false if the worker is full.
func (w *worker) begin(id string, r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight >= 2*w.slots {
		return false
	}
	w.inFlight++
	tenant, salt := r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt")
	begun := &run{worker: w.id, tenant: tenant, salt: salt, begunAt: time.Now()}
	for _, part := range strings.Split(r.Header.Get("X-Prefix-Hash"), ",") {
		name, _, found := strings.Cut(part, ":")
		if !found {
			break
		}
		owner, cached := w.parts[salt+"\x00"+name]
		if !cached {
			break
		}
		begun.reused = append(begun.reused, name)
		if owner != tenant {
			begun.foreign = append(begun.foreign, name+" of "+owner)
		}
	}
	for _, part := range strings.Split(r.Header.Get("X-Prefix-Hash"), ",") {
		if name, _, found := strings.Cut(part, ":"); found {
			if _, cached := w.parts[salt+"\x00"+name]; !cached {
				w.parts[salt+"\x00"+name] = tenant
			}
		}
	}
	w.runs[id] = begun
	w.order = append(w.order, id)
	return true
}

func (w *worker) end(id string, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.runs[id].endedAt, w.runs[id].complete = time.Now(), complete
}

// found returns what the worker saw of a request, nil if it did not run it.
func (w *worker) found(id string) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[id]; r != nil {
		seen := *r
		return &seen
	}
	return nil
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.report(out)
		return
	case "/order":
		w.takeOrder(out, body)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	out.Header().Set("X-Attempt-Id", id)
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.begin(id, r) {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("X-Server-Seal", seal())
	if w.model != "" {
		out.Header().Set("X-Weight-Versions", strconv.Itoa(version))
		w.end(id, w.stream(out, r))
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.end(id, false)
		return
	}
	out.Header().Set("Content-Length", "800")
	_, err = out.Write([]byte(strings.Repeat("b", 800)))
	w.end(id, err == nil)
}

// stream writes the events of a stream, spread over the time that the work takes. It reports
// whether it wrote all.
func (w *worker) stream(out http.ResponseWriter, r *http.Request) bool {
	out.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= w.events; event++ {
		select {
		case <-time.After(w.work / time.Duration(w.events)):
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: t%d\n\n", event, event); err != nil {
			return false
		}
		out.(http.Flusher).Flush()
	}
	return true
}

func (w *worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(out, http.StatusOK, map[string]any{
		"stage": "prefill_decode", "models": []any{map[string]any{"name": w.model, "version": w.version, "adapters": []any{}}},
		"busy": false, "seq": w.orders, "queued": 0, "running": w.inFlight, "kvUsed": 0, "kvTotal": 0, "handles": 0,
	})
}

func (w *worker) takeOrder(out http.ResponseWriter, body []byte) {
	var order struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expected"`
	}
	status := http.StatusAccepted
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case json.Unmarshal(body, &order) != nil || order.Holder == "":
		status = http.StatusBadRequest
	case order.Expected != nil && *order.Expected != w.orders:
		status = http.StatusConflict
	case order.Version == w.version:
		status = http.StatusOK
	default:
		w.orders++
		w.version, w.parts = order.Version, map[string]string{}
	}
	w.record.add("%s gets an order of %s with fence %d: version %d, answered %d", w.id, order.Holder, order.Fence, order.Version, status)
	out.WriteHeader(status)
}

// seal returns the mark of an answer.
func seal() string {
	mark := make([]byte, 12)
	_, _ = rand.Read(mark) // never fails
	return hex.EncodeToString(mark)
}
