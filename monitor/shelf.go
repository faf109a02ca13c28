package monitor

import "container/list"

// shelf estimates which parts of prompts an engine keeps: those used last, as
// far as its memory reaches.
type shelf struct {
	capacity, used int
	order          *list.List // of *kept, the last used first
	parts          map[uint64]*list.Element
}

type kept struct {
	part   uint64
	tokens int
	// ready reports that the part was read; before, it is under way.
	ready bool
}

func newShelf(capacity int) *shelf {
	return &shelf{capacity: capacity, order: list.New(), parts: map[uint64]*list.Element{}}
}

func (s *shelf) put(part uint64, tokens int, ready bool) {
	if element, ok := s.parts[part]; ok {
		s.order.MoveToFront(element)
		known := element.Value.(*kept)
		known.ready = known.ready || ready
		return
	}
	s.parts[part] = s.order.PushFront(&kept{part: part, tokens: tokens, ready: ready})
	s.used += tokens
	for s.used > s.capacity && s.order.Len() > 1 {
		s.drop(s.order.Back())
	}
}

// has reports whether a part is kept or under way, and whether it is ready.
func (s *shelf) has(part uint64) (bool, bool) {
	element, ok := s.parts[part]
	return ok, ok && element.Value.(*kept).ready
}

// giveUp removes a part that is not ready.
func (s *shelf) giveUp(part uint64) {
	if element, ok := s.parts[part]; ok && !element.Value.(*kept).ready {
		s.drop(element)
	}
}

func (s *shelf) drop(element *list.Element) {
	old := s.order.Remove(element).(*kept)
	delete(s.parts, old.part)
	s.used -= old.tokens
}
