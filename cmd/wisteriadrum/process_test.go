package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/booker"
	"wisteriadrum/emulator"
	"wisteriadrum/launcher"
	"wisteriadrum/operator"
)

var binaries string // directory of the programs under test

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "wisteriadrum")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "wisteriadrum/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// startProgram starts a program that is killed by its process ID at the end of
// the test.
func startProgram(t *testing.T, program string, arguments ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, program), arguments...)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT) // it may be suspended or have exited
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// system is a deployment under test whose parts run as separate processes.
type system struct {
	platform, engine, service string
	callers, operators        []string
	settings                  []string
	instances                 []*exec.Cmd
}

func startSystem(t *testing.T, instances int) *system {
	t.Helper()
	s := &system{platform: launcher.FreeAddress(), engine: launcher.FreeAddress(), service: launcher.FreeAddress()}
	startProgram(t, "standin", "platform", "--listen", s.platform, "--pace", "0")
	startProgram(t, "standin", "engine", "--listen", s.engine, "--per-token", "20000")
	startProgram(t, "standin", "service", "--listen", s.service)
	for _, address := range []string{s.platform, s.engine, s.service} {
		waitFor(t, func() bool {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		})
	}
	folder := t.TempDir()
	var peers []string
	for i := range instances {
		caller, operator, peer := launcher.FreeAddress(), launcher.FreeAddress(), launcher.FreeAddress()
		settings := fmt.Sprintf(`{"name":"node-%d","data_centre":"a","caller":%q,"operator":%q,"peer":%q,"table":%q,"objects":%q,"list":%q,"peers":[%s]}`,
			i, caller, operator, peer, s.platform, s.platform, s.platform, strings.Join(peers, ","))
		file := filepath.Join(folder, fmt.Sprintf("node-%d.json", i))
		assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
		peers = append(peers, fmt.Sprintf("%q", peer))
		s.callers, s.operators, s.settings = append(s.callers, caller), append(s.operators, operator), append(s.settings, file)
		s.instances = append(s.instances, startProgram(t, "wisteriadrum", "serve", file))
	}
	config := fmt.Sprintf(`{
		"data_centres":[{"name":"a"}],
		"models":[{"name":"lingua","versions":["v1"]}],
		"pools":[{"name":"hall","kind":"engine","model":"lingua","version":"v1"},{"name":"office","kind":"service"}],
		"endpoints":[{"name":"e","pool":"hall","data_centre":"a","address":%q},{"name":"s","pool":"office","data_centre":"a","address":%q}],
		"workspaces":[{"name":"w","key":%q}],
		"routes":[{"name":"contracts","pool":"hall","model":"lingua"},{"name":"booking","pool":"office","prefix":"/book","once":true}]}`,
		s.engine, s.service, "d5ead6fdd3d16630aad4f07f5e49486337a42e58fb4eef0deaabb814c003b134")
	file := filepath.Join(folder, "set.json")
	assert.NilError(t, os.WriteFile(file, []byte(config), 0o600))
	s.waitHealthy(t)
	output, err := exec.Command(filepath.Join(binaries, "wisteriadrum"), "publish", "--operator", s.operators[0], file).CombinedOutput()
	assert.NilError(t, err, string(output))
	for i := range s.operators {
		waitFor(t, func() bool { return s.ready(i) })
	}
	return s
}

func (s *system) waitHealthy(t *testing.T) {
	for _, address := range s.operators {
		waitFor(t, func() bool {
			response, err := http.Get("http://" + address + "/healthz")
			if err == nil {
				_ = response.Body.Close()
			}
			return err == nil
		})
	}
}

