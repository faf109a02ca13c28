// Package meter counts the bytes sent and received on a connection.
package meter

import (
	"net"

	"wisteriadrum/counter"
)

type countingConn struct {
	net.Conn
	count *counter.Counter
	group string
}

// New returns a connection that counts the bytes sent and received on inner under
// group.
func New(inner net.Conn, count *counter.Counter, group string) net.Conn {
	return &countingConn{Conn: inner, count: count, group: group}
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.count.AddMany(c.group, "received-bytes", n)
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.AddMany(c.group, "sent-bytes", n)
	return n, err
}
