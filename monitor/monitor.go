// Package monitor tracks the state of one endpoint: its entry, the load that
// this and other instances put on it, its latency and failures, and the prompt
// parts in its cache.
package monitor

import (
	"sync"
	"time"

	"wisteriadrum/comparer"
	"wisteriadrum/restrainer"
	"wisteriadrum/router"
)

const (
	// minBackoff and maxBackoff bound the backoff after failures, which doubles
	// with each consecutive failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// peerLoadExpiry is the age at which a peer's reported load is dropped:
	// four times the longest reporting interval.
	peerLoadExpiry = 2 * time.Second
	// cacheShare is the share of an engine's KV memory that is assumed to hold
	// cached parts.
	cacheShare = 0.8
	// departedRetention is how long an endpoint is kept after it has left, so that its
	// last answers are still counted, and saidRetention how long one whose words still
	// matter, since its entry may be listed again.
	departedRetention = 10 * time.Second
	saidRetention     = 10 * time.Minute
)

// Entry is the entry of one endpoint in the list of endpoints.
type Entry struct {
	Name, Address, Pool, DataCentre string
	// Incarnation distinguishes restarts of an endpoint.
	Incarnation int64
	// Sequence rises with each entry that an incarnation writes, 0 if unknown.
	Sequence int64
	// Slots is the maximum number of concurrently running requests.
	Slots int
	// Leaving reports that the endpoint is about to leave.
	Leaving bool
	// Weights maps the names of the served models to their versions.
	Weights map[string]int
}

// Before reports whether the entry is known to be older than another one of the same
// incarnation.
func (e Entry) Before(other Entry) bool {
	return e.Incarnation > 0 && e.Sequence > 0 && e.Sequence < other.Sequence
}

// Monitor tracks one incarnation of an endpoint.
type Monitor struct {
	// Key identifies the incarnation in messages between instances.
	Key uint64
	// asking holds a value while a request asks for a permit.
	asking chan struct{}

	mu             sync.Mutex
	entry          Entry
	engine         *router.Engine
	ownLoad        Load
	lastReceived   time.Time
	peers          map[string]peerLoad
	cache          *partCache
	weights        map[string]int
	weightsKnownAt map[string]time.Time
	loadingUntil   time.Time
	backoffUntil   time.Time
	leavingUntil   time.Time
	resumeAt       time.Time
	said           restrainer.Restrainer
	pace           pace
	failures       int
	answers        comparer.Comparer
}

// New returns a monitor for an endpoint; engine is nil for plain services.
func New(key uint64, entry Entry, engine *router.Engine) *Monitor {
	m := &Monitor{Key: key, asking: make(chan struct{}, 1), peers: map[string]peerLoad{}, weights: map[string]int{}, weightsKnownAt: map[string]time.Time{}}
	m.Update(entry, engine)
	return m
}

// Update replaces the entry and the engine settings.
func (m *Monitor) Update(entry Entry, engine *router.Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry, m.engine = entry, engine
	for model, version := range entry.Weights {
		m.setWeights(model, version)
	}
	if engine == nil {
		return // what is recorded of the parts holds again if the pool gets engine settings again
	}
	capacity := int(float64(engine.CapacityTokens) * cacheShare)
	if m.cache == nil {
		m.cache = newPartCache(capacity)
	}
	m.cache.resize(capacity)
}

// Entry returns the last entry.
func (m *Monitor) Entry() Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// RecordReceived records that the endpoint sent data at now.
func (m *Monitor) RecordReceived(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReceived = now
}

// SilentFor returns how long the endpoint has sent nothing while requests of
// this instance are in flight, and 0 if none are.
func (m *Monitor) SilentFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silentFor(now)
}

func (m *Monitor) silentFor(now time.Time) time.Duration {
	if m.ownLoad.Requests == 0 {
		return 0
	}
	return now.Sub(m.lastReceived)
}

// AddPart records that the endpoint caches a part, or is prefilling it if ready
// is false.
func (m *Monitor) AddPart(part uint64, tokens int, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache != nil {
		m.cache.add(part, tokens, ready)
	}
}

// DropPendingPart removes a part whose prefill did not finish.
func (m *Monitor) DropPendingPart(part uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache != nil {
		m.cache.dropPending(part)
	}
}

// HasPart reports whether the endpoint is assumed to cache or prefill a part,
// and whether the part is ready.
func (m *Monitor) HasPart(part uint64) (cached, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache == nil {
		return false, false
	}
	return m.cache.has(part)
}

