// Package emulator emulates the platform: the table service, the object store
// and the instance list in one process, with fault injection.
package emulator

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriadrum/lister"
	"wisteriadrum/muter"
	"wisteriadrum/severer"
	"wisteriadrum/tabler"
)

// Faults are the injected faults of the platform.
type Faults struct {
	// Down closes the connection of every request.
	Down bool `json:"down"`
	// DelayMillis delays the processing of every request.
	DelayMillis int `json:"slow"`
	// LoseAnswers commits the given number of transactions and closes their
	// connections without an answer.
	LoseAnswers int `json:"lose"`
	// CommitLate closes the connections of the given number of transactions without
	// an answer and commits the transactions after CommitDelayMillis.
	CommitLate        int `json:"late"`
	CommitDelayMillis int `json:"hold"`
	// AnswerDelayMillis delays the answers of transactions after the commit.
	AnswerDelayMillis int `json:"linger"`
	// TransactionMicros is the duration of a transaction. Transactions run one at a
	// time.
	TransactionMicros int `json:"pace"`
}

// Platform holds the table rows, the objects and the instance list in memory.
type Platform struct {
	http *fasthttp.Server
	now  func() time.Time

	mu              sync.Mutex
	faults          Faults
	rows            map[string]tabler.Row
	objects         map[string][]byte
	entries         map[string]lister.Entry
	transactions    int
	transactionLock sync.Mutex
}

// New returns an empty platform. It takes the current time from now to expire rows.
func New(now func() time.Time) *Platform {
	p := &Platform{now: now, rows: map[string]tabler.Row{}, objects: map[string][]byte{}, entries: map[string]lister.Entry{}}
	p.http = &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true, Logger: muter.New()}
	return p
}

// Serve answers requests on listener until it is closed.
func (p *Platform) Serve(listener net.Listener) error { return p.http.Serve(severer.New(listener)) }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// PutEntry adds or replaces an entry of the instance list.
func (p *Platform) PutEntry(entry lister.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[entry.Name] = entry
}

// Transactions returns the number of transactions requested, including those
// that failed or conflicted.
func (p *Platform) Transactions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transactions
}

// Read returns the current rows of keys. A row that is missing or expired has
// only its key set.
func (p *Platform) Read(keys ...string) []tabler.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]tabler.Row, len(keys))
	for i, key := range keys {
		rows[i] = p.currentRow(key)
	}
	return rows
}

// Transact commits all writes atomically. If the version of any row differs from
// the expected one, it writes nothing and returns the conflicting rows.
func (p *Platform) Transact(writes []tabler.Write) []tabler.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	conflicts := []tabler.Row{}
	for _, write := range writes {
		if row := p.currentRow(write.Key); row.Version != write.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, write := range writes {
		p.rows[write.Key] = tabler.Row{Key: write.Key, Value: write.Value, Version: write.Version + 1, Expires: write.Expires}
	}
	return conflicts
}

func (p *Platform) currentRow(key string) tabler.Row {
	row, ok := p.rows[key]
	if !ok || !row.Expires.IsZero() && row.Expires.Before(p.now()) {
		return tabler.Row{Key: key}
	}
	return row
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/fault" {
		p.handleFault(ctx)
		return
	}
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if faults.Down {
		_ = ctx.Conn().Close()
		return
	}
	switch {
	case path == "/v1/table/read":
		p.handleRead(ctx)
	case path == "/v1/table/transact":
		p.handleTransact(ctx)
	case path == "/v1/instances":
		p.handleList(ctx)
	case strings.HasPrefix(path, "/v1/objects/"):
		p.handleObject(ctx, strings.TrimPrefix(path, "/v1/objects/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleFault(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if decode(ctx, &faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) handleRead(ctx *fasthttp.RequestCtx) {
	var keys []string
	if decode(ctx, &keys) {
		encode(ctx, p.Read(keys...))
	}
}

func (p *Platform) handleTransact(ctx *fasthttp.RequestCtx) {
	var writes []tabler.Write
	if !decode(ctx, &writes) {
		return
	}
	p.mu.Lock()
	p.transactions++
	faults := p.faults
	p.faults.LoseAnswers = max(faults.LoseAnswers-1, 0)
	if faults.LoseAnswers == 0 {
		p.faults.CommitLate = max(faults.CommitLate-1, 0)
	}
	p.mu.Unlock()
	p.transactionLock.Lock()
	time.Sleep(time.Duration(faults.TransactionMicros) * time.Microsecond)
	p.transactionLock.Unlock()
	switch {
	case faults.LoseAnswers > 0:
		p.Transact(writes)
		_ = ctx.Conn().Close()
	case faults.CommitLate > 0:
		time.AfterFunc(time.Duration(faults.CommitDelayMillis)*time.Millisecond, func() { p.Transact(writes) })
		_ = ctx.Conn().Close()
	default:
		conflicts := p.Transact(writes)
		time.Sleep(time.Duration(faults.AnswerDelayMillis) * time.Millisecond)
		encode(ctx, conflicts)
	}
}

func (p *Platform) handleList(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var entry lister.Entry
		if decode(ctx, &entry) {
			p.PutEntry(entry)
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := make([]lister.Entry, 0, len(p.entries))
	for _, entry := range p.entries {
		entries = append(entries, entry)
	}
	encode(ctx, entries)
}

func (p *Platform) handleObject(ctx *fasthttp.RequestCtx, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.IsPut() {
		p.objects[name] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	body, ok := p.objects[name]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}

func decode(ctx *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(ctx.PostBody(), target); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func encode(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(value) // can't fail: writes to memory
}
