package launcher_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/chunker"
	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
	"wisteriadrum/prompter"
)

// open starts a deployment of one data centre that ends with the test.
func open(t *testing.T, change func(*launcher.Options)) *launcher.Deployment {
	t.Helper()
	options := launcher.Options{
		DataCentres: []string{"a"}, Instances: 1, Engines: 2, Services: 2, Workspaces: 2, Log: zap.NewNop(),
		Engine: inferrer.Options{Weights: "v1", Piece: 100, Pieces: 1000, PrefillPerByte: 1000, TimePerToken: 2000},
	}
	if change != nil {
		change(&options)
	}
	stage, err := launcher.New(options)
	assert.NilError(t, err)
	t.Cleanup(stage.Close)
	return stage
}

// answer is what a caller received.
type answer struct {
	status   int
	verdict  string
	text     string
	complete bool   // the closing event or the whole body came
	code     string // of a refusal or an error event
	last     string // id of the last event
}

type request struct {
	target, path, body, key, last string
	workspace                     int
}

func send(t *testing.T, r request) (*http.Response, error) {
	t.Helper()
	call, err := http.NewRequest(http.MethodPost, "http://"+r.target+r.path, bytes.NewReader([]byte(r.body)))
	assert.NilError(t, err)
	call.Header.Set("Authorization", "Bearer "+launcher.WorkspaceKey(r.workspace))
	if r.key != "" {
		call.Header.Set("Idempotency-Key", r.key)
	}
	if r.last != "" {
		call.Header.Set("Last-Event-ID", r.last)
	}
	return (&http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(call)
}

// call sends a request and reads its answer to the end.
func call(t *testing.T, r request) answer {
	t.Helper()
	response, err := send(t, r)
	if err != nil {
		return answer{code: "unreachable"}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, verdict: response.Header.Get("X-Verdict"), complete: err == nil, text: string(body)}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		readStream(&got)
	}
	if got.status != http.StatusOK {
		got.code, _ = refusal(got.text)
	}
	return got
}

func refusal(text string) (code, verdict string) {
	var wire struct {
		Error struct{ Code, Verdict string }
	}
	_ = json.Unmarshal([]byte(text), &wire) // an unreadable one has no code
	return wire.Error.Code, wire.Error.Verdict
}

func readStream(got *answer) {
	got.complete = false
	lines := strings.Split(got.text, "\n")
	got.text = ""
	failing := false
	for _, line := range lines {
		failing = failing || line == "event: error"
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.last = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failing:
			got.code, got.verdict = refusal(data)
		case data == chunker.Done:
			got.complete = true
		default:
			chunk, err := chunker.New(data)
			if err == nil {
				got.text += chunk.Text()
			}
		}
	}
}

func prompt(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"lingua","prompt":%q,"max_tokens":%d,"stream":%t}`, text, tokens, stream)
}

func reference(t *testing.T, body string) string {
	t.Helper()
	parsed, err := prompter.New([]byte(body), false)
	assert.NilError(t, err)
	return inferrer.Generate(parsed)
}
