package monitor

import "time"

// Load is work in flight at an endpoint.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// Unread is the number of prompt tokens that are still to be read.
	Unread int
	// Memory is the number of tokens held by the requests.
	Memory int
}

// Add returns the sum of l and other.
func (l Load) Add(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Unread: l.Unread + other.Unread, Memory: l.Memory + other.Memory}
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
	m.own = m.own.Add(Load{Requests: -load.Requests, Unread: -load.Unread, Memory: -load.Memory})
}

// Own returns the work of this instance.
func (m *Monitor) Own() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own
}

// Told takes in the work of another instance.
func (m *Monitor) Told(peer string, load Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load == (Load{}) {
		delete(m.peers, peer)
		return
	}
	m.peers[peer] = peerLoad{load: load, staleBy: now.Add(peerStale)}
}

// Forget drops what other instances told of their work.
func (m *Monitor) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.peers)
}

// Shares returns the work that other instances told of late, by their names.
func (m *Monitor) Shares(now time.Time) map[string]Load {
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
