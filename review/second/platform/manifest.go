package main

// Names in the manifests of the cases.
const (
	tenantKey = "ctnfzs989anu6wsjnban"
	modelName = "daka510000"
)

// engineSettings describes the engines of a service.
func engineSettings(slots int) map[string]any {
	return map[string]any{
		"slots": slots, "kvCapacityTokens": 146957, "kvTokenBytes": 18432, "linkMbps": 180000.0, "moves": true, "backups": true, "stride": 4,
		"maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": modelName}},
	}
}

func engineService(name string, slots int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": engineSettings(slots)}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 1000, "protocol": "h1", "tls": false}
}

// promptRoute is a route of long prompts, streamRoute one of short ones.
func promptRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-prompt", "host": "c.example", "prefix": "/c/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 1200, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 800,
	}
}

func plainRoute(name, host, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 1000, "priority": 0,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": false,
	}
}

func tenant(name, key string, isolated bool) map[string]any {
	return map[string]any{"name": name, "apiKeys": []any{key}, "priority": 1, "isolated": isolated}
}

func manifest(version int, routes, services, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
