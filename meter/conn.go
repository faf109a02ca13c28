// Package meter counts the bytes that cross a connection.
package meter

import (
	"net"

	"wisteriadrum/counter"
)

type conn struct {
	net.Conn
	count *counter.Counter
	group string
}

// New returns inner with its bytes counted under group, as sent and received.
func New(inner net.Conn, count *counter.Counter, group string) net.Conn {
	return &conn{Conn: inner, count: count, group: group}
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.count.AddMany(c.group, "received-bytes", n)
	return n, err
}

func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.AddMany(c.group, "sent-bytes", n)
	return n, err
}
