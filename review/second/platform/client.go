package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Outcomes of a request as its client saw them.
const (
	answered     = "answered"
	closedEmpty  = "channel closed without an answer"
	closedMidway = "channel closed in the answer"
	noAnswer     = "no answer within the time limit"
	unsent       = "not sent"
)

// outcome is what a client saw of one request.
type outcome struct {
	id, host       string
	sentAt, doneAt time.Time
	result         string
	status         int
	body           string
	// waits is how long the client waits as the answer tells it, up to a third of its time.
	waits time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("request %s: %s, status %d, %d bytes, after %d ms", o.id, o.result, o.status, len(o.body), o.doneAt.Sub(o.sentAt).Milliseconds())
}

// call is a request of a client.
type call struct {
	id, method, host, path, key string
	model, usage, parts         string
	limit                       time.Duration
}

func (c call) encode() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.limit.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&text, "Authorization: Token %s\r\n", c.key)
	}
	if c.model != "" {
		fmt.Fprintf(&text, "X-Model: %s\r\nX-Token-Usage: %s\r\nX-Prefix-Hash: %s\r\n", c.model, c.usage, c.parts)
	}
	if c.method == http.MethodPost {
		text.WriteString("Content-Length: 0\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

// channel is a kept connection of a client.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a channel, within the second that clients allow.
func connect(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer. The channel can be used again if keep is true.
func (c *channel) do(request call) (seen outcome, keep bool) {
	seen = outcome{id: request.id, host: request.host, sentAt: time.Now()}
	defer func() { seen.doneAt = time.Now() }()
	_ = c.conn.SetDeadline(seen.sentAt.Add(request.limit)) // reading reports it
	if _, err := io.WriteString(c.conn, request.encode()); err != nil {
		seen.result = unsent
		return seen, false
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: request.method})
	if err != nil {
		seen.result = closedEmpty
		if isTimeout(err) {
			seen.result = noAnswer
		}
		return seen, false
	}
	defer answer.Body.Close() //nolint:errcheck // the connection is closed by the caller
	body, err := io.ReadAll(answer.Body)
	seen.status, seen.body = answer.StatusCode, string(body)
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		seen.waits = min(time.Duration(seconds*float64(time.Second)), request.limit/3)
	}
	if err != nil {
		seen.result = closedMidway
		if isTimeout(err) {
			seen.result = noAnswer
		}
		return seen, false
	}
	seen.result = answered
	return seen, !answer.Close
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
