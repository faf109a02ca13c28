// Package recorder defines the row of the table service that records a request
// with an idempotency key.
package recorder

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/tabler"
)

// State is the state of a recorded request.
type State string

const (
	// Open means that the owner may have sent the request or may still send it.
	Open State = "open"
	// Done means that the request ran and its answer is stored.
	Done State = "done"
	// Void means that the request did not run and will not be sent by the owner.
	Void State = "void"
)

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Object is the name of the stored object with the body if that is too large
	// for the row.
	Object string `json:"object,omitempty"`
}

// Record is the value of the row. Only the instance that created Token may run the
// request.
type Record struct {
	State State  `json:"state"`
	Token string `json:"token"`
	// Owner is the name of the instance that claimed the request, and Peer is the
	// address for queries about the claim.
	Owner string `json:"owner"`
	Peer  string `json:"peer,omitempty"`
	// Hash is the hash of the request. A request with the same key and another hash
	// is refused.
	Hash    string    `json:"hash"`
	Answer  *Answer   `json:"answer,omitempty"`
	Expires time.Time `json:"expires"`
}

// New decodes the record in row and checks it.
func New(row tabler.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, eris.Wrapf(err, "row %s", row.Key)
	}
	switch record.State {
	case Open, Void:
		return record, nil
	case Done:
		if record.Answer == nil {
			return Record{}, eris.Errorf("row %s is done without an answer", row.Key)
		}
		return record, nil
	default:
		return Record{}, eris.Errorf("row %s has unknown state %q", row.Key, record.State)
	}
}

// WithState returns a copy of r in another state.
func (r Record) WithState(state State) Record {
	r.State = state
	return r
}

// WithAnswer returns a copy of r in the state Done with answer.
func (r Record) WithAnswer(answer Answer) Record {
	r.State = Done
	r.Answer = &answer
	return r
}

// Write returns the conditional write that replaces the given version of the row
// key by r.
func (r Record) Write(key string, version uint64) tabler.Write {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: every field of a Record can be encoded
	}
	return tabler.Write{Key: key, Value: value, Version: version, Expires: r.Expires}
}
