package asker_test

import (
	"io"
	"net"
	"net/rpc"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/asker"
)

// Answers is an RPC service.
type Answers struct{}

// Get answers a number with a text.
func (Answers) Get(_ int, answer *string) error {
	*answer = "text"
	return nil
}

// cutting is a connection that ends after some bytes were received.
type cutting struct {
	net.Conn
	left int
}

func (c *cutting) Read(buffer []byte) (int, error) {
	if c.left == 0 {
		_ = c.Close()
		return 0, io.EOF
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), c.left)])
	c.left -= n
	return n, err
}

// Guards against a part of the answer of another instance that is taken for a whole one.
func TestCutAnswers(t *testing.T) {
	const wholeBytes = 4096 // more than an answer has
	isWhole := false
	for received := 0; received < wholeBytes && !isWhole; received++ {
		server := rpc.NewServer()
		assert.NilError(t, server.RegisterName("Answers", Answers{}))
		ask := asker.New("Answers.Get", func(string) (net.Conn, error) {
			near, far := net.Pipe()
			go server.ServeConn(far)
			return &cutting{near, received}, nil
		})
		answer := ""
		err := ask.Ask("a", 1, 7, &answer)
		isWhole = err == nil
		assert.Equal(t, isWhole, answer == "text", "%d bytes, %v", received, err)
	}
	assert.Assert(t, isWhole)
}
