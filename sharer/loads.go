package sharer

import (
	"time"

	"wisteriadrum/monitor"
)

// endpointLoad is the load on one endpoint by the name of the instance that
// causes it, and their sum.
type endpointLoad struct {
	key        uint64
	dataCentre string
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
		list = append(list, endpointLoad{key: endpoint.Key, dataCentre: endpoint.DataCentre(), byInstance: byInstance, total: total})
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

// inDataCentre returns the loads on the endpoints of a data centre.
func (e endpointLoads) inDataCentre(dataCentre string) endpointLoads {
	var inside endpointLoads
	for _, endpoint := range e {
		if endpoint.dataCentre == dataCentre {
			inside = append(inside, endpoint)
		}
	}
	return inside
}

func appendNonZero(loads []load, key uint64, sum monitor.Load) []load {
	if sum == (monitor.Load{}) {
		return loads
	}
	return append(loads, newLoad(key, sum))
}
