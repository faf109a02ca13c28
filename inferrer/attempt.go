package inferrer

import (
	"sync"
	"time"

	"wisteriadrum/chunker"
	"wisteriadrum/hasher"
	"wisteriadrum/prompter"
)

// attempt is one generation. It retains all events generated so far, so that
// streams can be resumed.
type attempt struct {
	id          string
	salt        string
	prompt      prompter.Prompt
	cachedBytes int
	queuedBytes int
	mu          sync.Mutex
	events      []string
	update      chan struct{} // closed and replaced on each change
	cancelled   bool
	endedAt     time.Time
}

// startGeneration starts a generation in the background. The caller must hold
// the engine's lock.
func (e *Engine) startGeneration(id, salt string, prompt prompter.Prompt) *attempt {
	chain := hasher.New(salt, prompt.Model, e.weights, prompt.Text, e.options.PieceBytes)
	a := &attempt{id: id, salt: salt, prompt: prompt, update: make(chan struct{})}
	depth := e.cache.Depth(chain)
	a.cachedBytes = min(depth*e.options.PieceBytes, len(prompt.Text))
	missing := chain.MissingBytes(depth)
	a.queuedBytes = e.queuedBytes
	e.queuedBytes += missing
	e.running++
	e.stats.Requests++
	e.runsByPrompt[prompt.Text]++
	e.attempts[id] = a
	e.evictEnded()
	go e.generate(a, chain, missing)
	return a
}

// evictEnded drops attempts that ended more than attemptRetention ago. The
// caller must hold the engine's lock.
func (e *Engine) evictEnded() {
	for id, a := range e.attempts {
		a.mu.Lock()
		expired := !a.endedAt.IsZero() && time.Since(a.endedAt) > attemptRetention
		a.mu.Unlock()
		if expired {
			delete(e.attempts, id)
		}
	}
}

func (e *Engine) generate(a *attempt, chain hasher.Chain, queued int) {
	e.compute(chain, queued)
	text := a.prompt.Text
	count := tokenCount(a.prompt)
	for i := range count {
		token := nextToken(text)
		text += token
		if !a.appendEvent(string(a.newChunk(token, i == count-1).Encode()), false) {
			break
		}
		time.Sleep(time.Duration(e.options.MicrosPerToken) * time.Microsecond)
	}
	complete := a.appendEvent(chunker.Done, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if !complete {
		e.stats.Cancelled++
	}
}

func (a *attempt) newChunk(token string, last bool) chunker.Chunk {
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
	return chunker.Chunk{ID: "cmpl-" + a.id, Object: object, Model: a.prompt.Model, Choices: []chunker.Choice{choice}}
}

// appendEvent appends an event. It reports false if the attempt was cancelled.
func (a *attempt) appendEvent(event string, last bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last || a.cancelled {
		a.endedAt = time.Now()
	}
	if a.cancelled {
		return false
	}
	a.events = append(a.events, event)
	close(a.update)
	a.update = make(chan struct{})
	return true
}

// waitAfter returns the events after the first count ones and waits until there
// is at least one. It returns nil if the attempt was cancelled.
func (a *attempt) waitAfter(count int) []string {
	for {
		a.mu.Lock()
		events, update, cancelled := a.events, a.update, a.cancelled
		a.mu.Unlock()
		if len(events) > count {
			return events[count:]
		}
		if cancelled {
			return nil
		}
		<-update
	}
}

func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cancelled {
		a.cancelled = true
		close(a.update)
		a.update = make(chan struct{})
	}
}
