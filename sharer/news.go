package sharer

import "wisteriadrum/quarantiner"

// news is what is told once, in the next note.
type news struct {
	parts   []part
	weights []weights
	empty   []uint64
	cases   []quarantiner.Case
}

// add queues more news. Parts beyond two notes are dropped: by the time that
// they were told, much of what they say would be over.
func (n *news) add(more news) {
	room := max(0, 2*mostParts-len(n.parts))
	n.parts = append(n.parts, more.parts[:min(room, len(more.parts))]...)
	n.weights = append(n.weights, more.weights...)
	n.empty = append(n.empty, more.empty...)
	n.cases = append(n.cases, more.cases...)
}

// take removes what fits into one note.
func (n *news) take() news {
	taken := *n
	fits := min(len(n.parts), mostParts)
	taken.parts = n.parts[:fits:fits]
	*n = news{parts: n.parts[fits:]}
	return taken
}

// any reports whether there is anything to tell.
func (n news) any() bool {
	return len(n.parts)+len(n.weights)+len(n.empty)+len(n.cases) > 0
}

// urgent reports whether there is anything that can't wait for the next note.
func (n news) urgent() bool { return len(n.weights)+len(n.empty)+len(n.cases) > 0 }
