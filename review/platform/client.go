package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method, path, key string
	// stream means that the request is for a model, with a prompt of the given parts.
	stream bool
	parts  string
	limit  time.Duration
}

// outcome is what a client saw of a request.
type outcome struct {
	id       string
	instance string
	sentAt   time.Time
	endedAt  time.Time
	// kept means that the channel had carried an answer before.
	kept bool
	// status is that of the answer, 0 if not even its head arrived. whole means that the
	// answer arrived completely, closed that the channel ended before it did.
	status        int
	whole, closed bool
	// timedOut means that the client stopped waiting.
	timedOut bool
	err      error
	// leaving is the name of the worker if it said in its answer that it leaves.
	leaving string
}

// channel is a client's channel to an instance.
type channel struct {
	scene    *scene
	instance *instance
	conn     net.Conn
	reader   *bufio.Reader
	used     bool
}

// lastID is the number of the last request.
var lastID atomic.Int64

func (s *scene) newChannel(i *instance) *channel { return &channel{scene: s, instance: i} }

// send sends a request over the channel, which is opened if it is not, and returns what
// became of it.
func (c *channel) send(r request) outcome {
	o := outcome{id: fmt.Sprintf("r%06d", lastID.Add(1)), instance: c.instance.name, sentAt: time.Now()}
	defer func() {
		c.scene.note("answer", "%s from %s kept=%t status=%d whole=%t closed=%t timeout=%t after %d ms %v", o.id, o.instance, o.kept, o.status, o.whole, o.closed, o.timedOut, o.endedAt.Sub(o.sentAt).Milliseconds(), o.err)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.instance.front(), time.Second)
		if err != nil {
			o.err, o.endedAt = err, time.Now()
			return o
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	o.kept = c.used
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, o.id, r.limit.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&text, "Authorization: Token %s\r\n", r.key)
	}
	if r.stream {
		fmt.Fprintf(&text, "X-Model: %s\r\nX-Token-Usage: 400,20\r\nX-Prefix-Hash: %s\r\n", model, r.parts)
	}
	if r.method == http.MethodPost {
		text.WriteString("Content-Length: 4\r\n")
	}
	text.WriteString("\r\n")
	if r.method == http.MethodPost {
		text.WriteString("body")
	}
	c.scene.note("send", "%s to %s %s %s key=%q", o.id, o.instance, r.method, r.path, r.key)
	_ = c.conn.SetDeadline(o.sentAt.Add(r.limit))
	_, err := c.conn.Write([]byte(text.String()))
	if err == nil {
		err = c.read(&o)
	}
	o.endedAt = time.Now()
	if err == nil {
		o.whole, c.used = true, true
		return o
	}
	o.err = err
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		o.timedOut = true
	} else {
		o.closed = true
	}
	c.close()
	return o
}

// read reads the answer.
func (c *channel) read(o *outcome) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	o.status = response.StatusCode
	if response.Header.Get("Server-Leaving") == "1" {
		o.leaving = response.Header.Get("X-Instance-Id")
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		defer c.close()
	}
	return nil
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
