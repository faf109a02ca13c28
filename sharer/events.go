package sharer

import (
	"wisteriadrum/detector"
	"wisteriadrum/quarantiner"
)

// events are changes that are sent once, in the next message.
type events struct {
	parts       []part
	weights     []weights
	emptyStores []uint64
	cases       []quarantiner.Case
	suspects    []detector.Suspect
	said        []said
	// taken and refusing are the keys of endpoints whose address another one has, and
	// where nothing listens.
	taken, refusing []uint64
}

// add appends more events. Suspects beyond maxQueuedSuspects are dropped, which
// heartbeats repeat.
func (e *events) add(more events) {
	e.parts = append(e.parts, more.parts...)
	e.weights = append(e.weights, more.weights...)
	e.emptyStores = append(e.emptyStores, more.emptyStores...)
	e.cases = append(e.cases, more.cases...)
	e.said = append(e.said, more.said...)
	e.taken = append(e.taken, more.taken...)
	e.refusing = append(e.refusing, more.refusing...)
	room := max(0, maxQueuedSuspects-len(e.suspects))
	e.suspects = append(e.suspects, more.suspects[:min(room, len(more.suspects))]...)
}

// any reports whether there are events.
func (e events) any() bool { return len(e.parts) > 0 || e.urgent() }

// urgent reports whether there are events that must be sent at once.
func (e events) urgent() bool {
	return len(e.weights)+len(e.emptyStores)+len(e.cases)+len(e.suspects)+len(e.said)+len(e.taken)+len(e.refusing) > 0
}
