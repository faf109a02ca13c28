// Package inferrer is a stand-in for a model engine. It caches prompt
// prefixes, computes prompts one after the other, generates text that depends
// only on the text before, and lets streams be resumed and cancelled.
package inferrer

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriadrum/cacher"
	"wisteriadrum/commander"
	"wisteriadrum/hasher"
	"wisteriadrum/muter"
	"wisteriadrum/pager"
	"wisteriadrum/prompter"
	"wisteriadrum/reporter"
	"wisteriadrum/severer"
)

// Options are the engine's sizes and speeds.
type Options struct {
	Weights string
	// Piece is the size in bytes of a cached piece of a prompt.
	Piece int
	// Pieces is the number of pieces that the cache holds.
	Pieces int
	// PrefillPerByte is the prefill time of a prompt byte in nanoseconds.
	PrefillPerByte int
	// TimePerToken is the time between two tokens in microseconds.
	TimePerToken int
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// OnCrash is called when a request crashes the engine. It must not return
	// before the engine is gone.
	OnCrash func()
}

const (
	defaultTokens = 16
	keepAttempts  = 20 * time.Second
)

// Engine generates answers.
type Engine struct {
	options     Options
	incarnation string
	http        *fasthttp.Server
	listener    *severer.Listener

	mu       sync.Mutex
	faults   Faults
	attempts map[string]*attempt
	cache    *cacher.Cache
	weights  string
	queue    int // prompt bytes waiting
	running  int
	begun    map[string]int // runs by prompt
	events   []pager.Event
	sequence uint64
	prefill  sync.Mutex
	crashed  bool
	fence    uint64 // the highest obeyed
	loads    int    // under way
	history  []string
	stats    Stats
}

// Stats counts what the engine has done.
type Stats struct {
	Requests   int `json:"requests"`
	Computed   int `json:"computed"` // prompt bytes
	Cached     int `json:"cached"`   // prompt bytes
	Cancelled  int `json:"cancelled"`
	Incomplete int `json:"incomplete"`
}

// New returns an engine with an empty cache.
func New(options Options) *Engine {
	e := &Engine{
		options: options, incarnation: uuid.NewString(), weights: options.Weights,
		attempts: map[string]*attempt{}, begun: map[string]int{},
	}
	e.cache = e.emptyCache()
	e.http = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, Logger: muter.New(), MaxRequestBodySize: 64 << 20}
	return e
}

// Serve answers on listener until it is closed.
func (e *Engine) Serve(listener net.Listener) error {
	e.mu.Lock()
	e.listener = severer.New(listener)
	e.mu.Unlock()
	return e.http.Serve(e.listener)
}

// SetFaults sets the faults in force from now on.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.Blackhole {
		e.listener.Blackhole()
	}
}

// Crash cuts every connection and stops answering.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	e.listener.Crash()
}

// Crashed reports whether Crash was called.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) emptyCache() *cacher.Cache {
	return cacher.New(e.options.Pieces, func(level uint64) { e.log(pager.Event{Level: level}) })
}

const keptEvents = 512

// log keeps an event; the oldest are lost. The lock must be held.
func (e *Engine) log(event pager.Event) {
	e.events = append(e.events, event)
	e.sequence++
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}

// page returns the kept events after a number.
func (e *Engine) page(after uint64) pager.Page {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := e.sequence - uint64(len(e.events))
	from := min(max(after, oldest), e.sequence)
	return pager.New(e.incarnation, from, e.events[from-oldest:])
}

// ApplyOrder takes an order, and refuses one with an old fence if the engine checks
// them. The weights are loaded once what runs has ended.
func (e *Engine) ApplyOrder(order commander.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && order.Fence < e.fence {
		return eris.Errorf("fence %d is older than %d", order.Fence, e.fence)
	}
	e.fence = max(e.fence, order.Fence)
	if e.weights == order.Weights || e.loads > 0 {
		return nil
	}
	e.loads++
	go e.fetch(order.Weights)
	return nil
}

func (e *Engine) fetch(weights string) {
	for e.load().Running > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(e.options.LoadTime)
	e.LoadWeights(weights)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads--
	e.history = append(e.history, weights)
}

// LoadedWeights returns the weights loaded by order, the oldest first.
func (e *Engine) LoadedWeights() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.history...)
}

// LoadWeights replaces the weights, which empties the cache.
func (e *Engine) LoadWeights(weights string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = weights
	e.incarnation = uuid.NewString()
	e.cache = e.emptyCache()
	e.events, e.sequence = nil, 0
}

// Stats returns what the engine has done so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Generate returns the whole answer to prompt, for comparison.
func Generate(prompt prompter.Prompt) string {
	text := strings.Builder{}
	last := prompt.Text
	for range tokens(prompt) {
		token := next(last)
		text.WriteString(token)
		last += token
	}
	return text.String()
}

func tokens(prompt prompter.Prompt) int {
	if prompt.MaxTokens == 0 {
		return defaultTokens
	}
	return prompt.MaxTokens
}

// window is the length of the text that the next token depends on.
const window = 200

// next returns the token that follows text.
func next(text string) string {
	tail := text[max(0, len(text)-window):]
	return fmt.Sprintf(" w%03d", xxhash.Sum64String(tail)%1000)
}

func (e *Engine) load() reporter.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reporter.Report{
		Loading: e.loads > 0, Fence: e.fence, Incarnation: e.incarnation, Running: e.running, Queue: e.queue, Weights: e.weights, Leaving: e.faults.Draining,
	}
}

// compute waits its turn and computes what the cache lacks of the prompt.
func (e *Engine) compute(chain hasher.Chain, queued int) {
	e.prefill.Lock()
	defer e.prefill.Unlock()
	e.mu.Lock()
	missing := chain.MissingBytes(e.cache.Depth(chain))
	e.mu.Unlock()
	time.Sleep(time.Duration(missing * e.options.PrefillPerByte))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, level := range chain.Levels()[e.cache.Depth(chain):] {
		e.log(pager.Event{Level: level, Stored: true})
	}
	e.cache.Add(chain)
	e.queue -= queued
	e.stats.Computed += missing
	e.stats.Cached += chain.SizeBytes() - missing
}

// Loading reports whether weights are being loaded.
func (e *Engine) Loading() bool { return e.load().Loading }

// Weights returns the version of the weights.
func (e *Engine) Weights() string { return e.load().Weights }
