// Package responder writes the answer to one request on a caller's connection.
package responder

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"wisteriadrum/framer"
)

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 5 * time.Second

// Responder writes one answer.
type Responder struct {
	conn  net.Conn
	now   func() time.Time
	last  bool
	old   bool
	begun bool
	ended bool
	err   error
}

// New returns a responder on conn for a request with that head; last makes
// the connection end with the answer.
func New(conn net.Conn, head *framer.Head, now func() time.Time, last bool) *Responder {
	return &Responder{conn: conn, now: now, last: last || head != nil && head.Close, old: head != nil && head.HTTP10}
}

// WriteAnswer writes a whole answer.
func (r *Responder) WriteAnswer(status int, fields []framer.Field, body []byte, withBody bool) {
	buffer := r.head(status, fields)
	if status != http.StatusNoContent && status != http.StatusNotModified && withBody {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if withBody {
		buffer = append(buffer, body...)
	}
	r.begun, r.ended = true, true
	r.write(buffer)
}

// BeginStream writes the head of an answer whose body follows in pieces.
func (r *Responder) BeginStream(status int, fields []framer.Field, first []byte) {
	r.last = r.last || r.old
	buffer := r.head(status, fields)
	if !r.old {
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	r.begun = true
	r.write(r.chunk(buffer, first))
}

// WriteChunk writes a piece of the body.
func (r *Responder) WriteChunk(data []byte) { r.write(r.chunk(nil, data)) }

// EndStream marks the body as complete.
func (r *Responder) EndStream() {
	r.ended = true
	if !r.old {
		r.write([]byte("0\r\n\r\n"))
	}
}

// Begun reports whether any part of the answer was written.
func (r *Responder) Begun() bool { return r.begun }

// Complete reports whether the answer was written whole.
func (r *Responder) Complete() bool { return r.ended && r.err == nil }

// Reusable reports whether the connection may carry another request.
func (r *Responder) Reusable() bool { return r.Complete() && !r.last }

// Err returns the error of the first write that failed.
func (r *Responder) Err() error { return r.err }

func (r *Responder) head(status int, fields []framer.Field) []byte {
	buffer := make([]byte, 0, 1024)
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, http.StatusText(status)...)
	buffer = append(buffer, "\r\n"...)
	for _, field := range fields {
		buffer = append(buffer, field.Name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, field.Value...)
		buffer = append(buffer, "\r\n"...)
	}
	if r.last {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return buffer
}

func (r *Responder) chunk(buffer, data []byte) []byte {
	if len(data) == 0 {
		return buffer
	}
	if r.old {
		return append(buffer, data...)
	}
	buffer = strconv.AppendInt(buffer, int64(len(data)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, data...)
	return append(buffer, "\r\n"...)
}

func (r *Responder) write(data []byte) {
	if r.err != nil || len(data) == 0 {
		return
	}
	if r.err = r.conn.SetWriteDeadline(r.now().Add(writeTimeout)); r.err != nil {
		return
	}
	_, r.err = r.conn.Write(data)
}
