package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// channelsEach is the number of channels that clients keep at each instance: little more
	// than half of the descriptors of a machine.
	channelsEach = 2200
	// channelPause is the pause of a client between two requests on its channel, four fifths
	// of idleTimeoutMs at most.
	channelPause = 10 * time.Second
)

// runChannels kills one of two instances whose clients keep channels open. The clients of the
// killed one come to the other one, which then lacks descriptors for some of them.
func runChannels(s *scene) (int, error) {
	for n := range 4 {
		if _, err := s.addWorker(fmt.Sprintf("i-o%d", n), "svc-o", 200, "", 60*time.Millisecond, 0); err != nil {
			return couldNot, err
		}
	}
	lookup := plainRoute("r-lookup", "q.example", "/q/", "idempotent", "svc-o", 2)
	booking := plainRoute("r-booking", "o.example", "/b/", "non_idempotent", "svc-o", 1)
	s.store.put("op", "config", manifest(3, []any{lookup, booking}, []any{plainService("svc-o")}, []any{tenant("tenant1", tenantKey, false)}))
	var instances []*instance
	for _, name := range []string{"front-1", "front-2"} {
		i, err := s.addInstance(name, limits{memoryMb: 184, maxFds: 4100, requireFence: true})
		if err != nil {
			return couldNot, err
		}
		if err := i.awaitReady(10 * time.Second); err != nil {
			return couldNot, err
		}
		go i.keepProbing()
		instances = append(instances, i)
	}
	survivor, killed := instances[0], instances[1]
	// The platform forwards a new channel to the other instance if one is down.
	address := func(i *instance) func() string {
		return func() string {
			if i.ended() {
				return survivor.front()
			}
			return i.front()
		}
	}
	for _, i := range instances {
		for n := range channelsEach {
			request := func(id string) call {
				return call{id: id, method: http.MethodGet, host: "q.example", path: "/q/" + id, key: tenantKey, limit: 1500 * time.Millisecond}
			}
			if n%4 == 0 {
				request = func(id string) call {
					return call{id: id, method: http.MethodPost, host: "o.example", path: "/b/" + id, key: tenantKey, limit: 1500 * time.Millisecond}
				}
			}
			s.keepSendingTo(address(i), channelPause, request)
			time.Sleep(channelPause / channelsEach)
		}
	}
	time.Sleep(channelPause)
	s.record.say("%d channels are open at each instance", channelsEach)
	killedAt := time.Now()
	if s.trouble {
		killed.signal(syscall.SIGKILL)
	}
	time.Sleep(15 * time.Second)
	s.stopped.Store(true)
	return judgeClosed(s, survivor, killedAt), nil
}

// judgeClosed applies the rule LOST to the instance that goes on: it may not pass a request of
// a kept channel on to a sound worker and close that channel without an answer more than three
// times. A process that ends by itself counts as running.
func judgeClosed(s *scene, survivor *instance, after time.Time) int {
	lost, lostBookings := 0, 0
	for _, o := range s.seen() {
		r := s.ran(o.id)
		if o.address != survivor.front() || o.result != closedEmpty || o.doneAt.Before(after) || r == nil {
			continue
		}
		lost++
		if o.host == "o.example" {
			lostBookings++
		}
		s.record.add("lost: %s", o)
	}
	s.record.say("%s has ended by itself: %t; it passed on %d requests, %d of them bookings, whose channels were closed without an answer", survivor.name, survivor.ended(), lost, lostBookings)
	if lost > 3 {
		s.record.say("LOST is broken")
		return broken
	}
	return held
}
