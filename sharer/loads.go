package sharer

import "wisteriadrum/monitor"

// endpointLoad is the load on one endpoint by the name of the instance that
// causes it.
type endpointLoad struct {
	key        uint64
	dataCentre string
	byInstance map[string]monitor.Load
}

type endpointLoads []endpointLoad

// endpointLoads returns the load on all endpoints, as measured by this instance
// and as received from others.
func (s *Sharer) endpointLoads() endpointLoads {
	var list endpointLoads
	now := s.now()
	for _, endpoint := range s.endpoints() {
		byInstance := endpoint.PeerLoads(now)
		if own := endpoint.OwnLoad(); own != (monitor.Load{}) {
			byInstance[s.self.Name] = own
		}
		if len(byInstance) > 0 {
			list = append(list, endpointLoad{key: endpoint.Key, dataCentre: endpoint.Entry().DataCentre, byInstance: byInstance})
		}
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
		sum := monitor.Load{}
		for instance, load := range endpoint.byInstance {
			if instance != name {
				sum = sum.Add(load)
			}
		}
		loads = appendNonZero(loads, endpoint.key, sum)
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
