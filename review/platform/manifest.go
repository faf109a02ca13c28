package main

// route returns a route of the manifest.
func route(name, prefix, kind, serviceName string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "service": serviceName, "timeoutMs": 8000, "targetLatencyMs": 600,
		"targetGapMs": 400, "priority": 1, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// tenant returns a tenant of the manifest.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": append([]string{}, keys...), "priority": 0, "isolated": false}
}

// putManifest writes a version of the manifest as the operator.
func (s *scene) putManifest(version int, tenants ...map[string]any) {
	manifest := map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("booking", "/book/", "non_idempotent", plain, map[string]any{"timeoutMs": 1500, "targetLatencyMs": 300}),
			route("check", "/check/", "streaming", service, map[string]any{"sticky": true}),
		},
		"services": []map[string]any{
			{"name": plain},
			{"name": service, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 186812, "kvTokenBytes": 18432, "linkMbps": 180000.0, "models": []map[string]any{{"name": model}}}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(tenants) > 0 {
		manifest["tenants"] = tenants
	}
	s.store.put("op", "config", manifest)
	s.note("manifest", "version %d confirmed: tenants %v", version, tenants)
}

// putVersion names new weights as the operator.
func (s *scene) putVersion(version int) {
	s.store.put("op", "version/"+model, map[string]any{"model": model, "version": version})
	s.note("weights", "version %d named", version)
}
