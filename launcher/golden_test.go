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

// tape records what instances send to endpoints, but for probes.
type tape struct {
	mu   sync.Mutex
	text strings.Builder
}

type taped struct {
	net.Listener
	name string
	tape *tape
}

type tapedConn struct {
	net.Conn
	name string
	tape *tape
}

func (l taped) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return tapedConn{Conn: conn, name: l.name, tape: l.tape}, err
}

func (c tapedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	text := string(buffer[:n])
	if n > 0 && !strings.HasPrefix(text, "GET /v1/") {
		c.tape.mu.Lock()
		defer c.tape.mu.Unlock()
		fmt.Fprintf(&c.tape.text, "--- to %s\n%s\n", c.name, strings.TrimSpace(text))
	}
	return n, err
}

func (t *tape) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := t.text.String()
	t.text.Reset()
	return text
}

var varying = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "<time>"},
	{regexp.MustCompile(`Retry-After: \d+`), "Retry-After: <seconds>"},
	{regexp.MustCompile(`\r`), ""},
}

func steady(text string) string {
	for _, v := range varying {
		text = v.pattern.ReplaceAllString(text, v.name)
	}
	return text
}

// Whole sessions, from the caller's bytes to the endpoint's and back, are as
// in the golden files.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.in")
	assert.NilError(t, err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".in")
		t.Run(name, func(t *testing.T) {
			input, err := os.ReadFile(file)
			assert.NilError(t, err)
			var session strings.Builder
			recorded := &tape{}
			stage := goldenStage(t, recorded)
			for _, one := range strings.Split(string(input), "===\n") {
				if fault, ok := strings.CutPrefix(one, "fault "); ok {
					fail(t, stage, strings.TrimSpace(fault))
					continue
				}
				session.WriteString(exchange(t, stage.CallerAddresses()[0], one))
				session.WriteString(recorded.take())
				session.WriteString("\n")
			}
			golden.Assert(t, steady(session.String()), name+".golden")
		})
	}
}

func goldenStage(t *testing.T, recorded *tape) *launcher.Deployment {
	return open(t, func(o *launcher.Options) {
		o.Engines, o.Services, o.Workspaces = 1, 1, 3
		o.WrapListener = func(name string, inner net.Listener) net.Listener {
			return taped{Listener: inner, name: name, tape: recorded}
		}
		o.EditSet = func(set *cataloguer.Config) {
			set.Workspaces[2].Rate, set.Workspaces[2].Burst = 0.001, 1
			set.Pools = append(set.Pools, grouper.Pool{Name: "empty", Kind: grouper.Engine, Model: "lingua", Version: "v1"})
			set.Routes = append(set.Routes,
				director.Route{Name: "secret", Pool: "hall", Model: "secret", Workspaces: []string{"workspace-1"}},
				director.Route{Name: "empty", Pool: "empty", Model: "empty"},
				director.Route{Name: "keyed", Pool: "office", Prefix: "/keyed", AtMostOnce: true, KeyRequired: true},
				director.Route{Name: "hasty", Pool: "office", Prefix: "/hasty", AtMostOnce: true, FirstByteMillis: 300})
		}
	})
}

// fail brings about a fault by its name.
func fail(t *testing.T, stage *launcher.Deployment, name string) {
	t.Helper()
	engine, service := stage.Engines[0], stage.Services[0]
	switch name {
	case "platform down":
		stage.Platform.SetFaults(emulator.Faults{Down: true})
	case "platform up":
		stage.Platform.SetFaults(emulator.Faults{})
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
		assert.NilError(t, stage.RestartEngine(engine))
	case "engine is poisoned":
		engine.SetFaults(inferrer.Faults{Poison: "poison"})
	default:
		t.Fatalf("no fault is named %q", name)
	}
}

// long stands for a text of so many bytes.
var long = regexp.MustCompile(`<(\d+) bytes>`)

func expand(body string) string {
	return long.ReplaceAllStringFunc(body, func(match string) string {
		size, _ := strconv.Atoi(long.FindStringSubmatch(match)[1]) // digits
		return strings.Repeat("x", size)
	})
}

// exchange sends one request as it stands and returns both sides.
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
