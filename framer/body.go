package framer

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxChunkLine bounds the line that gives the size of a chunk, and a trailer
// line, in bytes.
const maxChunkLine = 1024

// Body returns a reader of the body of a message whose head was read from
// reader. It ends with io.EOF only after the whole body, and with
// io.ErrUnexpectedEOF if the connection ended before.
func (h *Head) Body(reader *bufio.Reader) io.Reader {
	switch h.Length {
	case Chunked:
		return &chunked{reader: reader}
	case UntilClose:
		return reader
	default:
		return &counted{reader: reader, left: h.Length}
	}
}

// ReadBody reads a whole body of at most limit bytes.
func (h *Head) ReadBody(reader *bufio.Reader, limit int64) ([]byte, error) {
	if h.Length > limit {
		return nil, ErrTooLarge
	}
	if h.Length == 0 {
		return nil, nil
	}
	if h.Length > 0 {
		body := make([]byte, h.Length)
		_, err := io.ReadFull(reader, body)
		return body, cut(err)
	}
	body, err := io.ReadAll(io.LimitReader(h.Body(reader), limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLarge
	}
	return body, err
}

type counted struct {
	reader *bufio.Reader
	left   int64
}

func (c *counted) Read(buffer []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > c.left {
		buffer = buffer[:c.left]
	}
	n, err := c.reader.Read(buffer)
	c.left -= int64(n)
	if c.left == 0 {
		return n, nil
	}
	return n, cut(err)
}

type chunked struct {
	reader *bufio.Reader
	left   int64 // of the current chunk
	inside bool  // a chunk whose final CRLF is still to be read
	ended  bool
}

func (c *chunked) Read(buffer []byte) (int, error) {
	if c.left == 0 && !c.ended {
		if err := c.next(); err != nil {
			return 0, cut(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	if int64(len(buffer)) > c.left {
		buffer = buffer[:c.left]
	}
	n, err := c.reader.Read(buffer)
	c.left -= int64(n)
	return n, cut(err)
}

// next reads the size of the next chunk, or what follows the last one.
func (c *chunked) next() error {
	if c.inside {
		if line, _, err := readLine(c.reader, maxChunkLine); err != nil || line != "" {
			return orMalformed(err)
		}
	}
	line, _, err := readLine(c.reader, maxChunkLine)
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	length, err := strconv.ParseUint(size, 16, 32)
	if err != nil || strings.HasPrefix(size, "+") {
		return ErrMalformed
	}
	c.left, c.inside = int64(length), true
	if length > 0 {
		return nil
	}
	for line != "" {
		if line, _, err = readLine(c.reader, maxChunkLine); err != nil {
			return err
		}
	}
	c.ended = true
	return nil
}

// cut turns the end of a connection inside a body into io.ErrUnexpectedEOF.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func orMalformed(err error) error {
	if err != nil {
		return err
	}
	return ErrMalformed
}
