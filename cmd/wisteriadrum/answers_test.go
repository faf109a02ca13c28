package main_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/framer"
)

// serveBroken answers the head of each request on a new listener with answer, without reading
// its body, and ends the connection, with a reset if resets is set.
func serveBroken(t *testing.T, answer string, resets bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			if _, err := framer.ReadRequest(bufio.NewReaderSize(conn, 1024), 1<<16); err == nil {
				_, _ = conn.Write([]byte(answer))
			}
			if resets {
				time.Sleep(3 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against a broken answer that a command prints as a whole one.
func TestBrokenAnswersToCommands(t *testing.T) {
	const tries = 5
	large := filepath.Join(t.TempDir(), "large.json")
	assert.NilError(t, os.WriteFile(large, make([]byte, 8<<20), 0o600))
	for name, test := range map[string]struct {
		answer string
		resets bool
	}{
		"no length, reset":   {"HTTP/1.1 200 OK\r\n\r\n{}", true},
		"no length, closed":  {"HTTP/1.1 200 OK\r\n\r\n{}", false},
		"HTTP/1.0, reset":    {"HTTP/1.0 200 OK\r\n\r\n{}", true},
		"length, closed":     {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", false},
		"chunks, closed":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false},
		"too large":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{}%s", 17<<20, strings.Repeat(" ", 17<<20-2)), false},
		"status 000":         {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", false},
		"blank in a name":    {"HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 2\r\n\r\n{}", false},
		"blank after a name": {"HTTP/1.1 200 OK\r\nX-Foo : 1\r\nContent-Length: 2\r\n\r\n{}", false},
		"control byte":       {"HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\nContent-Length: 2\r\n\r\n{}", false},
		"tab in a name":      {"HTTP/1.1 200 OK\r\nX\tFoo: 1\r\nContent-Length: 2\r\n\r\n{}", false},
		"byte above ASCII":   {"HTTP/1.1 200 OK\r\nX\xe9Foo: 1\r\nContent-Length: 2\r\n\r\n{}", false},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveBroken(t, test.answer, test.resets)
			for _, arguments := range [][]string{
				{"publish", "--operator", address, large},
				{"status", "--operator", address},
				{"stop", "--operator", address, "e"},
				{"place", "--metrics", address, "--host", "h.example", "--json", "/"},
			} {
				for range tries {
					output, err := exec.Command(filepath.Join(binaries, "wisteriadrum"), arguments...).Output()
					assert.Assert(t, err != nil, "%v", arguments)
					assert.Equal(t, string(output), "", "%v", arguments)
				}
			}
		})
	}
}
