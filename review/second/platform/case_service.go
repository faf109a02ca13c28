package main

import (
	"fmt"
	"net/http"
	"time"
)

// runServiceRemoved publishes a manifest that moves the prompts to another service and drops
// the one that served them, while prompts wait for room there.
func runServiceRemoved(s *scene) (int, error) {
	for n := range 2 {
		if _, err := s.addWorker(fmt.Sprintf("i-a%d", n), "svc-a", 64, modelName, 2*time.Second, 24); err != nil {
			return couldNot, err
		}
		if _, err := s.addWorker(fmt.Sprintf("i-b%d", n), "svc-b", 64, modelName, 2*time.Second, 24); err != nil {
			return couldNot, err
		}
		if _, err := s.addWorker(fmt.Sprintf("i-o%d", n), "svc-o", 64, "", 300*time.Millisecond, 0); err != nil {
			return couldNot, err
		}
	}
	booking := plainRoute("r-booking", "o.example", "/b/", "non_idempotent", "svc-o", 1)
	tenants := []any{tenant("tenant1", tenantKey, false)}
	services := []any{engineService("svc-a", 64), engineService("svc-b", 64), plainService("svc-o")}
	s.store.put("op", "config", manifest(3, []any{promptRoute("svc-a"), booking}, services, tenants))
	for _, name := range []string{"front-1", "front-2"} {
		i, err := s.addInstance(name, limits{memoryMb: 284, maxFds: 4100, requireFence: true})
		if err != nil {
			return couldNot, err
		}
		if err := i.awaitReady(10 * time.Second); err != nil {
			return couldNot, err
		}
		go i.keepProbing()
		for range 12 {
			s.keepSending(i.front(), 10*time.Millisecond, func(id string) call {
				return call{
					id: id, method: http.MethodPost, host: "c.example", path: "/c/1", key: tenantKey, model: modelName, usage: "17020,30",
					parts: "5c1e07a2:8000,91bd3f06:5300," + id + ":3720", limit: 10 * time.Second,
				}
			})
			s.keepSending(i.front(), 10*time.Millisecond, func(id string) call {
				return call{id: id, method: http.MethodPost, host: "o.example", path: "/b/1", key: tenantKey, limit: 1500 * time.Millisecond}
			})
		}
	}
	time.Sleep(8 * time.Second)
	if s.trouble {
		services = services[1:]
	}
	sentAt := time.Now()
	s.store.put("op", "config", manifest(5, []any{promptRoute("svc-b"), booking}, services, tenants))
	confirmedAt := time.Now()
	s.record.say("manifest 5 sent and confirmed; services listed: %d", len(services))
	time.Sleep(6 * time.Second)
	s.stopClients()
	return judgeLoss(s, sentAt, confirmedAt.Add(3*time.Second)), nil
}

// judgeLoss applies the rule LOST around planned work that began at a time and counts until
// another: requests that were read, and passed on or kept for over 200 ms, and whose channel
// ended without a complete answer.
func judgeLoss(s *scene, from, until time.Time) int {
	lost, lostElsewhere := 0, 0
	for _, o := range s.seen() {
		if o.result != closedEmpty && o.result != closedMidway {
			continue
		}
		r := s.ran(o.id)
		if r == nil && o.doneAt.Sub(o.sentAt) <= 200*time.Millisecond {
			continue
		}
		if o.doneAt.After(from) && o.sentAt.Before(until) {
			lost++
			s.record.add("lost: %s, passed on: %t", o, r != nil)
		} else {
			lostElsewhere++
		}
	}
	elsewhere := from.Sub(s.record.startedAt).Seconds()
	s.record.say("%d requests lost in %.1f s around the manifest, %d in %.1f s before it", lost, until.Sub(from).Seconds(), lostElsewhere, elsewhere)
	for _, i := range s.instances {
		s.record.say("%s has ended by itself: %t", i.name, i.ended())
	}
	if lost > 0 && float64(lost)/until.Sub(from).Seconds() > 3*float64(lostElsewhere)/elsewhere {
		s.record.say("LOST is broken")
		return broken
	}
	return held
}
