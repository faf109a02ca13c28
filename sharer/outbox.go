package sharer

import "wisteriadrum/spooler"

// maxQueuedParts bounds the announcements of parts that wait for a message.
const maxQueuedParts = 8 * maxPartsPerMessage

// Ranks of announcements of parts. Nothing can be fetched from an engine that is still
// reading a part, and a part of one request is of use to others only if it belongs to a
// session.
const (
	readyRank = iota
	pendingRank
	ownRank
)

// heldPart identifies what an announcement of a part is about.
type heldPart struct{ endpoint, part uint64 }

// outbox holds the events that wait for a message.
type outbox struct {
	events events
	parts  spooler.Spool[heldPart, part]
}

// add queues events and returns the number of announcements of parts that are dropped,
// since more than maxQueuedParts would wait.
func (o *outbox) add(more events) (dropped int) {
	for _, p := range more.parts {
		var over bool
		o.parts, over = o.parts.With(heldPart{p.Key, p.Part}, p, p.rank(), maxQueuedParts)
		if over {
			dropped++
		}
	}
	more.parts = nil
	o.events.add(more)
	return dropped
}

// take removes and returns the events that fit into one message.
func (o *outbox) take() events {
	taken := o.events
	fits := min(len(taken.suspects), maxSuspectsPerMessage)
	o.events = events{suspects: taken.suspects[fits:]}
	taken.suspects = taken.suspects[:fits:fits]
	taken.parts, o.parts = o.parts.Take(maxPartsPerMessage)
	return taken
}

// urgent reports whether there are events that must be sent at once.
func (o *outbox) urgent() bool { return o.events.urgent() }

// rank returns the rank of an announcement.
func (p part) rank() int {
	switch {
	case p.Own:
		return ownRank
	case p.Pending:
		return pendingRank
	default:
		return readyRank
	}
}
