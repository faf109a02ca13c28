package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	leaseTime = 3 * time.Second
	// bumpInterval is the interval at which versions are named.
	bumpInterval = 3 * time.Second
	bumps        = 28
	// lossTime is how long packets get lost, from each version on. Orders that arrive within
	// thawTime after its end do not count.
	lossTime, thawTime = 2500 * time.Millisecond, 300 * time.Millisecond
	restartDelay       = 500 * time.Millisecond
)

// runLateOrder stops the instance that gives the orders after each of its orders, as in a
// rolling restart, while versions are named. With the disruption, the link of one of the
// four instances to the worker loses three packets in ten: of the one that started last, which
// mostly gives the next orders.
func runLateOrder(s *scene) (int, error) {
	w, err := s.addWorker("i-a0", "svc-a", 12, modelName, 300*time.Millisecond, 6)
	if err != nil {
		return couldNot, err
	}
	w.loadTime = 830 * time.Millisecond
	path, err := s.moveBehindLink(w, "z1")
	if err != nil {
		return couldNot, err
	}
	s.store.put("op", "config", manifest(3, []any{promptRoute("svc-a")}, []any{engineService("svc-a", 12)}, []any{tenant("tenant1", tenantKey, false)}))
	var instances []*instance
	for n := range 4 {
		i, err := s.addInstance(fmt.Sprintf("front-%d", n+1), limits{memoryMb: 144, maxFds: 3075})
		if err != nil {
			return couldNot, err
		}
		instances = append(instances, i)
	}
	for _, i := range instances {
		if err := i.awaitReady(10 * time.Second); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(4 * time.Second) // contactMs
	next := time.Now()
	for version := 2; version < 2+bumps; version++ {
		seen := len(w.arrived())
		s.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
		s.record.add("version %d is named", version)
		if s.trouble {
			path.setLoss([]string{newest(instances)}, 0.3)
			time.AfterFunc(lossTime, func() { path.setLoss(nil, 0) })
		}
		next = next.Add(bumpInterval)
		for len(w.arrived()) == seen && time.Now().Before(next) {
			time.Sleep(5 * time.Millisecond)
		}
		if orders := w.arrived(); len(orders) > seen {
			restart(s, instances, orders[len(orders)-1].holder)
		}
		time.Sleep(time.Until(next))
	}
	return judgeTurns(s, w, path), nil
}

// newest returns the name of the running instance that started last.
func newest(instances []*instance) string {
	var found *instance
	for _, i := range instances {
		if !i.ended() && !i.restarting.Load() && (found == nil || i.started().After(found.started())) {
			found = i
		}
	}
	if found == nil {
		return ""
	}
	return found.name
}

// restart stops the instance with a name, and starts it again when it has ended.
func restart(s *scene, instances []*instance, name string) {
	for _, i := range instances {
		if i.name != name || i.ended() || !i.restarting.CompareAndSwap(false, true) {
			continue
		}
		i.signal(syscall.SIGTERM)
		go func() {
			defer i.restarting.Store(false)
			<-i.end()
			time.Sleep(restartDelay)
			if !s.stopped.Load() {
				_ = i.start(s.command) // the next version shows it
			}
		}()
	}
}

// judgeTurns applies the rule ONE to the orders that arrived at a worker which checks no
// fences: no two holders with one fence, no lower one after a higher one, and no turns of
// holders within leaseMs.
func judgeTurns(s *scene, w *worker, path *link) int {
	orders := w.arrived()
	turns, faults := 0, 0
	for index := 1; index < len(orders); index++ {
		before, after := orders[index-1], orders[index]
		if before.holder == after.holder || path.healedBefore(before.at) || path.healedBefore(after.at) {
			continue
		}
		turns++
		gap := after.at.Sub(before.at)
		if gap < leaseTime || after.fence <= before.fence {
			faults++
			s.record.say("order of %s with fence %d, %d ms after that of %s with fence %d", after.holder, after.fence, gap.Milliseconds(), before.holder, before.fence)
		}
	}
	s.record.say("%d orders, %d turns of holders, %d of them within %s or without a higher fence", len(orders), turns, faults, leaseTime)
	if turns == 0 {
		return couldNot
	}
	if faults > 0 {
		s.record.say("ONE is broken")
		return broken
	}
	return held
}
