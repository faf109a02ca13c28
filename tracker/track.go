// Package tracker holds the state of an endpoint as seen by one instance.
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/holder"
	"wisteriadrum/reporter"
	"wisteriadrum/restrainer"
	"wisteriadrum/worker"
)

// Track is the state of one endpoint as seen by this instance. It is safe for
// concurrent use, and readers never block.
type Track struct {
	Endpoint worker.Endpoint
	// Hash is the hash of the endpoint's name, the same at every instance.
	Hash uint64
	// Local reports whether the endpoint is in the instance's own data centre.
	Local bool

	inFlight     atomic.Int64 // requests sent and not ended
	pendingBytes atomic.Int64 // prompt bytes sent whose first token is awaited
	sentBytes    atomic.Int64 // prompt bytes sent since the start
	backoffUntil atomic.Int64 // Unix time in nanoseconds
	failures     atomic.Int64 // since the last success
	failedProbes atomic.Int64 // since the last report
	stopped      atomic.Bool
	said         holder.Value[restrainer.Restrainer]
	view         atomic.Pointer[View]
	viewMu       sync.Mutex // held while view is replaced
}

// View is an immutable snapshot of the endpoint's last report.
type View struct {
	reporter.Report
	// ReportedAt is when the report arrived, or zero before the first one.
	ReportedAt time.Time
	// Slot is the number of the incarnation in the cache map, or 0 if the
	// incarnation is unknown.
	Slot uint16
	// sentAtReport is the value of Track.sentBytes when the report arrived.
	sentAtReport int64
}

// New returns a track of endpoint without a report.
func New(endpoint worker.Endpoint, local bool) *Track {
	t := &Track{Endpoint: endpoint, Local: local, Hash: xxhash.Sum64String(endpoint.Name)}
	t.view.Store(&View{})
	return t
}

// View returns a snapshot of the endpoint's last report.
func (t *Track) View() *View { return t.view.Load() }

// Begin counts the start of a request of which about the given number of prompt
// bytes is not cached.
func (t *Track) Begin(bytes int) {
	t.inFlight.Add(1)
	t.pendingBytes.Add(int64(bytes))
	t.sentBytes.Add(int64(bytes))
}

// FirstToken counts the first token of a request that was begun with the same
// number of bytes.
func (t *Track) FirstToken(bytes int) { t.pendingBytes.Add(-int64(bytes)) }

// End counts the end of a request.
func (t *Track) End() { t.inFlight.Add(-1) }

// InFlight returns the number of requests that this instance has in flight at the
// endpoint.
func (t *Track) InFlight() int { return int(t.inFlight.Load()) }

// PendingBytes returns the prompt bytes sent whose first token is awaited.
func (t *Track) PendingBytes() int { return int(t.pendingBytes.Load()) }

// QueuedBytes estimates the prompt bytes that are queued ahead of a request sent
// at now. The endpoint is assumed to compute one byte in nanosPerByte.
func (t *Track) QueuedBytes(now time.Time, nanosPerByte int) int {
	pendingBytes := int(t.pendingBytes.Load())
	view := t.view.Load()
	if view.ReportedAt.IsZero() || nanosPerByte == 0 {
		return pendingBytes
	}
	drainedBytes := int(now.Sub(view.ReportedAt)) / nanosPerByte
	reportedBytes := view.Queue + int(t.sentBytes.Load()-view.sentAtReport) - drainedBytes
	return max(pendingBytes, reportedBytes)
}

// ApplyReport replaces the view by a load report that arrived at now. It ignores
// the report if the view is newer. If the incarnation has changed, newSlot
// allocates the slot of the new one. A delayed report of an earlier incarnation
// cannot be distinguished from that of a new one. Applying it loses cache map
// entries but never affects correctness.
func (t *Track) ApplyReport(report reporter.Report, now time.Time, newSlot func(*Track) uint16) {
	t.viewMu.Lock()
	defer t.viewMu.Unlock()
	current := t.view.Load()
	if now.Before(current.ReportedAt) {
		return
	}
	if report.Weights == "" && report.Incarnation == current.Incarnation {
		report.Weights = current.Weights
	}
	next := &View{Report: report, ReportedAt: now, Slot: current.Slot, sentAtReport: t.sentBytes.Load()}
	if report.Incarnation != current.Incarnation {
		next.Slot = newSlot(t)
		t.said.Store(restrainer.Restrainer{})
	}
	t.view.Store(next)
}

// ApplyAnswer updates the view from the head of an answer, which carries only
// some fields of a report. An empty string or a negative queue means that the
// answer has no such field.
func (t *Track) ApplyAnswer(incarnation, weights string, queue int, now time.Time, newSlot func(*Track) uint16) {
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
	t.ApplyReport(report, now, newSlot)
}

// RecordProbe records whether the endpoint answered a probe, and returns the
// number of failed probes since it last did.
func (t *Track) RecordProbe(answered bool) int {
	if answered {
		t.failedProbes.Store(0)
		return 0
	}
	return int(t.failedProbes.Add(1))
}

// Hear changes what the endpoint has said of itself.
func (t *Track) Hear(change func(restrainer.Restrainer) restrainer.Restrainer) { t.said.Update(change) }

// HeldUntil returns until when the endpoint wants no requests, in the past if it does.
func (t *Track) HeldUntil() time.Time { return t.said.Load().HeldUntil() }

// AvoidUntil keeps the endpoint in backoff until the given time.
func (t *Track) AvoidUntil(until time.Time) { t.backoffUntil.Store(until.UnixNano()) }

// RecordFailure counts a failure and returns the number since the last success.
func (t *Track) RecordFailure() int { return int(t.failures.Add(1)) }

// RecordSuccess resets the failure count and ends the backoff.
func (t *Track) RecordSuccess() {
	t.failures.Store(0)
	t.backoffUntil.Store(0)
}

// SetStopped sets whether the endpoint is in a planned stop.
func (t *Track) SetStopped(stopped bool) { t.stopped.Store(stopped) }

// Leaving reports whether the endpoint accepts no new requests because of a
// planned stop, a drain or the loading of weights.
func (t *Track) Leaving() bool {
	view := t.view.Load()
	return t.stopped.Load() || view.Leaving || view.Loading
}

// Available reports whether the endpoint may get new requests at now: it is
// neither leaving nor in backoff and wants requests.
func (t *Track) Available(now time.Time) bool {
	return !t.Leaving() && !t.HeldUntil().After(now) && t.backoffUntil.Load() <= now.UnixNano()
}
