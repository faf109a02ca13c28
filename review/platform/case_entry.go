package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// oddEntryAfter is how long after a worker began to leave another writer writes an
	// entry for it, and serveOn how long after that the worker serves.
	oddEntryAfter = 3500 * time.Millisecond
	serveOn       = 300 * time.Millisecond
	// entryChannels are the channels at each instance over which clients send bookings.
	entryChannels = 24
)

// runOddEntry lets a worker leave that says so in its answers. Its row is removed; then
// another writer writes one that lacks fields. It checks that the worker gets no request
// that was sent later than drainMs after its machine had passed on such an answer.
func runOddEntry(s *scene) (string, error) {
	s.putManifest(1)
	var workers []*worker
	for _, name := range []string{"a-1", "a-2", "a-3"} {
		w, err := s.newWorker(name, plain, 400*time.Millisecond, 0, 0)
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	if err := s.startInstances(2); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	stop := &atomic.Bool{}
	outcomes := s.loadWith(stop, entryChannels, 0)
	time.Sleep(2 * time.Second)
	leaver := workers[0]
	leaver.leaveSilently()
	time.Sleep(oddEntryAfter)
	if s.trouble {
		s.store.put("servers", leaver.name, map[string]any{"service": leaver.service, "address": leaver.address, "zone": "z-a", "slots": leaver.slots, "state": "ready"})
		s.note("entry", "another writer wrote one for %s without born, seq, version and coldRemainingMs", leaver.name)
	}
	time.Sleep(serveOn)
	leaver.close()
	time.Sleep(time.Second)
	stop.Store(true)
	return s.judgeLeaving(outcomes(), leaver), nil
}

// judgeLeaving returns the requests that reached a worker from a machine too long after
// this machine had passed on an answer in which the worker said that it leaves.
func (s *scene) judgeLeaving(all []outcome, leaver *worker) string {
	passed := map[string]time.Time{}
	for _, o := range all {
		if o.leaving == leaver.name && (passed[o.instance].IsZero() || o.endedAt.Before(passed[o.instance])) {
			passed[o.instance] = o.endedAt
		}
	}
	late, failed := 0, 0
	first := ""
	for _, o := range all {
		at, known := passed[o.instance]
		if !known || o.sentAt.Before(at.Add(drainTime)) {
			continue
		}
		for _, r := range s.runsOf(o.id) {
			if r.worker != leaver.name {
				continue
			}
			late++
			if first == "" {
				first = fmt.Sprintf("%s, sent to %s %d ms after that", o.id, o.instance, o.sentAt.Sub(at).Milliseconds())
			}
			if o.status != http.StatusOK {
				failed++
			}
		}
	}
	s.note("count", "%d machines passed on that %s leaves, %d late requests reached it, %d of them failed", len(passed), leaver.name, late, failed)
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached worker %s that were sent later than drainMs after their machine had passed on that it leaves, the first %s; %d of them were not answered with success", late, leaver.name, first, failed)
}
