package monitor

import "time"

const (
	// paceLife is how long after its start, or after the last place that was asked for here,
	// an endpoint counts as just started: by then its load shows to all instances.
	paceLife = 1500 * time.Millisecond
	// placePause is how long no place is asked for after one was refused.
	placePause = 20 * time.Millisecond
	// pacedFailures is the number of consecutive failures after which an endpoint counts
	// as recovering.
	pacedFailures = 2
)

// pace is what this instance knows of an endpoint that has just started or recovered.
type pace struct {
	// until is when it does not count as such any more, recoveredAt when it failed last or
	// had loaded weights, zero if it has started since.
	until, recoveredAt time.Time
	// closedUntil is until when no place is asked for.
	closedUntil time.Time
}

// MarkStarted records that the endpoint has just started.
func (m *Monitor) MarkStarted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pace = pace{until: now.Add(paceLife)}
}

// RecoveredAt returns when the endpoint failed last or had loaded weights, zero if it has
// started since.
func (m *Monitor) RecoveredAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pace.recoveredAt
}

// RecordPlace records at now that a place was granted at the endpoint, or that it was
// refused.
func (m *Monitor) RecordPlace(granted bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pace.until = now.Add(paceLife)
	if !granted {
		m.pace.closedUntil = now.Add(placePause)
	}
}

// RecordOpen records that the endpoint takes requests without a place, unless it recovers
// since a later time.
func (m *Monitor) RecordOpen(askedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.pace.recoveredAt.After(askedAt) {
		m.pace = pace{}
	}
}
