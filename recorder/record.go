// Package recorder describes the row that a once-only request leaves in the
// table service.
package recorder

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/tabler"
)

// State says how far a once-only request has come.
type State string

const (
	// Open means that the owner may send the request, or has sent it.
	Open State = "open"
	// Done means that the request ran and its answer is kept.
	Done State = "done"
	// Void means that the owner proved that the request did not run.
	Void State = "void"
)

// Answer is a whole answer of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Object names the object that holds a body too large for a row.
	Object string `json:"object,omitempty"`
}

// Record is the value of the row. Only the holder of Token may run the request.
type Record struct {
	State State  `json:"state"`
	Token string `json:"token"`
	// Owner names the instance, and Peer is the address to ask it at.
	Owner string `json:"owner"`
	Peer  string `json:"peer,omitempty"`
	// Hash is the hash of the request, to which the key is bound.
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

// WithAnswer returns a copy of r that is done with answer.
func (r Record) WithAnswer(answer Answer) Record {
	r.State = Done
	r.Answer = &answer
	return r
}

// Write returns the write of r over version of the row named key.
func (r Record) Write(key string, version uint64) tabler.Write {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field of a Record has a JSON form
	}
	return tabler.Write{Key: key, Value: value, Version: version, Expires: r.Expires}
}
