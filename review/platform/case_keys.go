package main

import (
	"fmt"
	"net/http"
	"time"
)

// runLastKey takes away the keys of all tenants, one after the other, and checks that no
// request with a key runs later than configApplyMs after the last of these manifests.
func runLastKey(s *scene) (string, error) {
	keys := []string{"key-one", "key-two", "key-three"}
	current := []map[string]any{tenant("t-1", keys[0]), tenant("t-2", keys[1]), tenant("t-3", keys[2])}
	s.putManifest(1, current...)
	for _, name := range []string{"a-1", "a-2"} {
		if _, err := s.newWorker(name, plain, 20*time.Millisecond, 0, 0); err != nil {
			return "", err
		}
	}
	if err := s.startInstances(2); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	// A calm beginning shows that the keys are checked.
	if err := s.checkKeys(keys); err != nil {
		return "", err
	}
	revoked := keys[:2]
	if s.trouble {
		revoked = keys
	}
	for index := range revoked {
		current = append([]map[string]any(nil), current...)
		current[index] = tenant(fmt.Sprintf("t-%d", index+1))
		s.putManifest(index+2, current...)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(configTime + time.Second)
	broken := ""
	for _, i := range s.instances {
		client := s.newChannel(i)
		for _, key := range append(append([]string{}, revoked...), "key-never-issued") {
			for range 5 {
				o := client.send(request{method: http.MethodPost, path: "/book/x", key: key, limit: 1500 * time.Millisecond})
				if runs := s.runsOf(o.id); len(runs) > 0 && broken == "" {
					broken = fmt.Sprintf("CONFIG, ROUTE: request %s with key %q, which no manifest in force holds, ran at worker %s for tenant %q and was answered %d, %d ms after the last manifest could be in force",
						o.id, key, runs[0].worker, runs[0].tenant, o.status, time.Second.Milliseconds())
				}
			}
		}
		client.close()
	}
	return broken, nil
}

// checkKeys sends a request with each key, which must run, and one with an unknown key,
// which must not.
func (s *scene) checkKeys(keys []string) error {
	client := s.newChannel(s.instances[0])
	defer client.close()
	for _, key := range keys {
		if o := client.send(request{method: http.MethodPost, path: "/book/x", key: key, limit: 1500 * time.Millisecond}); o.status != http.StatusOK {
			return fmt.Errorf("request with key %q was answered %d before the disruption", key, o.status)
		}
	}
	if o := client.send(request{method: http.MethodPost, path: "/book/x", key: "key-never-issued", limit: 1500 * time.Millisecond}); o.status != http.StatusUnauthorized {
		return fmt.Errorf("request with an unknown key was answered %d before the disruption", o.status)
	}
	return nil
}
