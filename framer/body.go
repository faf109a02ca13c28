package framer

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxChunkLine limits the size of a chunk size line and of a trailer line, in
// bytes.
const maxChunkLine = 1024

// Body returns a reader of the body that follows the head on reader. It returns
// io.EOF only at the end of the body, and io.ErrUnexpectedEOF if the connection
// ends earlier.
func (h *Head) Body(reader *bufio.Reader) io.Reader {
	switch h.Length {
	case Chunked:
		return &chunkedReader{reader: reader}
	case UntilClose:
		return reader
	default:
		return &lengthReader{reader: reader, remaining: h.Length}
	}
}

// ReadBody reads a whole body of at most limit bytes, which memory accounts for. It
// returns ErrTooLarge for a longer one.
func (h *Head) ReadBody(reader *bufio.Reader, limit int64, memory Memory) ([]byte, error) {
	return ReadAll(h.Body(reader), h.Length, limit, memory)
}

// DiscardBody reads a body of at most limit bytes without keeping it. It returns
// ErrTooLarge for a longer one.
func (h *Head) DiscardBody(reader *bufio.Reader, limit int64) error {
	if h.Length > limit {
		return ErrTooLarge
	}
	discarded, err := io.Copy(io.Discard, io.LimitReader(h.Body(reader), limit+1))
	if err == nil && discarded > limit {
		err = ErrTooLarge
	}
	return err
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	reader    *bufio.Reader
	remaining int64
}

func (c *lengthReader) Read(buffer []byte) (int, error) {
	if c.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > c.remaining {
		buffer = buffer[:c.remaining]
	}
	n, err := c.reader.Read(buffer)
	c.remaining -= int64(n)
	if c.remaining == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// chunkedReader reads a body in the chunked transfer coding.
type chunkedReader struct {
	reader    *bufio.Reader
	remaining int64 // bytes of the current chunk
	chunkOpen bool  // the CRLF after the current chunk has not been read yet
	ended     bool
}

func (c *chunkedReader) Read(buffer []byte) (int, error) {
	if c.remaining == 0 && !c.ended {
		if err := c.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	if int64(len(buffer)) > c.remaining {
		buffer = buffer[:c.remaining]
	}
	n, err := c.reader.Read(buffer)
	c.remaining -= int64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads the size of the next chunk, and the trailer after the last
// one.
func (c *chunkedReader) nextChunk() error {
	if c.chunkOpen {
		if line, err := c.readLine(); err != nil || line != "" {
			return orMalformed(err)
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	length, err := strconv.ParseUint(size, 16, 32)
	if err != nil || strings.HasPrefix(size, "+") {
		return ErrMalformed
	}
	c.remaining, c.chunkOpen = int64(length), true
	if length > 0 {
		return nil
	}
	for line != "" {
		if line, err = c.readLine(); err != nil {
			return err
		}
	}
	c.ended = true
	return nil
}

// readLine reads a chunk size line or a trailer line.
func (c *chunkedReader) readLine() (string, error) {
	lines := lineReader{reader: c.reader, remaining: maxChunkLine, memory: Unaccounted}
	return lines.next()
}

// unexpectedEOF turns the end of a connection within a body into
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// orMalformed returns err, or ErrMalformed if err is nil.
func orMalformed(err error) error {
	if err != nil {
		return err
	}
	return ErrMalformed
}