func (s *system) ready(i int) bool {
	response, err := http.Get("http://" + s.operators[i] + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) setFaults(t *testing.T, address string, faults any) {
	t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(t, err)
	response, err := http.Post("http://"+address+"/fault", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	_ = response.Body.Close()
}

func (s *system) runs(t *testing.T) map[string]int {
	t.Helper()
	response, err := http.Get("http://" + s.service + "/runs")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	runs := map[string]int{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

type httpResult struct {
	status  int
	verdict string
	text    string
}

// post sends a request with the idempotency key "k". It returns a result with
// status 0 if there was no complete response.
func (s *system) post(i int, path, body string) httpResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.callers[i]+path, strings.NewReader(body))
	if err != nil {
		return httpResult{}
	}
	request.Header.Set("Authorization", "Bearer key-0")
	request.Header.Set("Idempotency-Key", "k")
	response, err := (&http.Client{Timeout: time.Minute}).Do(request)
	if err != nil {
		return httpResult{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return httpResult{}
	}
	return httpResult{status: response.StatusCode, verdict: response.Header.Get("X-Verdict"), text: string(text)}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 20 s")
		}
	}
}

// Guards against a double run after an instance is killed between claim, send
// and answer: resends through any instance must not run the booking again, and
// the restarted instance must become ready.
func TestInstanceKilled(t *testing.T) {
	cases := map[string]struct {
		platform emulator.Faults
		service  booker.Faults
		runs     int
	}{
		"between claim and send":  {platform: emulator.Faults{AnswerDelayMillis: 1500}},
		"between send and answer": {service: booker.Faults{DelayMillis: 1000}, runs: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, 2)
			s.setFaults(t, s.platform, c.platform)
			s.setFaults(t, s.service, c.service)
			go s.post(0, "/book", "slot")
			time.Sleep(500 * time.Millisecond)
			assert.NilError(t, s.instances[0].Process.Kill())
			_ = s.instances[0].Wait()
			s.setFaults(t, s.platform, emulator.Faults{})
			time.Sleep(time.Second)
			for _, resend := range []httpResult{s.post(1, "/book", "slot"), s.post(1, "/book", "slot")} {
				assert.Equal(t, resend.verdict, "may-have-run", resend.text)
			}
			assert.Equal(t, s.runs(t)["slot"], c.runs)
			startProgram(t, "wisteriadrum", "serve", s.settings[0])
			waitFor(t, func() bool { return s.ready(0) })
			assert.Equal(t, s.post(0, "/book", "slot").verdict, "may-have-run")
			assert.Equal(t, s.runs(t)["slot"], c.runs)
		})
	}
}

// Guards against a double run after a process pause: an instance is suspended
// after its claim, the deadline for sending passes, and another instance handles
// the resend. The resumed instance must not send the booking.
func TestInstanceFrozen(t *testing.T) {
	s := startSystem(t, 2)
	s.setFaults(t, s.platform, emulator.Faults{AnswerDelayMillis: 700})
	first := make(chan httpResult, 1)
	go func() { first <- s.post(0, "/book", "slot") }()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, s.instances[0].Process.Signal(syscall.SIGSTOP))
	s.setFaults(t, s.platform, emulator.Faults{})
	second := make(chan httpResult, 1)
	go func() { second <- s.post(1, "/book", "slot") }()
	time.Sleep(12 * time.Second)
	assert.NilError(t, s.instances[0].Process.Signal(syscall.SIGCONT))
	firstResult, secondResult := <-first, <-second
	runs := s.runs(t)["slot"]
	assert.Assert(t, runs <= 1, "ran %d times", runs)
	if firstResult.verdict == "not-run" && secondResult.verdict == "not-run" {
		assert.Equal(t, runs, 0)
	}
	third := s.post(1, "/book", "slot")
	assert.Assert(t, s.runs(t)["slot"] <= 1)
	assert.Assert(t, third.verdict != "not-run" || s.runs(t)["slot"] == 0, "%v %v %v", firstResult, secondResult, third)
}

// On SIGTERM an instance must finish its requests in flight and then exit
// successfully.
func TestPlannedStop(t *testing.T) {
	s := startSystem(t, 1)
	answers := make(chan httpResult, 5)
	body := `{"model":"lingua","prompt":"a","max_tokens":200}`
	for range cap(answers) {
		go func() { answers <- s.post(0, "/v1/completions", body) }()
	}
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, s.instances[0].Process.Signal(syscall.SIGTERM))
	waitFor(t, func() bool { return !s.ready(0) })
	for range cap(answers) {
		got := <-answers
		assert.Equal(t, got.status, http.StatusOK, got.text)
	}
	assert.NilError(t, s.instances[0].Wait())
}

// A second SIGTERM must abort the requests in flight instead of waiting for
// them; a booking that was already sent is reported as may-have-run.
func TestSecondSignal(t *testing.T) {
	s := startSystem(t, 1)
	s.setFaults(t, s.service, booker.Faults{DelayMillis: 30000})
	got := make(chan httpResult, 1)
	go func() { got <- s.post(0, "/book", "slot") }()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, s.instances[0].Process.Signal(syscall.SIGTERM))
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, s.instances[0].Process.Signal(syscall.SIGTERM))
	answer := <-got
	assert.Equal(t, answer.verdict, "may-have-run", answer.text)
	_ = s.instances[0].Wait()
}

