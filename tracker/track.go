// Package tracker keeps what an instance knows of one endpoint's state.
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/reporter"
	"wisteriadrum/worker"
)

// Track is the state of one endpoint as this instance sees it. All methods
// may be called at any time from any goroutine; those that read do not wait.
type Track struct {
	Endpoint worker.Endpoint
	// Hash is the same at every instance.
	Hash uint64
	// Local means that the endpoint is in the instance's own data centre.
	Local bool

	flight  atomic.Int64 // requests sent and not ended
	pending atomic.Int64 // prompt bytes sent whose first token is awaited
	sent    atomic.Int64 // prompt bytes sent since the start
	shunned atomic.Int64 // Unix time in nanoseconds until which to avoid it
	faults  atomic.Int64 // failures since the last success
	stopped atomic.Bool
	view    atomic.Pointer[View]
	writer  sync.Mutex
}

// View is an immutable snapshot of what the endpoint said last.
type View struct {
	reporter.Report
	// ReportedAt is when the report arrived, zero if none has.
	ReportedAt time.Time
	// Slot names the incarnation in the cache map, 0 if it is unknown.
	Slot uint16
	// mark is the value of sent when the report arrived.
	mark int64
}

// New returns a track of endpoint, of which nothing is known yet.
func New(endpoint worker.Endpoint, local bool) *Track {
	t := &Track{Endpoint: endpoint, Local: local, Hash: xxhash.Sum64String(endpoint.Name)}
	t.view.Store(&View{})
	return t
}

// View returns what the endpoint said last.
func (t *Track) View() *View { return t.view.Load() }

// Begin counts a request of which about bytes must be computed.
func (t *Track) Begin(bytes int) {
	t.flight.Add(1)
	t.pending.Add(int64(bytes))
	t.sent.Add(int64(bytes))
}

// FirstToken counts the first token of a request begun with bytes.
func (t *Track) FirstToken(bytes int) { t.pending.Add(-int64(bytes)) }

// End counts the end of a request.
func (t *Track) End() { t.flight.Add(-1) }

// InFlight returns the number of requests in flight from this instance.
func (t *Track) InFlight() int { return int(t.flight.Load()) }

// PendingBytes returns the prompt bytes sent whose first token is awaited.
func (t *Track) PendingBytes() int { return int(t.pending.Load()) }

// QueuedBytes estimates the prompt bytes ahead of a request sent at now, when the
// endpoint computes a byte in perByte nanoseconds.
func (t *Track) QueuedBytes(now time.Time, perByte int) int {
	own := int(t.pending.Load())
	view := t.view.Load()
	if view.ReportedAt.IsZero() || perByte == 0 {
		return own
	}
	drained := int(now.Sub(view.ReportedAt)) / perByte
	reported := view.Queue + int(t.sent.Load()-view.mark) - drained
	return max(own, reported)
}

// ApplyReport takes in a load report that arrived at now, unless a later one has
// been taken in. Slot allocates a new
// name for an incarnation that was not seen before. A late report of an
// incarnation that has been replaced cannot be told from a new one, so it
// costs knowledge but never correctness.
func (t *Track) ApplyReport(report reporter.Report, now time.Time, slot func(*Track) uint16) {
	t.writer.Lock()
	defer t.writer.Unlock()
	old := t.view.Load()
	if now.Before(old.ReportedAt) {
		return
	}
	if report.Weights == "" && report.Incarnation == old.Incarnation {
		report.Weights = old.Weights
	}
	next := &View{Report: report, ReportedAt: now, Slot: old.Slot, mark: t.sent.Load()}
	if report.Incarnation != old.Incarnation {
		next.Slot = slot(t)
	}
	t.view.Store(next)
}

// ApplyAnswer takes in the head of an answer, which says less than a report.
func (t *Track) ApplyAnswer(incarnation, weights string, queue int, now time.Time, slot func(*Track) uint16) {
	report := t.View().Report
	if incarnation != "" && incarnation != report.Incarnation {
		report = reporter.Report{Incarnation: incarnation}
	}
	if weights != "" {
		report.Weights = weights
	}
	if queue >= 0 {
		report.Queue = queue
	}
	t.ApplyReport(report, now, slot)
}

// AvoidUntil avoids the endpoint until the given time.
func (t *Track) AvoidUntil(until time.Time) { t.shunned.Store(until.UnixNano()) }

// RecordFailure counts a failure and returns the number since the last success.
func (t *Track) RecordFailure() int { return int(t.faults.Add(1)) }

// RecordSuccess counts a success, which ends what Shun began.
func (t *Track) RecordSuccess() {
	t.faults.Store(0)
	t.shunned.Store(0)
}

// SetStopped sets whether a planned stop keeps new work away.
func (t *Track) SetStopped(stopped bool) { t.stopped.Store(stopped) }

// Leaving reports whether the endpoint must get no new work.
func (t *Track) Leaving() bool {
	view := t.view.Load()
	return t.stopped.Load() || view.Leaving || view.Loading
}

// Available reports whether the endpoint may get new work at now.
func (t *Track) Available(now time.Time) bool {
	return !t.Leaving() && t.shunned.Load() <= now.UnixNano()
}
