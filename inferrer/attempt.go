package inferrer

import (
	"sync"
	"time"

	"wisteriadrum/chunker"
	"wisteriadrum/hasher"
	"wisteriadrum/prompter"
)

// attempt is one generation with all its events so far.
type attempt struct {
	name      string
	salt      string
	prompt    prompter.Prompt
	cached    int
	queue     int
	mu        sync.Mutex
	events    []string
	changed   chan struct{}
	cancelled bool
	endedAt   time.Time
}

// start begins a generation. The engine's lock must be held.
func (e *Engine) start(name, salt string, prompt prompter.Prompt) *attempt {
	chain := hasher.New(salt, prompt.Model, e.weights, prompt.Text, e.options.Piece)
	a := &attempt{name: name, salt: salt, prompt: prompt, changed: make(chan struct{})}
	depth := e.cache.Depth(chain)
	a.cached = min(depth*e.options.Piece, len(prompt.Text))
	missing := chain.MissingBytes(depth)
	a.queue = e.queue
	e.queue += missing
	e.running++
	e.stats.Requests++
	e.begun[prompt.Text]++
	e.attempts[name] = a
	e.sweep()
	go e.generate(a, chain, missing)
	return a
}

// sweep forgets attempts that ended long ago. The lock must be held.
func (e *Engine) sweep() {
	for name, a := range e.attempts {
		a.mu.Lock()
		old := !a.endedAt.IsZero() && time.Since(a.endedAt) > keepAttempts
		a.mu.Unlock()
		if old {
			delete(e.attempts, name)
		}
	}
}

func (e *Engine) generate(a *attempt, chain hasher.Chain, queued int) {
	e.compute(chain, queued)
	text := a.prompt.Text
	count := tokens(a.prompt)
	for i := range count {
		token := next(text)
		text += token
		if !a.add(string(a.chunk(token, i == count-1).Encode()), false) {
			break
		}
		time.Sleep(time.Duration(e.options.TimePerToken) * time.Microsecond)
	}
	complete := a.add(chunker.Done, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if !complete {
		e.stats.Cancelled++
	}
}

func (a *attempt) chunk(token string, last bool) chunker.Chunk {
	choice := chunker.Choice{Text: token}
	object := "text_completion"
	if a.prompt.IsChat() {
		choice = chunker.Choice{Delta: &chunker.Message{Content: token}}
		object = "chat.completion.chunk"
	}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	return chunker.Chunk{ID: "cmpl-" + a.name, Object: object, Model: a.prompt.Model, Choices: []chunker.Choice{choice}}
}

// add appends an event and reports whether the attempt is still wanted.
func (a *attempt) add(event string, last bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last || a.cancelled {
		a.endedAt = time.Now()
	}
	if a.cancelled {
		return false
	}
	a.events = append(a.events, event)
	close(a.changed)
	a.changed = make(chan struct{})
	return true
}

// after returns the events after count, waiting for the first of them. It
// returns none when the attempt was cancelled.
func (a *attempt) after(count int) []string {
	for {
		a.mu.Lock()
		events, changed, cancelled := a.events, a.changed, a.cancelled
		a.mu.Unlock()
		if len(events) > count {
			return events[count:]
		}
		if cancelled {
			return nil
		}
		<-changed
	}
}

func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cancelled {
		a.cancelled = true
		close(a.changed)
		a.changed = make(chan struct{})
	}
}
