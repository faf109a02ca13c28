package monitor

import "time"

// Load is work in flight at an endpoint.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// PrefillTokens is the number of prompt tokens that are still to be read.
	PrefillTokens int
	// KVTokens is the number of tokens held by the requests.
	KVTokens int
}

// Add returns the sum of l and other.
func (l Load) Add(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, PrefillTokens: l.PrefillTokens + other.PrefillTokens, KVTokens: l.KVTokens + other.KVTokens}
}

type peerLoad struct {
	load    Load
	staleBy time.Time
}

// Begin counts work of this instance that is sent at now.
func (m *Monitor) Begin(load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own.Requests == 0 {
		m.heard = now
	}
	m.own = m.own.Add(load)
}

// End takes back work that Begin counted.
func (m *Monitor) End(load Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own = m.own.Add(Load{Requests: -load.Requests, PrefillTokens: -load.PrefillTokens, KVTokens: -load.KVTokens})
}

// OwnLoad returns the work of this instance.
func (m *Monitor) OwnLoad() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own
}

// SetPeerLoad takes in the work of another instance.
func (m *Monitor) SetPeerLoad(peer string, load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load == (Load{}) {
		delete(m.peers, peer)
		return
	}
	m.peers[peer] = peerLoad{load: load, staleBy: now.Add(peerStale)}
}

// ClearPeerLoads drops what other instances told of their work.
func (m *Monitor) ClearPeerLoads() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.peers)
}

// PeerLoads returns the work that other instances told of late, by their names.
func (m *Monitor) PeerLoads(now time.Time) map[string]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	shares := make(map[string]Load, len(m.peers)+1)
	for peer, told := range m.peers {
		if now.Before(told.staleBy) {
			shares[peer] = told.load
		}
	}
	return shares
}
