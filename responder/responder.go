// Package responder writes the answer to one request on a caller's connection.
package responder

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"wisteriadrum/framer"
)

const (
	// writeTimeout limits the write of one piece to a caller that does not read.
	writeTimeout = 5 * time.Second
	// pieceBytes is the size of the pieces in which an answer is written. A caller that reads
	// slowly, but goes on, gets all of them.
	pieceBytes = 64 << 10
)

// copiedBytes is the size up to which a body is copied behind its head, to send both in one
// packet.
const copiedBytes = 16 << 10

// Responder writes one answer.
type Responder struct {
	conn       net.Conn
	now        func() time.Time
	closeAfter bool
	http10     bool
	headOnly   bool // the answer to HEAD has no body
	begun      bool
	ended      bool
	err        error
	aborted    atomic.Bool
	written    atomic.Int64
}

// New returns a responder on conn for a request with the given head, or nil for
// an unreadable one. If closeAfter is set, the connection is closed after the
// answer.
func New(conn net.Conn, head *framer.Head, now func() time.Time, closeAfter bool) *Responder {
	if head == nil {
		head = &framer.Head{}
	}
	return &Responder{conn: conn, now: now, closeAfter: closeAfter || head.Close, http10: head.HTTP10, headOnly: head.Method == http.MethodHead}
}

// WriteAnswer writes a complete answer, without the body if the request is HEAD.
func (r *Responder) WriteAnswer(status int, fields []framer.Field, body []byte) {
	buffer := r.encodeHead(status, fields)
	if status != http.StatusNoContent && status != http.StatusNotModified && !r.headOnly {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	r.begun, r.ended = true, true
	switch {
	case r.headOnly:
		r.write(buffer)
	case len(body) <= copiedBytes:
		r.write(append(buffer, body...))
	default:
		r.write(buffer, body)
	}
}

// BeginStream writes the head of an answer and the first data of its body.
func (r *Responder) BeginStream(status int, fields []framer.Field, first []byte) {
	r.closeAfter = r.closeAfter || r.http10
	buffer := r.encodeHead(status, fields)
	if !r.http10 {
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	r.begun = true
	r.write(r.appendChunk(buffer, first))
}

// WriteChunk writes more data of the body.
func (r *Responder) WriteChunk(data []byte) { r.write(r.appendChunk(nil, data)) }

// EndStream marks the body as complete.
func (r *Responder) EndStream() {
	r.ended = true
	if !r.http10 {
		r.write([]byte("0\r\n\r\n"))
	}
}

// Begun reports whether writing the answer has started.
func (r *Responder) Begun() bool { return r.begun }

// Complete reports whether the whole answer was written.
func (r *Responder) Complete() bool { return r.ended && r.err == nil }

// Reusable reports whether the connection can be used for another request.
func (r *Responder) Reusable() bool { return r.Complete() && !r.closeAfter }

// Err returns the error of the first failed write.
func (r *Responder) Err() error { return r.err }

// encodeHead returns the status line and the header fields, without the final blank line.
func (r *Responder) encodeHead(status int, fields []framer.Field) []byte {
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
	if r.closeAfter {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return buffer
}

// appendChunk appends data as a chunk, or as it is for HTTP/1.0, which has no chunked coding.
func (r *Responder) appendChunk(buffer, data []byte) []byte {
	if len(data) == 0 {
		return buffer
	}
	if r.http10 {
		return append(buffer, data...)
	}
	buffer = strconv.AppendInt(buffer, int64(len(data)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, data...)
	return append(buffer, "\r\n"...)
}

// Abort makes the write that is in progress fail, and those to come.
func (r *Responder) Abort() {
	r.aborted.Store(true)
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0)) // nothing is left to do if it fails
}

// write writes data in pieces unless an earlier write failed.
func (r *Responder) write(data ...[]byte) {
	for _, part := range data {
		for len(part) > 0 && r.err == nil {
			n := min(len(part), pieceBytes)
			r.err = r.writePiece(part[:n])
			part = part[n:]
		}
	}
}

// writePiece writes data by a deadline of its own.
func (r *Responder) writePiece(data []byte) error {
	if err := r.conn.SetWriteDeadline(r.now().Add(writeTimeout)); err != nil {
		return err
	}
	if r.aborted.Load() {
		return os.ErrDeadlineExceeded
	}
	n, err := r.conn.Write(data)
	r.written.Add(int64(n))
	return err
}

// Written returns the number of bytes that were written. It may be called at any time.
func (r *Responder) Written() int64 { return r.written.Load() }
