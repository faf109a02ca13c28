package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriadrum/booker"
	"wisteriadrum/cataloguer"
	"wisteriadrum/director"
	"wisteriadrum/emulator"
	"wisteriadrum/grouper"
	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
)

// recorder records all requests from instances to endpoints except probes.
type recorder struct {
	mu   sync.Mutex
	text strings.Builder
}

type recordingListener struct {
	net.Listener
	name     string
	recorder *recorder
}

type recordingConn struct {
	net.Conn
	name     string
	recorder *recorder
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return recordingConn{Conn: conn, name: l.name, recorder: l.recorder}, err
}

func (c recordingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	text := string(buffer[:n])
	if n > 0 && !strings.HasPrefix(text, "GET /v1/") {
		c.recorder.mu.Lock()
		defer c.recorder.mu.Unlock()
		fmt.Fprintf(&c.recorder.text, "--- to %s\n%s\n", c.name, strings.TrimSpace(text))
	}
	return n, err
}

func (r *recorder) drain() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := r.text.String()
	r.text.Reset()
	return text
}

var substitutions = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "<time>"},
	{regexp.MustCompile(`Retry-After: \d+`), "Retry-After: <seconds>"},
	{regexp.MustCompile(`\r`), ""},
}

func normalize(text string) string {
	for _, s := range substitutions {
		text = s.pattern.ReplaceAllString(text, s.name)
	}
	return text
}

// Guards against unintended changes on the wire: each session, with the bytes
// between caller, instance and endpoint, must equal its golden file.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.in")
	assert.NilError(t, err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".in")
		t.Run(name, func(t *testing.T) {
			input, err := os.ReadFile(file)
			assert.NilError(t, err)
			var session strings.Builder
			recorded := &recorder{}
			deployment := goldenDeployment(t, recorded)
			for _, step := range strings.Split(string(input), "===\n") {
				if fault, ok := strings.CutPrefix(step, "fault "); ok {
					injectFault(t, deployment, strings.TrimSpace(fault))
					continue
				}
				session.WriteString(exchange(t, deployment.CallerAddresses()[0], step))
				session.WriteString(recorded.drain())
				session.WriteString("\n")
			}
			golden.Assert(t, normalize(session.String()), name+".golden")
		})
	}
}

func goldenDeployment(t *testing.T, recorded *recorder) *launcher.Deployment {
	return launch(t, func(o *launcher.Options) {
		o.Engines, o.Services, o.Workspaces = 1, 1, 3
		o.WrapListener = func(name string, inner net.Listener) net.Listener {
			return recordingListener{Listener: inner, name: name, recorder: recorded}
		}
		o.EditConfig = func(config *cataloguer.Config) {
			config.Workspaces[2].Rate, config.Workspaces[2].Burst = 0.001, 1
			config.Pools = append(config.Pools, grouper.Pool{Name: "empty", Kind: grouper.Engine, Model: "lingua", Version: "v1"})
			config.Routes = append(config.Routes,
				director.Route{Name: "secret", Pool: "hall", Model: "secret", Workspaces: []string{"workspace-1"}},
				director.Route{Name: "empty", Pool: "empty", Model: "empty"},
				director.Route{Name: "keyed", Pool: "office", Prefix: "/keyed", AtMostOnce: true, KeyRequired: true},
				director.Route{Name: "hasty", Pool: "office", Prefix: "/hasty", AtMostOnce: true, FirstByteMillis: 300})
		}
	})
}

// injectFault injects the fault with the given name from a session file.
func injectFault(t *testing.T, deployment *launcher.Deployment, name string) {
	t.Helper()
	engine, service := deployment.Engines[0], deployment.Services[0]
	switch name {
	case "platform down":
		deployment.Platform.SetFaults(emulator.Faults{Down: true})
	case "platform up":
		deployment.Platform.SetFaults(emulator.Faults{})
	case "service loses its answer":
		service.SetFaults(booker.Faults{LoseAnswers: 1})
	case "service cuts its answer":
		service.SetFaults(booker.Faults{TruncateAnswers: 1})
	case "service refuses":
		service.SetFaults(booker.Faults{Refuse: 100})
	case "service silent":
		service.SetFaults(booker.Faults{DelayMillis: 3000})
	case "engine has other weights":
		engine.LoadWeights("v2")
	case "engine forgets":
		engine.Crash()
		assert.NilError(t, deployment.RestartEngine(engine))
	case "engine is poisoned":
		engine.SetFaults(inferrer.Faults{Poison: "poison"})
	default:
		t.Fatalf("unknown fault %q", name)
	}
}

// repeatPattern matches a placeholder for a text of the given number of bytes.
var repeatPattern = regexp.MustCompile(`<(\d+) bytes>`)

func expand(body string) string {
	return repeatPattern.ReplaceAllStringFunc(body, func(match string) string {
		size, _ := strconv.Atoi(repeatPattern.FindStringSubmatch(match)[1]) // digits
		return strings.Repeat("x", size)
	})
}

// exchange sends one raw request and returns it together with the response.
func exchange(t *testing.T, address, request string) string {
	t.Helper()
	head, body, _ := strings.Cut(request, "\n\n")
	body = expand(strings.TrimSpace(body))
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	first, rest, _ := strings.Cut(head, "\n")
	raw := first + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
	if rest != "" {
		raw += strings.ReplaceAll(rest, "\n", "\r\n") + "\r\n"
	}
	raw += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err = io.WriteString(conn, raw)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	text := fmt.Sprintf("=== caller\n%s\n--- answer %d\n", strings.TrimSpace(request), response.StatusCode)
	for _, name := range []string{"Content-Type", "X-Verdict", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			text += name + ": " + value + "\n"
		}
	}
	return text + "\n" + strings.TrimSpace(string(answer)) + "\n"
}
