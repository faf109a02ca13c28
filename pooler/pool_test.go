package pooler_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/pooler"
)

// closing is a connection that counts when it is closed.
type closing struct {
	net.Conn
	closed *int
}

func (c closing) Close() error {
	*c.closed++
	return c.Conn.Close()
}

// Guards against connections to endpoints that have left, which stay open until the process
// has no descriptor left (review/4): no request goes to their addresses any more.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	now, closed := time.Unix(1000, 0), 0
	dial := func(string) (net.Conn, error) {
		near, _ := net.Pipe()
		return closing{near, &closed}, nil
	}
	pool := pooler.New(dial, func() time.Time { return now })
	for _, address := range []string{"a", "a", "b"} {
		conn, err := pool.Get(address, true)
		assert.NilError(t, err)
		pool.Put(address, conn, now.Add(map[string]time.Duration{"a": 5 * time.Second, "b": time.Hour}[address]))
	}
	pool.CloseExpired()
	assert.Equal(t, closed, 0)
	now = now.Add(10 * time.Second)
	pool.CloseExpired()
	assert.Equal(t, closed, 2)
	kept, err := pool.Get("b", false)
	assert.NilError(t, err)
	assert.Assert(t, kept.Reused)
	pool.Put("b", kept, time.Time{})
	now = now.Add(time.Minute)
	pool.CloseExpired()
	assert.Equal(t, closed, 3)
}
