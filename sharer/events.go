package sharer

import "wisteriadrum/quarantiner"

// events are changes that are sent once, in the next message.
type events struct {
	parts       []part
	weights     []weights
	emptyStores []uint64
	cases       []quarantiner.Case
}

// add queues more events. Parts beyond two messages are dropped, since most of
// them would be outdated by the time they were sent.
func (e *events) add(more events) {
	room := max(0, 2*maxPartsPerMessage-len(e.parts))
	e.parts = append(e.parts, more.parts[:min(room, len(more.parts))]...)
	e.weights = append(e.weights, more.weights...)
	e.emptyStores = append(e.emptyStores, more.emptyStores...)
	e.cases = append(e.cases, more.cases...)
}

// take removes and returns the events that fit into one message.
func (e *events) take() events {
	taken := *e
	fits := min(len(e.parts), maxPartsPerMessage)
	taken.parts = e.parts[:fits:fits]
	*e = events{parts: e.parts[fits:]}
	return taken
}

// any reports whether there are events.
func (e events) any() bool {
	return len(e.parts)+len(e.weights)+len(e.emptyStores)+len(e.cases) > 0
}

// urgent reports whether there are events that must be sent at once.
func (e events) urgent() bool { return len(e.weights)+len(e.emptyStores)+len(e.cases) > 0 }
