package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// runOtherPart lets another writer put an entry with the id of a worker of another service into
// another part of the table of the workers than the empty one, so that it names no worker. The
// entry names the service of the bookings.
func runOtherPart(s *scene) (int, error) {
	for n := range 2 {
		if _, err := s.addWorker(fmt.Sprintf("i-o%d", n), "svc-o", 6, "", 30*time.Millisecond, 0); err != nil {
			return couldNot, err
		}
		if _, err := s.addWorker(fmt.Sprintf("i-q%d", n), "svc-q", 6, "", 30*time.Millisecond, 0); err != nil {
			return couldNot, err
		}
	}
	booking := plainRoute("r-booking", "o.example", "/b/", "non_idempotent", "svc-o", 1)
	lookup := plainRoute("r-lookup", "q.example", "/q/", "idempotent", "svc-q", 2)
	s.store.put("op", "config", manifest(3, []any{booking, lookup}, []any{plainService("svc-o"), plainService("svc-q")}, []any{tenant("tenant1", tenantKey, false)}))
	i, err := s.addInstance("front-1", limits{memoryMb: 284, maxFds: 4100, requireFence: true})
	if err != nil {
		return couldNot, err
	}
	if err := i.awaitReady(10 * time.Second); err != nil {
		return couldNot, err
	}
	for range 6 {
		s.keepSending(i.front(), 10*time.Millisecond, func(id string) call {
			return call{id: id, method: http.MethodPost, host: "o.example", path: "/b/" + id, key: tenantKey, limit: time.Second}
		})
	}
	for range 5 {
		time.Sleep(3 * time.Second)
		if s.trouble {
			s.putEntry(s.workers[1], "archive")
		}
	}
	time.Sleep(3 * time.Second)
	s.stopClients()
	return judgeService(s, "svc-q"), nil
}

// putEntry writes an entry for the id of a worker into a part of the table.
func (s *scene) putEntry(w *worker, part string) {
	w.mu.Lock()
	entry := map[string]any{
		"service": "svc-o", "address": w.address, "zone": "z1", "version": "v1", "slots": w.slots, "state": "ready", "coldRemainingMs": 0, "seq": w.seq + 1, "born": w.born,
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.apply([]storeRow{{Table: "servers", Part: part, Key: w.id, Value: value}})
	s.record.add("another writer puts the row %s of the part %q: %s", w.id, part, value)
}

// judgeService applies the rule ROUTE: none of the bookings may run at a worker of a service
// to which no manifest sends them.
func judgeService(s *scene, other string) int {
	wrong, right := 0, 0
	for _, w := range s.workers {
		w.mu.Lock()
		for _, id := range w.order {
			if w.service == other {
				wrong++
				s.record.add("%s of service %s ran the booking %s", w.id, w.service, id)
			} else {
				right++
			}
		}
		w.mu.Unlock()
	}
	s.record.say("%d bookings ran at workers of their service, %d at workers of %s", right, wrong, other)
	if right == 0 {
		return couldNot
	}
	if wrong > 0 {
		s.record.say("ROUTE is broken")
		return broken
	}
	return held
}
