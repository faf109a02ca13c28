package main

import (
	"fmt"
	"net/http"
	"time"
)

// cutTime is how long the zones are cut off from each other.
const cutTime = 5500 * time.Millisecond

// runCut cuts a zone off from another one, so that connections between them are reset and
// new ones refused, while clients of a tenant read the same resource again and again, on a
// route that was added by the second manifest. Others read all kinds of resources on the
// first route. The instances and two workers are in one zone, two workers in the other.
func runCut(s *scene) (int, error) {
	var links []*link
	for n := range 4 {
		w, err := s.addWorker(fmt.Sprintf("i-o%d", n), "svc-o", 6, "", 60*time.Millisecond, 0)
		if err != nil {
			return couldNot, err
		}
		if n < 2 {
			continue
		}
		path, err := s.moveBehindLink(w, "z2")
		if err != nil {
			return couldNot, err
		}
		links = append(links, path)
	}
	first := plainRoute("r-first", "f.example", "/f/", "idempotent", "svc-o", 2)
	later := plainRoute("r-later", "l.example", "/l/", "idempotent", "svc-o", 2)
	services, tenants := []any{plainService("svc-o")}, []any{tenant("tenant1", tenantKey, false)}
	s.store.put("op", "config", manifest(3, []any{first}, services, tenants))
	var instances []*instance
	for _, name := range []string{"front-1", "front-2"} {
		i, err := s.addInstance(name, limits{memoryMb: 134, maxFds: 4100, requireFence: true})
		if err != nil {
			return couldNot, err
		}
		if err := i.awaitReady(10 * time.Second); err != nil {
			return couldNot, err
		}
		instances = append(instances, i)
	}
	s.store.put("op", "config", manifest(5, []any{first, later}, services, tenants))
	s.record.say("manifest 5 adds route r-later")
	time.Sleep(3 * time.Second)
	for _, i := range instances {
		for range 3 {
			s.keepSending(i.front(), 50*time.Millisecond, func(id string) call {
				return call{id: id, method: http.MethodGet, host: "f.example", path: "/f/" + id, key: tenantKey, limit: 1500 * time.Millisecond}
			})
		}
		for range 6 {
			s.keepSending(i.front(), 20*time.Millisecond, func(id string) call {
				return call{id: id, method: http.MethodGet, host: "l.example", path: "/l/stock/17", key: tenantKey, limit: 1500 * time.Millisecond}
			})
		}
	}
	time.Sleep(5 * time.Second)
	if s.trouble {
		for _, path := range links {
			path.cut()
		}
		s.record.say("the zones are cut off from each other")
	}
	time.Sleep(cutTime)
	for _, path := range links {
		if err := path.heal(); err != nil {
			return couldNot, err
		}
	}
	s.record.say("the zones reach each other")
	time.Sleep(6 * time.Second) // twice contactMs
	steadyAt := time.Now()
	s.record.say("steady state")
	time.Sleep(20 * time.Second)
	s.stopClients()
	return judgeRoutes(s, steadyAt), nil
}

// judgeRoutes applies the rule CONFIG to the requests that were sent in the steady state from
// a time on: those on the route that was added later must not be served less than a quarter
// as often as those on the first one, if there are 20 or more.
func judgeRoutes(s *scene, steadyAt time.Time) int {
	asked, served, statuses := map[string]int{}, map[string]int{}, map[string]map[int]int{}
	for _, o := range s.seen() {
		if o.sentAt.Before(steadyAt) {
			continue
		}
		asked[o.host]++
		if o.result == answered && o.status == http.StatusOK {
			served[o.host]++
		}
		if statuses[o.host] == nil {
			statuses[o.host] = map[int]int{}
		}
		statuses[o.host][o.status]++
	}
	share := func(host string) float64 { return float64(served[host]) / float64(max(asked[host], 1)) }
	s.record.say("first route: %d of %d served, by status %v; added route: %d of %d served, by status %v",
		served["f.example"], asked["f.example"], statuses["f.example"], served["l.example"], asked["l.example"], statuses["l.example"])
	if asked["l.example"] < 20 || asked["f.example"] < 20 {
		return couldNot
	}
	if share("l.example") < share("f.example")/4 {
		s.record.say("CONFIG is broken")
		return broken
	}
	return held
}
