// Package weigher bounds the memory of the gob messages that connections of net/rpc
// receive, each of which the decoder reads whole.
package weigher

import (
	"context"
	"net"
	"time"

	"wisteriadrum/allotter"
)

const (
	// unweighedBytes is the size up to which a message is not accounted for.
	unweighedBytes = 4 << 10
	// copies is how many times the bytes of a message may be in memory: as they are
	// received and as they are decoded.
	copies = 2
	// maxWait bounds the wait for the memory of a message. Calls fail in about this time.
	maxWait = time.Second
	// maxLengthBytes is the size of the largest length of a message.
	maxLengthBytes = 8
)

// Weigher accounts for the messages of connections.
type Weigher struct {
	received *allotter.Allotter
}

// New returns a weigher that takes the memory of messages from received.
func New(received *allotter.Allotter) *Weigher { return &Weigher{received: received} }

// Conn returns conn, whose messages are accounted for. A message for which there is no
// memory closes it.
func (w *Weigher) Conn(conn net.Conn) net.Conn {
	return &weighed{Conn: conn, received: w.received}
}

// Dial returns a function that opens such connections with dial.
func (w *Weigher) Dial(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return w.Conn(conn), nil
	}
}

// Listener returns listener, which accepts such connections.
func (w *Weigher) Listener(listener net.Listener) net.Listener {
	return &weighedListener{Listener: listener, weigher: w}
}

type weighedListener struct {
	net.Listener
	weigher *Weigher
}

func (l *weighedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.weigher.Conn(conn), nil
}

// weighed is a connection whose received messages are accounted for.
type weighed struct {
	net.Conn
	received *allotter.Allotter
	// lengthBytes is how many bytes of the length of the next message are missing, length
	// what is known of it.
	lengthBytes int
	length      uint64
	// remaining is how many bytes of the current message are missing, arrived how many
	// have arrived, and share its memory, nil if it has none.
	remaining uint64
	arrived   int
	share     *allotter.Share
}

// Read reads and accounts for what arrives. It must not be called concurrently.
func (c *weighed) Read(buffer []byte) (int, error) {
	if c.remaining == 0 {
		c.release() // the decoder reads on after it has decoded a message
	}
	n, err := c.Conn.Read(buffer)
	for data := buffer[:n]; len(data) > 0; {
		if c.remaining == 0 {
			c.readLength(data[0])
			data = data[1:]
			continue
		}
		part := int(min(uint64(len(data)), c.remaining))
		if weighErr := c.weigh(part); weighErr != nil {
			_ = c.Close()
			return 0, weighErr
		}
		c.remaining -= uint64(part)
		data = data[part:]
	}
	if err != nil {
		c.release()
	}
	return n, err
}

// readLength adds a byte of the length of a message. The first one is the length if it is
// below 128, and otherwise the negated number of bytes that follow.
func (c *weighed) readLength(next byte) {
	switch {
	case c.lengthBytes == 0 && next < 1<<7:
		c.begin(uint64(next))
	case c.lengthBytes == 0:
		c.lengthBytes = min(-int(int8(next)), maxLengthBytes) // the decoder rejects longer ones
	default:
		c.length = c.length<<8 | uint64(next)
		if c.lengthBytes--; c.lengthBytes == 0 {
			c.begin(c.length)
		}
	}
}

// begin begins a message.
func (c *weighed) begin(length uint64) {
	c.release()
	c.length, c.remaining, c.arrived = 0, length, 0
}

// weigh accounts for bytes of the current message.
func (c *weighed) weigh(bytes int) error {
	before := max(c.arrived, unweighedBytes)
	c.arrived += bytes
	if c.arrived <= before {
		return nil
	}
	if c.share == nil {
		c.share = c.received.Open(context.Background(), time.Now().Add(maxWait), func() { _ = c.Close() })
	}
	return c.share.Grow(copies * (c.arrived - before))
}

// release returns the memory of the message before.
func (c *weighed) release() {
	if c.share != nil {
		c.share.Close()
		c.share = nil
	}
}
