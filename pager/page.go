// Package pager describes the cache events of an engine, page by page.
package pager

import (
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Event says that an engine has stored a prefix or evicted it.
type Event struct {
	Level  uint64
	Stored bool
}

// Page is a run of events. After is the number of the event before the first.
type Page struct {
	Incarnation string
	After       uint64
	Events      []Event
}

// New returns a page of events, the first of which is number after+1.
func New(incarnation string, after uint64, events []Event) Page {
	return Page{Incarnation: incarnation, After: after, Events: events}
}

// Last returns the number of the last event.
func (p Page) Last() uint64 { return p.After + uint64(len(p.Events)) }

const eventBytes = 9

// wire carries each event in nine bytes: the level, and 1 if it was stored.
type wire struct {
	Incarnation string `json:"incarnation"`
	After       uint64 `json:"after"`
	Events      []byte `json:"events"`
}

// MarshalJSON returns the wire form of p.
func (p Page) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(p.Events)*eventBytes)
	for _, event := range p.Events {
		stored := byte(0)
		if event.Stored {
			stored = 1
		}
		packed = append(binary.BigEndian.AppendUint64(packed, event.Level), stored)
	}
	return json.Marshal(wire{Incarnation: p.Incarnation, After: p.After, Events: packed})
}

// UnmarshalJSON reads the wire form and refuses an incomplete event.
func (p *Page) UnmarshalJSON(text []byte) error {
	var w wire
	if err := json.Unmarshal(text, &w); err != nil {
		return err
	}
	if len(w.Events)%eventBytes != 0 {
		return eris.Errorf("%d bytes are no whole number of cache events", len(w.Events))
	}
	*p = Page{Incarnation: w.Incarnation, After: w.After, Events: make([]Event, 0, len(w.Events)/eventBytes)}
	for packed := w.Events; len(packed) > 0; packed = packed[eventBytes:] {
		p.Events = append(p.Events, Event{Level: binary.BigEndian.Uint64(packed), Stored: packed[eventBytes-1] == 1})
	}
	return nil
}
