package main

// route and config are the operator's documents.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "plumas.example", "prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 2, "service": service, "max_attempts": 2, "home_regions": []string{},
	}
}

func config(version int, routes []any, services ...string) map[string]any {
	return configWithWarmup(version, routes, 0, services...)
}

func configWithWarmup(version int, routes []any, warmupPerSecond float64, services ...string) map[string]any {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": warmupPerSecond,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
