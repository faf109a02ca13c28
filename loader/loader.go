// Package loader drives callers against instances and checks every answer.
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
	requestTimeout = time.Minute
	maxLatency     = int64(time.Minute / time.Microsecond)
	digits         = 3
)

// Plan says what to send.
type Plan struct {
	// Targets are the callers' addresses of the instances, taken in turn.
	Targets []string
	// Model is the model name, and Keys the bearer keys by workspace.
	Model    string
	Keys     []string
	Requests []synthesizer.Request
	// Concurrency is the number of requests under way.
	Concurrency int
	Tokens      int
}

// Report counts the outcomes. Wrong answers differ from the reference; cut
// ones ended as if complete but were not.
type Report struct {
	Requests  int            `json:"requests"`
	Correct   int            `json:"right"`
	Wrong     int            `json:"wrong"`
	Truncated int            `json:"cut"`
	Refused   map[string]int `json:"refused"`
	// P50 and P99 are times to the first token in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Loader sends requests.
type Loader struct {
	client *http.Client
	mu     sync.Mutex
	report Report
	firsts *hdrhistogram.Histogram
}

// New returns a loader that has sent nothing.
func New() *Loader {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Loader{
		client: &http.Client{Timeout: requestTimeout, Transport: transport},
		report: Report{Refused: map[string]int{}}, firsts: hdrhistogram.New(1, maxLatency, digits),
	}
}

// Run sends the items of plan, every other one streamed, and returns what
// came of all that this loader has sent.
func (l *Loader) Run(ctx context.Context, plan Plan) Report {
	pool := pond.NewPool(plan.Concurrency)
	for i, item := range plan.Requests {
		pool.Submit(func() {
			if ctx.Err() == nil {
				l.one(ctx, plan, item, plan.Targets[i%len(plan.Targets)], i%2 == 0)
			}
		})
	}
	pool.StopAndWait()
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	report.P50 = float64(l.firsts.ValueAtQuantile(50)) / 1000
	report.P99 = float64(l.firsts.ValueAtQuantile(99)) / 1000
	return report
}

type wireRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
	Tokens int    `json:"max_tokens"`
}

func (l *Loader) one(ctx context.Context, plan Plan, item synthesizer.Request, target string, stream bool) {
	body, _ := json.Marshal(wireRequest{Model: plan.Model, Prompt: item.Text(), Stream: stream, Tokens: plan.Tokens}) // always has a JSON form
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+resolver.CompletionsPath, bytes.NewReader(body))
	if err != nil {
		l.refused(err.Error())
		return
	}
	request.Header.Set("Authorization", "Bearer "+plan.Keys[item.Workspace%len(plan.Keys)])
	request.Header.Set("Content-Type", "application/json")
	begun := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		l.refused("unreachable")
		return
	}
	defer func() { _ = response.Body.Close() }()
	prompt, err := prompter.New(body, false)
	if err != nil {
		l.refused(err.Error())
		return
	}
	l.check(response, stream, begun, inferrer.Generate(prompt))
}

func (l *Loader) check(response *http.Response, stream bool, begun time.Time, want string) {
	if response.StatusCode != http.StatusOK {
		l.refused(reason(response.Body))
		return
	}
	if !stream {
		var whole chunker.Chunk
		if err := json.NewDecoder(response.Body).Decode(&whole); err != nil || len(whole.Choices) == 0 {
			l.count(func(r *Report) { r.Truncated++ })
			return
		}
		l.judge(whole.Choices[0].Text == want)
		return
	}
	text, complete, failure := l.read(response.Body, begun)
	switch {
	case failure != "":
		l.refused(failure)
	case !complete:
		l.count(func(r *Report) { r.Truncated++ })
	default:
		l.judge(text == want)
	}
}

// read returns the text of a stream, whether its closing event came, and the
// code of its error event.
func (l *Loader) read(body io.Reader, begun time.Time) (string, bool, string) {
	text := strings.Builder{}
	failing := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		failing = failing || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failing:
			return "", false, reason(strings.NewReader(data))
		case data == chunker.Done:
			return text.String(), true, ""
		default:
			if text.Len() == 0 {
				l.first(time.Since(begun))
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

func (l *Loader) first(taken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firsts.RecordValue(min(taken.Microseconds(), maxLatency)) // in range
}

func (l *Loader) judge(right bool) {
	l.count(func(r *Report) {
		if right {
			r.Correct++
		} else {
			r.Wrong++
		}
	})
}

func (l *Loader) refused(code string) {
	l.count(func(r *Report) { r.Refused[code]++ })
}

func (l *Loader) count(add func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Requests++
	add(&l.report)
}

func reason(body io.Reader) string {
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
