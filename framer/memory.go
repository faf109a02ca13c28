package framer

import (
	"errors"
	"io"
)

// firstBodyBytes is the size of the buffer for the first bytes of a body. Larger bodies
// get memory as their bytes arrive, whatever length their head states.
const firstBodyBytes = 16 << 10

// Memory accounts for the memory of a message while it is received.
type Memory interface {
	// Grow adds bytes before they are allocated. It returns an error if they must not be.
	Grow(bytes int) error
	// Shrink removes bytes that are not referenced any more.
	Shrink(bytes int)
}

// Unaccounted is a Memory without a bound.
var Unaccounted Memory = unaccounted{}

type unaccounted struct{}

func (unaccounted) Grow(int) error { return nil }
func (unaccounted) Shrink(int)     {}

// ReadAll reads body to its end, at most limit bytes, which memory accounts for. length
// is the number of bytes that the body should have, below 0 if unknown. It returns
// ErrTooLarge for a longer body.
func ReadAll(body io.Reader, length, limit int64, memory Memory) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one byte more than allowed shows that a body is too large
	if length >= 0 {
		most = length
	}
	var data []byte
	for int64(len(data)) < most {
		if len(data) == cap(data) {
			size := min(int64(max(firstBodyBytes, 2*cap(data))), most)
			if err := memory.Grow(int(size)); err != nil {
				return data, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			memory.Shrink(cap(data))
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) == most: // an error may follow only what is not needed
		case errors.Is(err, io.EOF) && length < 0:
			return data, nil
		case err != nil:
			return data, unexpectedEOF(err)
		}
	}
	if int64(len(data)) > limit {
		return data, ErrTooLarge
	}
	return data, nil
}