// Guards against a booking that the end of the grace period cuts off: one that is in
// progress is reported as may-have-run, and one that could last longer is not sent.
func TestGracePeriod(t *testing.T) {
	s := startSystem(t, 1)
	s.restartWithGrace(t, 4000)
	s.setFaults(t, s.service, booker.Faults{DelayMillis: 30000})
	got := make(chan httpResult, 1)
	go func() { got <- s.post(0, "/book", "slot") }()
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	assert.NilError(t, s.instances[0].Process.Signal(syscall.SIGTERM))
	waitFor(t, func() bool { return !s.ready(0) })
	late := s.post(0, "/book", "late")
	assert.Equal(t, late.status, http.StatusServiceUnavailable)
	assert.Equal(t, late.verdict, "not-run")
	assert.Equal(t, (<-got).verdict, "may-have-run")
	assert.NilError(t, s.instances[0].Wait())
	assert.Assert(t, time.Since(stoppedAt) < 4*time.Second)
	assert.Equal(t, s.runs(t)["late"], 0)
}

// restartWithGrace kills the first instance and starts it with another grace period.
func (s *system) restartWithGrace(t *testing.T, millis int) {
	t.Helper()
	assert.NilError(t, s.instances[0].Process.Kill())
	_ = s.instances[0].Wait()
	settings, err := os.ReadFile(s.settings[0])
	assert.NilError(t, err)
	settings = bytes.Replace(settings, []byte("{"), fmt.Appendf(nil, `{"grace":%d,`, millis), 1)
	assert.NilError(t, os.WriteFile(s.settings[0], settings, 0o600))
	s.instances[0] = startProgram(t, "wisteriadrum", "serve", s.settings[0])
	waitFor(t, func() bool { return s.ready(0) })
}

// Scripts depend on the exit status and the message of each kind of failure.
func TestExitStatuses(t *testing.T) {
	s := startSystem(t, 1)
	folder := t.TempDir()
	faulty, good := filepath.Join(folder, "faulty.json"), filepath.Join(folder, "good.json")
	assert.NilError(t, os.WriteFile(faulty, []byte("{\n  \"pools\": [{\"name\": 1}],\n  \"what\": 1\n}"), 0o600))
	assert.NilError(t, os.WriteFile(good, []byte(`{"data_centres":[{"name":"a"}]}`), 0o600))
	cases := []struct {
		arguments []string
		status    int
		output    string
	}{
		{[]string{"version"}, 0, "wisteriadrum"},
		{[]string{"nonsense"}, 2, "unexpected argument"},
		{[]string{"check", good}, 0, "is valid"},
		{[]string{"check", faulty}, 3, "line 2: pools[0].name"},
		{[]string{"check", faulty}, 3, "line 3: what: unknown field"},
		{[]string{"serve", good}, 3, "data_centres: unknown field"},
		{[]string{"publish", "--operator", s.operators[0], faulty}, 3, "line 3"},
		{[]string{"publish", "--operator", s.operators[0], "--base", "0", good}, 4, "number 1 is in force"},
		{[]string{"stop", "--operator", s.operators[0], "nobody"}, 1, "no endpoint or instance"},
		{[]string{"stop", "--operator", s.operators[0], "e"}, 0, "{}"},
	}
	for _, c := range cases {
		output, err := exec.Command(filepath.Join(binaries, "wisteriadrum"), c.arguments...).CombinedOutput()
		status := 0
		if err != nil {
			status = err.(*exec.ExitError).ExitCode()
		}
		assert.Equal(t, status, c.status, "%v: %s", c.arguments, output)
		assert.Assert(t, strings.Contains(string(output), c.output), "%v: %s", c.arguments, output)
	}
	s.setFaults(t, s.platform, emulator.Faults{Down: true})
	command := exec.Command(filepath.Join(binaries, "wisteriadrum"), "publish", "--operator", s.operators[0], good)
	assert.ErrorContains(t, command.Run(), "exit status 5")
	var status operator.Status
	response, err := http.Get("http://" + s.operators[0] + "/status")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&status))
	assert.Equal(t, status.Number, uint64(1))
}