// PartDepth returns the number of tokens of a cached part and of the parts used after it.
func (m *Monitor) PartDepth(part uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache == nil {
		return 0
	}
	return m.cache.depth(part)
}

// ClearParts records that the endpoint's cache is empty.
func (m *Monitor) ClearParts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache != nil {
		m.cache = newPartCache(m.cache.capacityTokens)
	}
}

// SetWeights records the version of a model that the endpoint serves, and reports
// whether it is newer than the recorded one.
func (m *Monitor) SetWeights(model string, version int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.setWeights(model, version)
}

// setWeights keeps the highest version, since versions only increase.
func (m *Monitor) setWeights(model string, version int) bool {
	if version <= m.weights[model] {
		return false
	}
	now := time.Now()
	if m.loadingUntil.After(now) {
		m.pace = pace{until: now.Add(paceLife), recoveredAt: now}
	}
	m.weights[model] = version
	m.weightsKnownAt[model] = now
	m.loadingUntil = time.Time{}
	return true
}

// WeightsAfter returns the version of model if it became known after the given
// time, and 0 otherwise.
func (m *Monitor) WeightsAfter(model string, after time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.weightsKnownAt[model].After(after) {
		return 0
	}
	return m.weights[model]
}

// Weights returns the version of model that the endpoint serves, 0 if unknown.
func (m *Monitor) Weights(model string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.weights[model]
}

// MarkLoading records that the endpoint is loading weights, until deadline at
// the latest.
func (m *Monitor) MarkLoading(deadline time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadingUntil = deadline
}

// RecordAnswer records the measured and the predicted time to first token in
// milliseconds, both 0 if unknown, and ends the backoff.
func (m *Monitor) RecordAnswer(measuredMillis, predictedMillis float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures, m.backoffUntil = 0, time.Time{}
	m.answers = m.answers.WithAnswer(measuredMillis, predictedMillis, now)
}

// RecordFailure records a failure and starts or extends the backoff.
func (m *Monitor) RecordFailure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordFailure(now)
}

func (m *Monitor) recordFailure(now time.Time) {
	m.failures++
	backoff := min(minBackoff<<min(m.failures-1, 8), maxBackoff)
	m.backoffUntil = now.Add(backoff)
	if m.failures >= pacedFailures {
		m.pace = pace{until: m.backoffUntil.Add(paceLife), recoveredAt: now}
	}
}

// RecordReset records that a connection to the endpoint was reset while it accepts
// others, or refused, and reports whether that counts as a failure. Those of several
// connections, or at several instances, at one moment count as one.
func (m *Monitor) RecordReset(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.backoffUntil.After(now) {
		return false
	}
	m.recordFailure(now)
	return true
}

// View is a snapshot of an endpoint's state for placing one request.
type View struct {
	Entry   Entry
	Engine  *router.Engine
	Load    Load
	Weights int
	// InBackoff reports recent failures, Loading that weights are being loaded,
	// Leaving that the endpoint is about to leave, and Left that it has left.
	InBackoff, Loading, Leaving, Left bool
	// Held reports that it gets no requests from this instance now by what it has said,
	// Limited that it takes only so many a second from all instances.
	Held, Limited bool
	// Paced reports that it has just started or recovered, and takes requests that have a
	// place, Closed that no place is left now.
	Paced, Closed bool
	// SilentFor is how long it has sent nothing while requests are in flight.
	SilentFor time.Duration
	// LatencyRatio is the ratio of measured to predicted latency.
	LatencyRatio float64
}

// View returns a snapshot at now for a request to model.
func (m *Monitor) View(model string, now time.Time) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, limited := m.said.Limit()
	load := m.ownLoad
	for peer, report := range m.peers {
		if !now.Before(report.expiresAt) {
			delete(m.peers, peer)
			continue
		}
		load = load.Add(report.load)
	}
	return View{
		Entry: m.entry, Engine: m.engine, Load: load, Weights: m.weights[model],
		InBackoff: m.backoffUntil.After(now), Loading: m.loadingUntil.After(now),
		Leaving: m.leaving(now) || m.said.Leaving(), Left: m.left(now), Held: m.said.HeldUntil().After(now), Limited: limited,
		Paced: m.pace.until.After(now), Closed: m.pace.closedUntil.After(now),
		SilentFor:    m.silentFor(now),
		LatencyRatio: m.answers.Ratio(now),
	}
}
