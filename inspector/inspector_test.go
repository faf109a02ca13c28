package inspector_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"wisteriadrum/inspector"
)

// conn is a connection on which each request is answered with the next of texts.
type conn struct {
	net.Conn
	texts   []string
	answers io.Reader
}

func (c *conn) Write(data []byte) (int, error) {
	c.answers = iotest.OneByteReader(strings.NewReader(c.texts[0]))
	c.texts = c.texts[1:]
	return len(data), nil
}

func (c *conn) Read(buffer []byte) (int, error) { return c.answers.Read(buffer) }

// read sends a request on the connection and returns what is read of its answer.
func read(t *testing.T, inspected *inspector.Inspector) (string, error) {
	t.Helper()
	_, err := inspected.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	text, err := io.ReadAll(inspected)
	return string(text), err
}

// check checks that answers with text are read whole or not at all, as first ones and on a
// connection that has carried an answer.
func check(t *testing.T, answers map[string]bool) {
	t.Helper()
	const earlier = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for text, valid := range answers {
		inspected := inspector.New(&conn{texts: []string{earlier, text, earlier}})
		got, err := read(t, inspected)
		assert.NilError(t, err)
		assert.Equal(t, got, earlier)
		got, err = read(t, inspected)
		assert.Equal(t, err == nil, valid, "%q: %v", text, err)
		if valid {
			assert.Equal(t, got, text)
			continue
		}
		assert.Assert(t, len(got) <= 1, "%q", got)
		_, err = read(t, inspected)
		assert.Assert(t, err != nil)
		_, err = read(t, inspector.New(&conn{texts: []string{text}}))
		assert.Assert(t, err != nil)
	}
}

// Guards against a status below 100 that the HTTP library takes for 200, also behind an
// interim answer or a blank line.
func TestStatuses(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: 000\r\n\r\n"
	check(t, map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n000":                     true,
		"HTTP/1.0 503 X\r\n\r\n":                         true,
		interim + "HTTP/1.1 204 X\r\n\r\n":               true,
		"HTTP/1.1 000 OK\r\n\r\n":                        false,
		"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n": false,
		"HTTP/1.1 099 OK\r\n\r\n":                        false,
		"HTTP/1.1 -20 OK\r\n\r\n":                        false,
		"\r\nHTTP/1.1 000 OK\r\n\r\n":                    false,
		interim + "HTTP/1.1 000 X\r\n\r\n":               false,
		interim + interim + "HTTP/1.1 000 \r\n":          false,
	})
}

// Guards against names of fields that the HTTP library accepts though they are no tokens, and
// against a head that is cut.
func TestHeads(t *testing.T) {
	const line, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	check(t, map[string]bool{
		line + "!#$%&'*+-.^_`|~0aZ:\t1 2\t\r\n\r\nbody":        true,
		interim + "\r\n" + line + "A: \xe9\r\n\r\nB b: 1":      true,
		line + "X Foo: 1\r\n\r\n":                              false,
		line + "X-Foo : 1\r\n\r\n":                             false,
		line + "X-Foo\t: 1\r\n\r\n":                            false,
		line + "X\x01Foo: 1\r\n\r\n":                           false,
		line + "X\x7fFoo: 1\r\n\r\n":                           false,
		line + "X-Foo: 1\r\n 2\r\n\r\n":                        false,
		line + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n":  false,
		line + "Transfer-Encoding: gzip\r\n\r\n":               false,
		line + "X-Foo: " + strings.Repeat("x", 1<<16) + "\r\n": false,
		interim + "X Foo: 1\r\n\r\n" + line + "\r\n":           false,
		line + "X-Foo: 1\r\n":                                  false,
		"HTTP/1.1 200":                                         false,
	})
}
