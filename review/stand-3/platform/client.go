package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// NewID returns the id of a new attempt of a client.
func NewID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// Result is what a client got.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Request is one attempt of a client.
type Request struct {
	Method, Path, Host, Key string
	Deadline                time.Duration
	// Prompt is the list of the parts of the prompt, empty for a plain request.
	Prompt string
	Usage  string
	Body   []byte
}

// Send sends a request to an instance over a new channel.
func (i *Instance) Send(id string, request Request) Result {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return i.SendWith(client, id, request)
}

// SendWith sends a request over the channels of a client.
func (i *Instance) SendWith(client *http.Client, id string, request Request) Result {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, request.Method, "http://"+i.Front+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Result{Err: err}
	}
	message.Host = request.Host
	message.Header.Set("X-Attempt-Id", id)
	message.Header.Set("X-Deadline-Ms", fmt.Sprint(request.Deadline.Milliseconds()))
	message.Header.Set("Authorization", "Token "+request.Key)
	if request.Prompt != "" {
		message.Header.Set("X-Model", "m0")
		message.Header.Set("X-Token-Usage", request.Usage)
		message.Header.Set("X-Prefix-Hash", request.Prompt)
	}
	response, err := client.Do(message)
	if err != nil {
		return Result{Err: err}
	}
	defer response.Body.Close() //nolint:errcheck // nothing is written
	body, err := io.ReadAll(response.Body)
	return Result{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}

// String returns the result for the record.
func (r Result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %s", r.Status, len(r.Body), r.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", r.Status, len(r.Body))
}

// Manifest returns a manifest with an engine service, a plain service and a route of each
// kind. Each tenant's key is its name with "-key".
func Manifest(tenants ...map[string]any) map[string]any {
	for _, tenant := range tenants {
		tenant["apiKeys"] = []string{fmt.Sprint(tenant["name"], "-key")}
	}
	route := func(name, host, prefix, kind, service string, attempts, timeoutMs, targetMs int) map[string]any {
		streaming := kind == "streaming"
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "maxAttempts": attempts, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs, "targetGapMs": 800, "priority": 1, "sticky": streaming, "resumable": false, "public": false}
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("chat", "llm.example", "/chat/", "streaming", "engines", 1, 5000, 1500),
			route("read", "app.example", "/read/", "idempotent", "app", 2, 1000, 100),
			route("book", "app.example", "/book/", "non_idempotent", "app", 1, 5000, 500),
		},
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/healthz", "engine": map[string]any{"slots": 64, "kvCapacityTokens": 146957, "kvTokenBytes": 18432, "linkMbps": 180000.0, "models": []any{map[string]any{"name": "m0"}}}},
			map[string]any{"name": "app", "healthPath": "/healthz"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
		"tenants": tenants,
	}
}
