package monitor

import (
	"context"
	"time"

	"wisteriadrum/restrainer"
)

// MarkLeaving records that the endpoint leaves and must get no requests from
// deadline on. The earliest deadline stands.
func (m *Monitor) MarkLeaving(deadline time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resumeAt = time.Time{}
	if m.leavingUntil.IsZero() || deadline.Before(m.leavingUntil) {
		m.leavingUntil = deadline
	}
}

// ClearLeaving reverts MarkLeaving for an endpoint that is listed again.
func (m *Monitor) ClearLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leavingUntil, m.resumeAt = time.Time{}, time.Time{}
}

// ClearLeavingAt reverts MarkLeaving at a time, unless the endpoint is marked again before.
func (m *Monitor) ClearLeavingAt(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leavingUntil.IsZero() {
		m.resumeAt = at
	}
}

// Resume reverts MarkLeaving if that is due.
func (m *Monitor) Resume(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leaving(now) {
		m.leavingUntil, m.resumeAt = time.Time{}, time.Time{}
	}
}

// Resumes reports whether MarkLeaving is reverted at a time.
func (m *Monitor) Resumes() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.resumeAt.IsZero()
}

// leaving reports whether MarkLeaving is in force. The caller holds the lock.
func (m *Monitor) leaving(now time.Time) bool {
	return !m.leavingUntil.IsZero() && (m.resumeAt.IsZero() || now.Before(m.resumeAt))
}

// Left reports whether the endpoint has left and must get no requests at now.
func (m *Monitor) Left(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left(now)
}

func (m *Monitor) left(now time.Time) bool {
	return m.leaving(now) && !now.Before(m.leavingUntil) || m.said.Left(now)
}

// Forgettable reports whether the endpoint is not listed any more since a time before
// now, and what it has said of itself does not matter if it is listed again.
func (m *Monitor) Forgettable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.resumeAt.IsZero() {
		return false
	}
	leftAt := m.leavingUntil
	if _, limited := m.said.Limit(); limited || m.said.Leaving() || m.said.WaitUntil().After(now) {
		return !leftAt.IsZero() && leftAt.Before(now.Add(-saidRetention))
	}
	return !leftAt.IsZero() && !now.Add(-departedRetention).Before(leftAt)
}

// Said returns what the endpoint has said of itself.
func (m *Monitor) Said() restrainer.Restrainer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.said
}

// Hear changes what the endpoint has said of itself, and reports whether that is new.
func (m *Monitor) Hear(change func(restrainer.Restrainer) restrainer.Restrainer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.said
	m.said = change(before)
	return m.said != before
}

// BeginAsk waits until no other request asks for a permit of the endpoint, and keeps others
// from asking until EndAsk. It returns false if ctx ends before.
func (m *Monitor) BeginAsk(ctx context.Context) bool {
	select {
	case m.asking <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// EndAsk ends what BeginAsk has begun.
func (m *Monitor) EndAsk() { <-m.asking }
