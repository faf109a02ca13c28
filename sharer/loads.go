package sharer

import (
	"slices"
	"time"

	"wisteriadrum/monitor"
)

// endpointLoad is the load on one endpoint by the name of the instance that
// causes it, and their sum.
type endpointLoad struct {
	key        uint64
	byInstance map[string]monitor.Load
	total      monitor.Load
}

type endpointLoads []endpointLoad

// endpointLoads returns the loads on the endpoints that this instance sends: its
// own, and those received from others unless it reports to a hub.
func (s *Sharer) endpointLoads(now time.Time) endpointLoads {
	var list endpointLoads
	reports := s.peers[s.self.hub] != nil
	for endpoint := range s.endpoints() {
		own := endpoint.OwnLoad()
		byInstance := map[string]monitor.Load{}
		if !reports {
			byInstance = endpoint.PeerLoads(now)
		}
		if own != (monitor.Load{}) {
			byInstance[s.self.Name] = own
		}
		if len(byInstance) == 0 {
			continue
		}
		total := monitor.Load{}
		for _, load := range byInstance {
			total = total.Add(load)
		}
		list = append(list, endpointLoad{key: endpoint.Key, byInstance: byInstance, total: total})
	}
	return list
}

// sumOf returns the sums of the loads that the named instances cause.
func (e endpointLoads) sumOf(names ...string) []load {
	var loads []load
	for _, endpoint := range e {
		sum := monitor.Load{}
		for _, name := range names {
			sum = sum.Add(endpoint.byInstance[name])
		}
		loads = appendNonZero(loads, endpoint.key, sum)
	}
	return loads
}

// sumExcept returns the sums of the loads that all but the named instance
// cause.
func (e endpointLoads) sumExcept(name string) []load {
	var loads []load
	for _, endpoint := range e {
		loads = appendNonZero(loads, endpoint.key, endpoint.total.Sub(endpoint.byInstance[name]))
	}
	return loads
}

// sentLoads are the loads that were last sent, by the name of the receiver; those to
// the other hubs have no name. A lost message makes the receiver's loads less precise
// until the next heartbeat.
type sentLoads map[string]map[uint64]load

// changes returns the loads that differ from those last sent to the receiver,
// including ended ones.
func (s sentLoads) changes(receiver string, loads []load) []load {
	var changed []load
	sent := s[receiver]
	present := 0
	for _, l := range loads {
		old, known := sent[l.Key]
		if known {
			present++
		}
		if !known || old != l {
			changed = append(changed, l)
		}
	}
	if present == len(sent) {
		return changed
	}
	current := make(map[uint64]bool, len(loads))
	for _, l := range loads {
		current[l.Key] = true
	}
	for key := range sent {
		if !current[key] {
			changed = append(changed, load{Key: key})
		}
	}
	return changed
}

// record records that loads were sent to the receiver.
func (s sentLoads) record(receiver string, loads []load) {
	sent := s[receiver]
	if sent == nil {
		sent = make(map[uint64]load, len(loads))
		s[receiver] = sent
	}
	clear(sent)
	for _, l := range loads {
		sent[l.Key] = l
	}
}

// keep forgets the receivers that are neither listed nor the other hubs.
func (s sentLoads) keep(receivers []string) {
	for receiver := range s {
		if receiver != "" && !slices.Contains(receivers, receiver) {
			delete(s, receiver)
		}
	}
}

func appendNonZero(loads []load, key uint64, sum monitor.Load) []load {
	if sum == (monitor.Load{}) {
		return loads
	}
	return append(loads, newLoad(key, sum))
}
