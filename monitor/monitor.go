// Package monitor keeps what an instance knows of one endpoint: its entry, the
// load that this and other instances put on it, how it answered, and which
// parts of prompts it keeps.
package monitor

import (
	"math"
	"sync"
	"time"

	"wisteriadrum/router"
)

const (
	// shunFirst and shunMost bound the time for which an endpoint is left
	// after failures; it doubles with each in a row.
	shunFirst = 250 * time.Millisecond
	shunMost  = 4 * time.Second
	// peerStale is the age at which a peer's word on load is dropped: four of
	// the longest intervals at which it is told.
	peerStale = 2 * time.Second
	// scaleHalf is the time in which half of what was learned of an endpoint's
	// pace is forgotten.
	scaleHalf = 3 * time.Second
	// scalePrior is the weight of the neutral pace 1, in predicted milliseconds.
	scalePrior = 200.0
	// keptShare is the share of an engine's memory taken to hold kept parts.
	keptShare = 0.8
)

// Entry is what the list of endpoints says of one.
type Entry struct {
	Name, Address, Pool, DataCentre string
	// Incarnation distinguishes the incarnations of an endpoint.
	Incarnation int64
	// Slots is the most requests that run at once.
	Slots int
	// Leaving reports that the endpoint is about to leave.
	Leaving bool
	// Weights are the versions of models by name.
	Weights map[string]int
}

// Monitor holds what is known of one incarnation of an endpoint.
type Monitor struct {
	Key uint64

	mu       sync.Mutex
	entry    Entry
	engine   *router.Engine
	own      Load
	heard    time.Time
	peers    map[string]peerLoad
	kept     *shelf
	weights  map[string]int
	known    map[string]time.Time
	loadBy   time.Time
	shunBy   time.Time
	leaveBy  time.Time
	failures int
	actual   float64
	expected float64
	learned  time.Time
}

// New returns a monitor of an endpoint; engine is nil for plain services.
func New(key uint64, entry Entry, engine *router.Engine) *Monitor {
	m := &Monitor{Key: key, peers: map[string]peerLoad{}, weights: map[string]int{}, known: map[string]time.Time{}}
	m.Update(entry, engine)
	return m
}

// Update takes in a newer entry.
func (m *Monitor) Update(entry Entry, engine *router.Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry, m.engine = entry, engine
	for model, version := range entry.Weights {
		m.setWeights(model, version)
	}
	if m.kept == nil && engine != nil {
		m.kept = newShelf(int(float64(engine.CapacityTokens) * keptShare))
	}
}

// Entry returns the last entry.
func (m *Monitor) Entry() Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// RecordReceived notes that the endpoint sent something at now.
func (m *Monitor) RecordReceived(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = now
}

// SilentFor returns for how long the endpoint has sent nothing although this
// instance waits for it.
func (m *Monitor) SilentFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silent(now)
}

func (m *Monitor) silent(now time.Time) time.Duration {
	if m.own.Requests == 0 {
		return 0
	}
	return now.Sub(m.heard)
}

// AddPart notes that the endpoint holds a part, or is about to if it is not ready.
func (m *Monitor) AddPart(part uint64, tokens int, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept != nil {
		m.kept.put(part, tokens, ready)
	}
}

// DropPendingPart notes that a part that was not ready does not come.
func (m *Monitor) DropPendingPart(part uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept != nil {
		m.kept.giveUp(part)
	}
}

// HasPart reports whether the endpoint is believed to hold a part or to read it
// now, and whether it is ready.
func (m *Monitor) HasPart(part uint64) (held, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept == nil {
		return false, false
	}
	return m.kept.has(part)
}

// ClearParts notes that the endpoint holds nothing.
func (m *Monitor) ClearParts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept != nil {
		m.kept = newShelf(m.kept.capacity)
	}
}

// MarkLeaving notes that the endpoint leaves and must get nothing from by on. An
// earlier note stands.
func (m *Monitor) MarkLeaving(by time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaveBy.IsZero() {
		m.leaveBy = by
	}
}

// ClearLeaving takes back Leave, for an endpoint that is listed again.
func (m *Monitor) ClearLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaveBy = time.Time{}
}

// Left reports whether the endpoint must get nothing at now.
func (m *Monitor) Left(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.leaveBy.IsZero() && !now.Before(m.leaveBy)
}

// SetWeights notes the version of a model that the endpoint serves.
func (m *Monitor) SetWeights(model string, version int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setWeights(model, version)
}

// setWeights keeps the highest version: versions only rise.
func (m *Monitor) setWeights(model string, version int) {
	if version <= m.weights[model] {
		return
	}
	m.weights[model] = version
	m.known[model] = time.Now()
	m.loadBy = time.Time{}
}

// WeightsAfter returns the version of model if it became known after a time,
// and 0 otherwise.
func (m *Monitor) WeightsAfter(model string, after time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known[model].After(after) {
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

// MarkLoading notes that the endpoint loads weights, at the longest until by.
func (m *Monitor) MarkLoading(by time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadBy = by
}

// RecordAnswer takes in the time in milliseconds until an answer began and the
// time that had been predicted for it.
func (m *Monitor) RecordAnswer(actual, expected float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures, m.shunBy = 0, time.Time{}
	m.decay(now)
	m.actual += actual
	m.expected += expected
}

// RecordFailure notes a failure and leaves the endpoint for a while.
func (m *Monitor) RecordFailure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures++
	pause := min(shunFirst<<min(m.failures-1, 8), shunMost)
	m.shunBy = now.Add(pause)
}

// View is what a choice needs to know of an endpoint.
type View struct {
	Entry   Entry
	Engine  *router.Engine
	Load    Load
	Weights int
	// InBackoff reports failures of late, Loading that weights are loaded,
	// Leaving that the endpoint is about to leave, and Left that it has.
	InBackoff, Loading, Leaving, Left bool
	// SilentFor is for how long it has sent nothing although it should.
	SilentFor time.Duration
	// LatencyRatio is the ratio of the endpoint's times to those predicted.
	LatencyRatio float64
}

// View returns what is known at now for a request to model.
func (m *Monitor) View(model string, now time.Time) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	load := m.own
	for peer, told := range m.peers {
		if !now.Before(told.staleBy) {
			delete(m.peers, peer)
			continue
		}
		load = load.Add(told.load)
	}
	return View{
		Entry: m.entry, Engine: m.engine, Load: load, Weights: m.weights[model],
		InBackoff: m.shunBy.After(now), Loading: m.loadBy.After(now),
		Leaving: !m.leaveBy.IsZero(), Left: !m.leaveBy.IsZero() && !now.Before(m.leaveBy),
		SilentFor:    m.silent(now),
		LatencyRatio: (m.actual + scalePrior) / (m.expected + scalePrior),
	}
}

func (m *Monitor) decay(now time.Time) {
	if !m.learned.IsZero() {
		left := math.Exp2(-float64(now.Sub(m.learned)) / float64(scaleHalf))
		m.actual *= left
		m.expected *= left
	}
	m.learned = now
}
