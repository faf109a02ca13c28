package monitor

import "time"

// Load is the work in flight at an endpoint.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// PrefillTokens is the number of prompt tokens still to be prefilled.
	PrefillTokens int
	// KVTokens is the number of tokens that the requests hold in KV memory.
	KVTokens int
}

// Add returns the sum of l and other.
func (l Load) Add(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, PrefillTokens: l.PrefillTokens + other.PrefillTokens, KVTokens: l.KVTokens + other.KVTokens}
}

// Sub returns l without other.
func (l Load) Sub(other Load) Load {
	return Load{Requests: l.Requests - other.Requests, PrefillTokens: l.PrefillTokens - other.PrefillTokens, KVTokens: l.KVTokens - other.KVTokens}
}

// peerLoad is the load that another instance reported.
type peerLoad struct {
	load      Load
	expiresAt time.Time
}

// Begin adds load that this instance sends at now.
func (m *Monitor) Begin(load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ownLoad.Requests == 0 {
		m.lastReceived = now
	}
	m.ownLoad = m.ownLoad.Add(load)
}

// End subtracts load that Begin added.
func (m *Monitor) End(load Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownLoad = m.ownLoad.Add(Load{Requests: -load.Requests, PrefillTokens: -load.PrefillTokens, KVTokens: -load.KVTokens})
}

// OwnLoad returns the load of this instance.
func (m *Monitor) OwnLoad() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownLoad
}

// SetPeerLoad stores the load that another instance reported at now. A zero
// load removes it.
func (m *Monitor) SetPeerLoad(peer string, load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load == (Load{}) {
		delete(m.peers, peer)
		return
	}
	m.peers[peer] = peerLoad{load: load, expiresAt: now.Add(peerLoadExpiry)}
}

// ClearPeerLoads removes the loads reported by other instances.
func (m *Monitor) ClearPeerLoads() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.peers)
}

// PeerLoads returns the loads of other instances that have not expired at now,
// by instance name.
func (m *Monitor) PeerLoads(now time.Time) map[string]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := make(map[string]Load, len(m.peers)+1)
	for peer, report := range m.peers {
		if now.Before(report.expiresAt) {
			loads[peer] = report.load
		}
	}
	return loads
}
