package sharer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Home returns the address of the instance that decides for all about the endpoint or
// prompt with a key, and whether it is this one: the live hub with the highest hash of both
// names.
// An instance that reports to a hub gets the address of that hub, which forwards requests.
func (s *Sharer) Home(key uint64) (address string, local bool) {
	s.mu.Lock()
	if hub := s.peers[s.self.hub]; hub != nil {
		defer s.mu.Unlock()
		return hub.Address, false
	}
	home, best := s.self, uint64(0)
	s.mu.Unlock()
	hubs := s.livePeers(func(peer *Peer) bool { return peer.flags.has(flagHub) && !peer.flags.has(flagLeaving) })
	for _, hub := range hubs {
		if score := xxhash.Sum64String(hub.Name + "\x00" + strconv.FormatUint(key, 16)); score >= best {
			home, best = hub, score
		}
	}
	return home.Address, home.Name == s.self.Name
}
