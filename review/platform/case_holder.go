package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// holderDown is how long a machine stays down that was killed for the second time.
const holderDown = 3500 * time.Millisecond

// runSecondHolder kills the holder of the lease on orders just after an order, and its
// next process just after this took the lease over. It checks that no other machine
// orders the same worker within leaseMs.
func runSecondHolder(s *scene) (string, error) {
	s.putManifest(1)
	s.putVersion(1)
	engine, err := s.newWorker("w-1", service, 0, 50*time.Millisecond, 100*time.Millisecond)
	if err != nil {
		return "", err
	}
	if err := s.startInstances(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	s.putVersion(2)
	if err := await("the first order", 10*time.Second, func() bool { return len(engine.received()) > 0 }); err != nil {
		return "", err
	}
	first := engine.received()[0]
	var holder *instance
	for _, i := range s.instances {
		if i.name == first.Holder {
			holder = i
		}
	}
	if holder == nil {
		return "", fmt.Errorf("order names the holder %q, which is no instance", first.Holder)
	}
	if s.trouble {
		var killed atomic.Bool
		s.store.setOnWrite(func(name, _, key string) {
			if name == holder.name && key == "lease/orders" && !killed.Swap(true) {
				holder.kill(holderDown)
			}
		})
		holder.kill(0)
	}
	time.Sleep(700 * time.Millisecond)
	s.putVersion(3)
	time.Sleep(12 * time.Second)
	return judgeTurns(engine.received()), nil
}

// judgeTurns returns the orders with which two holders took turns within leaseMs, or had
// one generation number.
func judgeTurns(orders []order) string {
	for index := 1; index < len(orders); index++ {
		before, next := orders[index-1], orders[index]
		if before.Holder == next.Holder {
			continue
		}
		pause := next.at.Sub(before.at)
		if pause < leaseTime || before.Fence == next.Fence {
			return fmt.Sprintf("ONE: worker w-1 got an order of %s (fence %d, version %d) %d ms after one of %s (fence %d, version %d); leaseMs is %d",
				next.Holder, next.Fence, next.Version, pause.Milliseconds(), before.Holder, before.Fence, before.Version, leaseTime.Milliseconds())
		}
	}
	return ""
}

// startInstances starts so many instances and waits until they are ready.
func (s *scene) startInstances(count int) error {
	for index := range count {
		if _, err := s.newInstance(fmt.Sprintf("front-%d", index+1)); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return await("instances ready", 10*time.Second, func() bool {
		for _, i := range s.instances {
			if !i.ready() {
				return false
			}
		}
		return true
	})
}
