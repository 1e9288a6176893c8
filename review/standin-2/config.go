package main

import "time"

// hostName is the host name of all routes.
const hostName = "logs.example"

// route is a route of the configuration to one service.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// config returns a version of the configuration.
func config(version int, routes ...route) map[string]any {
	services, out := []any{}, []any{}
	for _, s := range []string{"logbook", "logbook-new", "stock", "repairs"} {
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_connections": 40, "warmup_s": coldTime.Seconds(), "warmup_per_s": coldRate})
	}
	for _, r := range routes {
		out = append(out, map[string]any{
			"name": r.name, "host": hostName, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": 400, "priority": 2, "max_attempts": 2, "service": r.service,
		})
	}
	return map[string]any{
		"version": version, "services": services, "routes": out,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
}
