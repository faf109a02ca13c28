// Package compressor shrinks sets for their way between instances and the
// object store.
package compressor

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// mostBytes bounds what Unpack returns.
const mostBytes = 64 << 20

// Compress returns text compressed.
func Compress(text []byte) []byte {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(text) // writes to memory
	_ = writer.Close()
	return packed.Bytes()
}

// Decompress returns what Pack was given. It refuses damaged input and texts of
// more than 64 MiB.
func Decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	text, err := io.ReadAll(io.LimitReader(reader, mostBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	if len(text) > mostBytes {
		return nil, eris.Errorf("unpacks to more than %d bytes", mostBytes)
	}
	return text, nil
}
