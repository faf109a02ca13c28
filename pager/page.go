// Package pager defines the pages in which an engine returns its cache events.
package pager

import (
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Event reports that an engine has stored or evicted the prefix with the hash Level.
type Event struct {
	Level  uint64
	Stored bool
}

// Page is a sequence of events with consecutive numbers. After is the number of the
// event before the first one.
type Page struct {
	Incarnation string
	After       uint64
	Events      []Event
}

// New returns a page of events. The number of the first one is after+1.
func New(incarnation string, after uint64, events []Event) Page {
	return Page{Incarnation: incarnation, After: after, Events: events}
}

// Last returns the number of the last event.
func (p Page) Last() uint64 { return p.After + uint64(len(p.Events)) }

const eventBytes = 9 // encoded size

// wirePage is the JSON form of a page. Each event is encoded as the level in 8 bytes
// and a byte that is 1 if the prefix was stored.
type wirePage struct {
	Incarnation string `json:"incarnation"`
	After       uint64 `json:"after"`
	Events      []byte `json:"events"`
}

// MarshalJSON encodes p as a wirePage.
func (p Page) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(p.Events)*eventBytes)
	for _, event := range p.Events {
		stored := byte(0)
		if event.Stored {
			stored = 1
		}
		packed = append(binary.BigEndian.AppendUint64(packed, event.Level), stored)
	}
	return json.Marshal(wirePage{Incarnation: p.Incarnation, After: p.After, Events: packed})
}

// UnmarshalJSON decodes a wirePage. It returns an error if an event is incomplete.
func (p *Page) UnmarshalJSON(text []byte) error {
	var w wirePage
	if err := json.Unmarshal(text, &w); err != nil {
		return err
	}
	if len(w.Events)%eventBytes != 0 {
		return eris.Errorf("cache events have %d bytes, which is not a multiple of the event size", len(w.Events))
	}
	*p = Page{Incarnation: w.Incarnation, After: w.After, Events: make([]Event, 0, len(w.Events)/eventBytes)}
	for packed := w.Events; len(packed) > 0; packed = packed[eventBytes:] {
		p.Events = append(p.Events, Event{Level: binary.BigEndian.Uint64(packed), Stored: packed[eventBytes-1] == 1})
	}
	return nil
}
