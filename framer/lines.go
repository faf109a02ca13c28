package framer

import (
	"bufio"
	"errors"
)

const (
	// lineBytes is the memory of a field besides its text.
	lineBytes = 64
	// accountedBytes is the unit in which the memory of a head is accounted for, and the
	// size up to which it is not.
	accountedBytes = 4 << 10
)

// lineReader reads lines of at most remaining bytes in all.
type lineReader struct {
	reader    *bufio.Reader
	remaining int
	memory    Memory
	// used is the memory of the lines read so far, accounted the part that memory has.
	used, accounted int
}

// next returns the next line without its CRLF.
func (l *lineReader) next() (string, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		if len(part) > l.remaining {
			return "", ErrTooLarge
		}
		isLong := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !isLong {
			return "", err
		}
		l.remaining -= len(part)
		if err := l.account(len(part)); err != nil {
			return "", err
		}
		line = append(line, part...)
		if !isLong {
			break
		}
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return "", ErrMalformed
	}
	return string(line[:len(line)-2]), l.account(lineBytes)
}

// account adds bytes to the memory of the lines. A long line is copied while it is read.
func (l *lineReader) account(bytes int) error {
	l.used += 2 * bytes
	for l.used > l.accounted+accountedBytes {
		if err := l.memory.Grow(accountedBytes); err != nil {
			return err
		}
		l.accounted += accountedBytes
	}
	return nil
}
