package inferrer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriadrum/chunker"
	"wisteriadrum/commander"
	"wisteriadrum/dialer"
	"wisteriadrum/judge"
	"wisteriadrum/prompter"
	"wisteriadrum/resolver"
)

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(dialer.HeaderIncarnation, e.report().Incarnation)
	path := string(ctx.Path())
	switch {
	case path == "/fault":
		var faults Faults
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		e.SetFaults(faults)
	case path == "/stats":
		_ = json.NewEncoder(ctx).Encode(e.Stats()) // can't fail: writes to memory
	case path == "/v1/orders":
		e.handleOrder(ctx)
	case path == "/v1/events":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64) // an invalid number means all
		_ = json.NewEncoder(ctx).Encode(e.eventPage(after))                          // can't fail: writes to memory
	case path == "/v1/load":
		_ = json.NewEncoder(ctx).Encode(e.report()) // can't fail: writes to memory
	case strings.HasPrefix(path, "/v1/attempts/") && ctx.IsDelete():
		e.handleCancel(ctx, strings.TrimPrefix(path, "/v1/attempts/"))
	case path == resolver.CompletionsPath || path == resolver.ChatPath:
		e.handlePrompt(ctx, path == resolver.ChatPath)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order commander.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := e.ApplyOrder(order); err != nil {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		ctx.Response.Header.Set(dialer.HeaderReason, err.Error())
	}
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	ctx.Response.Header.Set(dialer.HeaderAttemptID, id)
	e.mu.Lock()
	a := e.attempts[id]
	e.mu.Unlock()
	if a != nil {
		a.cancel()
	}
}

func (e *Engine) handlePrompt(ctx *fasthttp.RequestCtx, chat bool) {
	prompt, err := prompter.New(ctx.PostBody(), chat)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	header := &ctx.Request.Header
	id, salt := string(header.Peek(dialer.HeaderAttemptID)), string(header.Peek(dialer.HeaderSalt))
	ctx.Response.Header.Set(dialer.HeaderAttemptID, id)
	e.mu.Lock()
	a, reason := e.findOrStart(id, salt, header, prompt)
	faults := e.faults
	e.faults.SwapAnswers = max(faults.SwapAnswers-1, 0)
	weights, crash := e.weights, a != nil && faults.Poison != "" && strings.Contains(prompt.Text, faults.Poison)
	e.mu.Unlock()
	if crash {
		e.options.OnCrash()
		return
	}
	ctx.Response.Header.Set(dialer.HeaderWeightsVersion, weights)
	if a == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(dialer.HeaderVerdict, judge.NotRun.String())
		ctx.Response.Header.Set(dialer.HeaderReason, reason)
		return
	}
	if faults.SwapAnswers > 0 {
		a = e.otherAttempt(a)
		ctx.Response.Header.Set(dialer.HeaderAttemptID, a.id)
	}
	ctx.Response.Header.Set(dialer.HeaderCachedBytes, strconv.Itoa(a.cachedBytes))
	ctx.Response.Header.Set(dialer.HeaderQueueBytes, strconv.Itoa(a.queuedBytes))
	e.stream(ctx, a, resumePosition(header), faults)
}

// otherAttempt returns any attempt except a, or a if there is no other.
func (e *Engine) otherAttempt(a *attempt) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.attempts {
		if other != a {
			return other
		}
	}
	return a
}

// findOrStart returns the attempt with the given ID, which it starts if it is
// new, or nil and the reason of the refusal. The caller must hold the lock.
func (e *Engine) findOrStart(id, salt string, header *fasthttp.RequestHeader, prompt prompter.Prompt) (*attempt, string) {
	if a := e.attempts[id]; a != nil && a.salt == salt {
		return a, ""
	}
	if len(header.Peek(dialer.HeaderLastEventID)) > 0 {
		return nil, "unknown-attempt"
	}
	if expected := string(header.Peek(dialer.HeaderWeightsVersion)); expected != "" && expected != e.weights {
		return nil, "wrong-weights"
	}
	if e.faults.Draining || e.faults.Refuse > 0 || e.pendingLoads > 0 {
		e.faults.Refuse = max(e.faults.Refuse-1, 0)
		return nil, "busy"
	}
	return e.startGeneration(id, salt, prompt), ""
}

func resumePosition(header *fasthttp.RequestHeader) int {
	sequence, err := strconv.Atoi(string(header.Peek(dialer.HeaderLastEventID)))
	if err != nil {
		return 0
	}
	return sequence
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, a *attempt, from int, faults Faults) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		written := 0
		for {
			events := a.waitAfter(from)
			if events == nil {
				_ = conn.Close()
				return
			}
			for _, event := range events {
				from++
				written++
				if faults.CutAfter > 0 && written > faults.CutAfter {
					_ = conn.Close()
					return
				}
				if faults.StallAfter > 0 && written > faults.StallAfter {
					time.Sleep(stallDuration)
					return
				}
				if faults.EndAfter > 0 && written > faults.EndAfter {
					return
				}
				if faults.SkipAt > 0 && written == faults.SkipAt {
					continue
				}
				if !writeEvent(writer, from, event, faults.DuplicateEvents) {
					return
				}
				if event == chunker.Done {
					return
				}
			}
		}
	})
}

// stallDuration is longer than every test.
const stallDuration = time.Minute

func writeEvent(writer *bufio.Writer, sequence int, event string, duplicate bool) bool {
	text := fmt.Sprintf("id: %d\ndata: %s\n\n", sequence, event)
	if duplicate {
		text += text
	}
	_, _ = writer.WriteString(text)
	return writer.Flush() == nil
}
