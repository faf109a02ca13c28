// Package inferrer emulates a model engine. It caches prompt prefixes, prefills
// prompts sequentially, generates text that depends only on the preceding text,
// and supports resuming and cancelling streams.
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

// Options configures an engine.
type Options struct {
	Weights string
	// PieceBytes is the size in bytes of a piece, the unit of the prefix cache.
	PieceBytes int
	// CachePieces is the capacity of the prefix cache in pieces.
	CachePieces int
	// PrefillNanosPerByte is the prefill time of a prompt byte in nanoseconds.
	PrefillNanosPerByte int
	// MicrosPerToken is the decode time of a token in microseconds.
	MicrosPerToken int
	// ChecksFence makes the engine refuse orders with an outdated fencing token.
	ChecksFence bool
	// LoadTime is the duration of loading weights.
	LoadTime time.Duration
	// OnCrash is called when a request crashes the engine. It must not return
	// before the engine has stopped answering.
	OnCrash func()
}

const (
	defaultTokens    = 16
	attemptRetention = 20 * time.Second
)

// Engine is an emulated model engine.
type Engine struct {
	options     Options
	incarnation string
	http        *fasthttp.Server
	listener    *severer.Listener

	mu           sync.Mutex
	faults       Faults
	attempts     map[string]*attempt
	cache        *cacher.Cache
	weights      string
	queuedBytes  int // prompt bytes that wait for prefill
	running      int
	runsByPrompt map[string]int // number of generations by prompt
	events       []pager.Event
	sequence     uint64
	prefillLock  sync.Mutex
	crashed      bool
	maxFence     uint64 // highest fencing token of the orders applied
	pendingLoads int    // loads of weights in progress
	loadHistory  []string
	stats        Stats
}

// Stats counts the engine's work since its start.
type Stats struct {
	Requests   int `json:"requests"`
	Computed   int `json:"computed"` // prompt bytes prefilled
	Cached     int `json:"cached"`   // prompt bytes found in the cache
	Cancelled  int `json:"cancelled"`
	Incomplete int `json:"incomplete"`
}

// New returns an engine with an empty cache.
func New(options Options) *Engine {
	e := &Engine{
		options: options, incarnation: uuid.NewString(), weights: options.Weights,
		attempts: map[string]*attempt{}, runsByPrompt: map[string]int{},
	}
	e.cache = e.emptyCache()
	e.http = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, Logger: muter.New(), MaxRequestBodySize: 64 << 20}
	return e
}

// Serve answers requests on listener until it is closed.
func (e *Engine) Serve(listener net.Listener) error {
	e.mu.Lock()
	e.listener = severer.New(listener)
	e.mu.Unlock()
	return e.http.Serve(e.listener)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.Blackhole {
		e.listener.Blackhole()
	}
}

// Crash closes the listener and all connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	e.listener.Crash()
}

// Crashed reports whether Crash has been called.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) emptyCache() *cacher.Cache {
	return cacher.New(e.options.CachePieces, func(level uint64) { e.appendCacheEvent(pager.Event{Level: level}) })
}

const maxCacheEvents = 512

// appendCacheEvent appends a cache event and drops the oldest ones beyond
// maxCacheEvents. The caller must hold the lock.
func (e *Engine) appendCacheEvent(event pager.Event) {
	e.events = append(e.events, event)
	e.sequence++
	if len(e.events) > maxCacheEvents {
		e.events = e.events[len(e.events)-maxCacheEvents:]
	}
}

// eventPage returns the retained cache events after a sequence number.
func (e *Engine) eventPage(after uint64) pager.Page {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := e.sequence - uint64(len(e.events))
	from := min(max(after, oldest), e.sequence)
	return pager.New(e.incarnation, from, e.events[from-oldest:])
}

// ApplyOrder applies an order to load weights. The weights are loaded when all
// running requests have ended. If the engine checks fencing tokens, an order with
// an outdated one is an error.
func (e *Engine) ApplyOrder(order commander.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && order.Fence < e.maxFence {
		return eris.Errorf("fence %d is older than %d", order.Fence, e.maxFence)
	}
	e.maxFence = max(e.maxFence, order.Fence)
	if e.weights == order.Weights || e.pendingLoads > 0 {
		return nil
	}
	e.pendingLoads++
	go e.loadWhenIdle(order.Weights)
	return nil
}

func (e *Engine) loadWhenIdle(weights string) {
	for e.report().Running > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(e.options.LoadTime)
	e.LoadWeights(weights)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingLoads--
	e.loadHistory = append(e.loadHistory, weights)
}

// LoadedWeights returns the versions loaded by orders, the oldest first.
func (e *Engine) LoadedWeights() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loadHistory...)
}

// LoadWeights replaces the weights immediately. That starts a new incarnation
// with an empty cache.
func (e *Engine) LoadWeights(weights string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = weights
	e.incarnation = uuid.NewString()
	e.cache = e.emptyCache()
	e.events, e.sequence = nil, 0
}

// Stats returns the counters of the engine's work.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Generate returns the complete text that every engine generates for prompt. It
// is the reference to check answers against.
func Generate(prompt prompter.Prompt) string {
	answer := strings.Builder{}
	text := prompt.Text
	for range tokenCount(prompt) {
		token := nextToken(text)
		answer.WriteString(token)
		text += token
	}
	return answer.String()
}

func tokenCount(prompt prompter.Prompt) int {
	if prompt.MaxTokens == 0 {
		return defaultTokens
	}
	return prompt.MaxTokens
}

// contextBytes is the length of the preceding text that determines a token.
const contextBytes = 200

// nextToken returns the token that follows text, a hash of its tail.
func nextToken(text string) string {
	tail := text[max(0, len(text)-contextBytes):]
	return fmt.Sprintf(" w%03d", xxhash.Sum64String(tail)%1000)
}

func (e *Engine) report() reporter.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reporter.Report{
		Loading: e.pendingLoads > 0, Fence: e.maxFence, Incarnation: e.incarnation, Running: e.running, Queue: e.queuedBytes, Weights: e.weights, Leaving: e.faults.Draining,
	}
}

// compute waits for the prefills before it and prefills the part of the prompt
// that is not cached.
func (e *Engine) compute(chain hasher.Chain, queued int) {
	e.prefillLock.Lock()
	defer e.prefillLock.Unlock()
	e.mu.Lock()
	missing := chain.MissingBytes(e.cache.Depth(chain))
	e.mu.Unlock()
	time.Sleep(time.Duration(missing * e.options.PrefillNanosPerByte))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, level := range chain.Levels()[e.cache.Depth(chain):] {
		e.appendCacheEvent(pager.Event{Level: level, Stored: true})
	}
	e.cache.Add(chain)
	e.queuedBytes -= queued
	e.stats.Computed += missing
	e.stats.Cached += chain.SizeBytes() - missing
}

// Loading reports whether an order to load weights is in progress.
func (e *Engine) Loading() bool { return e.report().Loading }

// Weights returns the version of the current weights.
func (e *Engine) Weights() string { return e.report().Weights }
