package main

import (
	"fmt"
	"net/http"
	"time"
)

// runLateWall makes a tenant isolated by a new manifest and checks that no request of
// another tenant that is sent later than configApplyMs afterwards uses what the requests
// of that tenant have read. Without the change the tenant is isolated from the start.
func runLateWall(s *scene) (string, error) {
	open, walled, other := tenant("t-1", false, "key-one"), tenant("t-1", true, "key-one"), tenant("t-2", false, "key-two")
	first := walled
	if s.trouble {
		first = open
	}
	s.putManifest(1, first, other)
	s.putVersion(1)
	engine, err := s.newWorker("w-1", service, 0, 20*time.Millisecond, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	if err := s.startInstances(2); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	client := s.newChannel(s.instances[0])
	defer client.close()
	ask := func(key, last string) error {
		o := client.send(request{method: http.MethodPost, path: "/check/x", key: key, stream: true, parts: "5c1e07a2:800,91bd3f06:410," + last + ":250", limit: 8 * time.Second})
		if o.status != http.StatusOK || !o.whole {
			return fmt.Errorf("request with key %q was answered %d", key, o.status)
		}
		return nil
	}
	if err := ask("key-one", "e4402b7d"); err != nil {
		return "", err
	}
	if s.trouble {
		s.putManifest(2, walled, other)
	}
	time.Sleep(configTime + time.Second)
	sentAt := time.Now()
	if err := ask("key-two", "7be31f90"); err != nil {
		return "", err
	}
	for _, r := range engine.reused() {
		if r.at.After(sentAt) && r.maker == "t-1" {
			return fmt.Sprintf("WALL: request %s of tenant %s used part %s, which a request of tenant %s had made, though %s is isolated since more than configApplyMs", r.id, r.user, r.part, r.maker, r.maker), nil
		}
	}
	return "", nil
}
