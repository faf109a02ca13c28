// Package inspector checks the heads of HTTP/1.1 answers as they are read from a connection.
// The HTTP library takes the status 000 for 200 and accepts blanks in names of fields.
package inspector

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"wisteriadrum/framer"
)

const (
	maxHeadBytes = 32 << 10 // the head of an answer
	// shownBytes is how much of a malformed answer an error shows.
	shownBytes = 64
)

// Inspector is a connection on which one request is written after the answer to the one
// before. Reading an answer fails if framer does not accept its head.
type Inspector struct {
	net.Conn
	// inspected means that the head of the answer has been read, err is why it was not
	// accepted. unread holds what was read from the connection and not returned yet.
	inspected bool
	unread    []byte
	err       error
}

// New returns an inspector of the answers on conn.
func New(conn net.Conn) *Inspector { return &Inspector{Conn: conn} }

// Dial returns a function that inspects the connections which dial opens.
func Dial(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Write writes a part of a request. The next bytes that are read begin an answer.
func (i *Inspector) Write(data []byte) (int, error) {
	i.inspected, i.unread = false, nil
	return i.Conn.Write(data)
}

// Read reads a part of an answer. It returns at most the first byte of an answer whose head
// is not accepted: the HTTP library does not show an error that comes before.
func (i *Inspector) Read(buffer []byte) (int, error) {
	if !i.inspected && i.err == nil {
		i.unread, i.err = i.readHead()
		i.inspected = true
	}
	switch {
	case len(i.unread) > 0:
		n := copy(buffer, i.unread)
		i.unread = i.unread[n:]
		return n, nil
	case i.err != nil:
		return 0, i.err
	default:
		return i.Conn.Read(buffer)
	}
}

// readHead reads the head of an answer and those of the interim answers before it. It returns
// all bytes that it has read, or the first one and an error.
func (i *Inspector) readHead() ([]byte, error) {
	var received bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(i.Conn, &received))
	_, err := framer.ReadResponse(reader, maxHeadBytes, http.MethodGet, framer.Unaccounted)
	text := received.Bytes()
	switch {
	case err == nil:
		return text, nil
	case errors.Is(err, framer.ErrMalformed), errors.Is(err, framer.ErrTooLarge), errors.Is(err, framer.ErrTransferCoding):
		err = eris.Wrapf(err, "answer that begins with %q", text[:min(len(text), shownBytes)])
	case errors.Is(err, io.EOF) && len(text) > 0:
		err = io.ErrUnexpectedEOF
	}
	return text[:min(len(text), 1)], err
}
