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
}

func newShelf(capacity int) *shelf {
	return &shelf{capacity: capacity, order: list.New(), parts: map[uint64]*list.Element{}}
}

func (s *shelf) put(part uint64, tokens int) {
	if element, ok := s.parts[part]; ok {
		s.order.MoveToFront(element)
		return
	}
	s.parts[part] = s.order.PushFront(&kept{part: part, tokens: tokens})
	s.used += tokens
	for s.used > s.capacity && s.order.Len() > 1 {
		s.drop(s.order.Back())
	}
}

func (s *shelf) has(part uint64) bool {
	_, ok := s.parts[part]
	return ok
}

func (s *shelf) remove(part uint64) {
	if element, ok := s.parts[part]; ok {
		s.drop(element)
	}
}

func (s *shelf) drop(element *list.Element) {
	old := s.order.Remove(element).(*kept)
	delete(s.parts, old.part)
	s.used -= old.tokens
}
