// Package loader is a load generator: it sends requests to instances and checks
// every answer.
package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alitto/pond/v2"

	"wisteriadrum/chunker"
	"wisteriadrum/inferrer"
	"wisteriadrum/prompter"
	"wisteriadrum/resolver"
	"wisteriadrum/synthesizer"
)

const (
	requestTimeout    = time.Minute
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Plan describes the requests of a run.
type Plan struct {
	// Targets are the addresses on which the instances accept requests. They are
	// used round robin.
	Targets []string
	// Model is the model name, Keys the bearer keys by workspace.
	Model    string
	Keys     []string
	Requests []synthesizer.Request
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
	// Tokens is the number of tokens requested for each answer.
	Tokens int
}

// Report counts the outcomes of requests. Wrong answers differ from the reference
// text. Truncated ones ended without an error, but were incomplete.
type Report struct {
	Requests  int `json:"requests"`
	Correct   int `json:"right"`
	Wrong     int `json:"wrong"`
	Truncated int `json:"cut"`
	// Refused is the number of refused or failed requests by error code.
	Refused map[string]int `json:"refused"`
	// P50 and P99 are times to the first token in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Loader sends requests and accumulates their outcomes.
type Loader struct {
	client      *http.Client
	mu          sync.Mutex
	report      Report
	firstTokens *hdrhistogram.Histogram
}

// New returns a loader with an empty report.
func New() *Loader {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Loader{
		client: &http.Client{Timeout: requestTimeout, Transport: transport},
		report: Report{Refused: map[string]int{}}, firstTokens: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

// Run sends the requests of plan, every other one as a stream, and returns the
// report on all requests that the loader has sent so far.
func (l *Loader) Run(ctx context.Context, plan Plan) Report {
	pool := pond.NewPool(plan.Concurrency)
	for i, request := range plan.Requests {
		pool.Submit(func() {
			if ctx.Err() == nil {
				l.send(ctx, plan, request, plan.Targets[i%len(plan.Targets)], i%2 == 0)
			}
		})
	}
	pool.StopAndWait()
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	report.P50 = float64(l.firstTokens.ValueAtQuantile(50)) / 1000
	report.P99 = float64(l.firstTokens.ValueAtQuantile(99)) / 1000
	return report
}

type completionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
	Tokens int    `json:"max_tokens"`
}

func (l *Loader) send(ctx context.Context, plan Plan, request synthesizer.Request, target string, stream bool) {
	body, _ := json.Marshal(completionRequest{Model: plan.Model, Prompt: request.Text(), Stream: stream, Tokens: plan.Tokens}) // can't fail: only strings, numbers and booleans
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+resolver.CompletionsPath, bytes.NewReader(body))
	if err != nil {
		l.recordRefusal(err.Error())
		return
	}
	httpRequest.Header.Set("Authorization", "Bearer "+plan.Keys[request.Workspace%len(plan.Keys)])
	httpRequest.Header.Set("Content-Type", "application/json")
	started := time.Now()
	response, err := l.client.Do(httpRequest)
	if err != nil {
		l.recordRefusal("unreachable")
		return
	}
	defer func() { _ = response.Body.Close() }()
	prompt, err := prompter.New(body, false)
	if err != nil {
		l.recordRefusal(err.Error())
		return
	}
	l.checkResponse(response, stream, started, inferrer.Generate(prompt))
}

func (l *Loader) checkResponse(response *http.Response, stream bool, started time.Time, expected string) {
	if response.StatusCode != http.StatusOK {
		l.recordRefusal(errorCode(response.Body))
		return
	}
	if !stream {
		var whole chunker.Chunk
		if err := json.NewDecoder(response.Body).Decode(&whole); err != nil || len(whole.Choices) == 0 {
			l.record(func(r *Report) { r.Truncated++ })
			return
		}
		l.recordAnswer(whole.Choices[0].Text == expected)
		return
	}
	text, complete, failure := l.readStream(response.Body, started)
	switch {
	case failure != "":
		l.recordRefusal(failure)
	case !complete:
		l.record(func(r *Report) { r.Truncated++ })
	default:
		l.recordAnswer(text == expected)
	}
}

// readStream returns the text of a stream, whether it was complete with a closing
// event, and the code of its error event.
func (l *Loader) readStream(body io.Reader, started time.Time) (string, bool, string) {
	text := strings.Builder{}
	inErrorEvent := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		inErrorEvent = inErrorEvent || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case inErrorEvent:
			return "", false, errorCode(strings.NewReader(data))
		case data == chunker.Done:
			return text.String(), true, ""
		default:
			if text.Len() == 0 {
				l.recordFirstToken(time.Since(started))
			}
			chunk, err := chunker.New(data)
			if err != nil {
				return "", false, "unreadable"
			}
			text.WriteString(chunk.Text())
		}
	}
	return text.String(), false, ""
}

func (l *Loader) recordFirstToken(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firstTokens.RecordValue(min(latency.Microseconds(), maxLatency)) // in range
}

func (l *Loader) recordAnswer(correct bool) {
	l.record(func(r *Report) {
		if correct {
			r.Correct++
		} else {
			r.Wrong++
		}
	})
}

func (l *Loader) recordRefusal(code string) {
	l.record(func(r *Report) { r.Refused[code]++ })
}

func (l *Loader) record(update func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Requests++
	update(&l.report)
}

func errorCode(body io.Reader) string {
	var wire struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&wire); err != nil || wire.Error.Code == "" {
		return "unreadable"
	}
	return wire.Error.Code
}

// String returns the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("requests %d right %d wrong %d cut %d refused %v first token p50 %.1f ms p99 %.1f ms",
		r.Requests, r.Correct, r.Wrong, r.Truncated, r.Refused, r.P50, r.P99)
}
