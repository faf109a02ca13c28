package main

import (
	"fmt"
	"net/http"
	"time"
)

const otherKey = "fqasnmgkcuyj8pjbvk9m"

// runIsolated publishes a manifest from which on a tenant is isolated. Without the
// disruption, the tenant is isolated from the first manifest on, and the second one only
// changes the time limit of a route.
func runIsolated(s *scene) (int, error) {
	for n := range 2 {
		if _, err := s.addWorker(fmt.Sprintf("i-a%d", n), "svc-a", 64, modelName, 300*time.Millisecond, 6); err != nil {
			return couldNot, err
		}
	}
	services := []any{engineService("svc-a", 64)}
	route := promptRoute("svc-a")
	s.store.put("op", "config", manifest(3, []any{route}, services, []any{tenant("walled", tenantKey, !s.trouble), tenant("other", otherKey, false)}))
	i, err := s.addInstance("front-1", limits{memoryMb: 284, maxFds: 4100, requireFence: true})
	if err != nil {
		return couldNot, err
	}
	if err := i.awaitReady(10 * time.Second); err != nil {
		return couldNot, err
	}
	send := func(key string, requests int) error {
		for range requests {
			c, err := connect(i.front())
			if err != nil {
				return err
			}
			id := s.newID()
			seen, _ := c.do(call{
				id: id, method: http.MethodPost, host: "c.example", path: "/c/1", key: key, model: modelName, usage: "17020,30",
				parts: "5c1e07a2:8000,91bd3f06:5300," + id + ":3720", limit: 10 * time.Second,
			})
			s.note(seen)
			_ = c.conn.Close()
		}
		return nil
	}
	if err := send(tenantKey, 6); err != nil {
		return couldNot, err
	}
	route["timeoutMs"] = 9000
	s.store.put("op", "config", manifest(5, []any{route}, services, []any{tenant("walled", tenantKey, true), tenant("other", otherKey, false)}))
	s.record.say("manifest 5 confirmed: tenant walled is isolated (it was before: %t)", !s.trouble)
	time.Sleep(3 * time.Second) // configApplyMs, and a second more
	appliedAt := time.Now()
	if err := send(otherKey, 6); err != nil {
		return couldNot, err
	}
	if err := send(tenantKey, 2); err != nil {
		return couldNot, err
	}
	return judgeWall(s, "walled", appliedAt), nil
}

// judgeWall applies the rule WALL to the requests that were sent after a time: none of them
// may use cached parts that a request of another tenant made, where one of the two is the
// isolated tenant.
func judgeWall(s *scene, isolated string, after time.Time) int {
	foreign, served := 0, 0
	for _, o := range s.seen() {
		r := s.ran(o.id)
		if o.sentAt.Before(after) || r == nil {
			continue
		}
		served++
		if len(r.foreign) == 0 {
			continue
		}
		foreign++
		s.record.say("request %s of tenant %s used at %s, under the salt %q, the parts %v; tenant %s is isolated", o.id, r.tenant, r.worker, r.salt, r.foreign, isolated)
	}
	s.record.say("%d requests ran after the manifest was in force, %d of them used parts of the other tenant", served, foreign)
	if served == 0 {
		return couldNot
	}
	if foreign > 0 {
		s.record.say("WALL is broken")
		return broken
	}
	return held
}
