package sharer

import "wisteriadrum/monitor"

// work is the load at one endpoint by the instance that puts it there.
type work struct {
	key        uint64
	dataCentre string
	by         map[string]monitor.Load
}

// works is the load at all endpoints.
type works []work

// works returns what this instance knows of the load at endpoints.
func (s *Sharer) works() works {
	var list works
	now := s.now()
	for _, one := range s.places() {
		by := one.PeerLoads(now)
		if own := one.OwnLoad(); own != (monitor.Load{}) {
			by[s.self.Name] = own
		}
		if len(by) > 0 {
			list = append(list, work{key: one.Key, dataCentre: one.Entry().DataCentre, by: by})
		}
	}
	return list
}

// of returns the loads that the named instances put on endpoints.
func (w works) of(names ...string) []load {
	var loads []load
	for _, one := range w {
		sum := monitor.Load{}
		for _, name := range names {
			sum = sum.Add(one.by[name])
		}
		loads = appendLoad(loads, one.key, sum)
	}
	return loads
}

// except returns the loads that all but the named instance put on endpoints.
func (w works) except(name string) []load {
	var loads []load
	for _, one := range w {
		sum := monitor.Load{}
		for by, load := range one.by {
			if by != name {
				sum = sum.Add(load)
			}
		}
		loads = appendLoad(loads, one.key, sum)
	}
	return loads
}

// in returns the load at the endpoints of a data centre.
func (w works) in(dataCentre string) works {
	var inside works
	for _, one := range w {
		if one.dataCentre == dataCentre {
			inside = append(inside, one)
		}
	}
	return inside
}

func appendLoad(loads []load, key uint64, sum monitor.Load) []load {
	if sum == (monitor.Load{}) {
		return loads
	}
	return append(loads, loadOf(key, sum))
}
