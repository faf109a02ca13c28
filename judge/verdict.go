// Package judge defines the verdict on whether a request may have run.
package judge

import (
	"errors"
	"fmt"
)

// Verdict states whether an endpoint may have acted on a request.
type Verdict int

const (
	// NotRun means that no endpoint can have acted on the request.
	NotRun Verdict = iota + 1
	// MayHaveRun means that an endpoint may have acted on the request.
	MayHaveRun
	// Ran means that an endpoint acted on the request.
	Ran
)

// String returns the wire spelling of v, "may-have-run" for unknown values.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// MarshalText returns the wire spelling of v.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets v from its wire spelling. It returns an error for any
// other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{NotRun, MayHaveRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// FromError returns the verdict of the first error in err's chain that has a
// Verdict method, or MayHaveRun if there is none.
func FromError(err error) Verdict {
	var carrier interface{ Verdict() Verdict }
	if errors.As(err, &carrier) {
		return carrier.Verdict()
	}
	return MayHaveRun
}
