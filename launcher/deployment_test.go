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

// launch starts a deployment, by default with one data centre, that is closed at
// the end of the test.
func launch(t *testing.T, configure func(*launcher.Options)) *launcher.Deployment {
	t.Helper()
	options := launcher.Options{
		DataCentres: []string{"a"}, Instances: 1, Engines: 2, Services: 2, Workspaces: 2, Log: zap.NewNop(),
		Engine: inferrer.Options{Weights: "v1", PieceBytes: 100, CachePieces: 1000, PrefillNanosPerByte: 1000, MicrosPerToken: 2000},
	}
	if configure != nil {
		configure(&options)
	}
	deployment, err := launcher.New(options)
	assert.NilError(t, err)
	t.Cleanup(deployment.Close)
	return deployment
}

// answer is what a caller received.
type answer struct {
	status   int
	verdict  string
	text     string
	complete bool   // the closing event or the whole body was received
	code     string // of a refusal or an error event
	last     string // ID of the last event
}

type request struct {
	target, path, body, key, last string
	workspace                     int
}

func send(t *testing.T, r request) (*http.Response, error) {
	t.Helper()
	httpRequest, err := http.NewRequest(http.MethodPost, "http://"+r.target+r.path, bytes.NewReader([]byte(r.body)))
	assert.NilError(t, err)
	httpRequest.Header.Set("Authorization", "Bearer "+launcher.WorkspaceKey(r.workspace))
	if r.key != "" {
		httpRequest.Header.Set("Idempotency-Key", r.key)
	}
	if r.last != "" {
		httpRequest.Header.Set("Last-Event-ID", r.last)
	}
	return (&http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(httpRequest)
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
		got.code, _ = parseError(got.text)
	}
	return got
}

func parseError(text string) (code, verdict string) {
	var wire struct {
		Error struct{ Code, Verdict string }
	}
	_ = json.Unmarshal([]byte(text), &wire) // an unreadable body yields no code
	return wire.Error.Code, wire.Error.Verdict
}

func readStream(got *answer) {
	got.complete = false
	lines := strings.Split(got.text, "\n")
	got.text = ""
	inErrorEvent := false
	for _, line := range lines {
		inErrorEvent = inErrorEvent || line == "event: error"
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.last = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case inErrorEvent:
			got.code, got.verdict = parseError(data)
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
