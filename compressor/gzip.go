// Package compressor compresses configurations that are sent between instances
// or written to the object store.
package compressor

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// maxBytes limits the size of decompressed data.
const maxBytes = 64 << 20

// Compress returns data in gzip format.
func Compress(data []byte) []byte {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(data) // a bytes.Buffer never returns an error
	_ = writer.Close()
	return compressed.Bytes()
}

// Decompress returns the data that Compress was given. It returns an error for
// corrupt input and for data of more than 64 MiB.
func Decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	if len(data) > maxBytes {
		return nil, eris.Errorf("decompressed data exceeds %d bytes", maxBytes)
	}
	return data, nil
}
