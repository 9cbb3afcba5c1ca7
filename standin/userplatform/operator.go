package userplatform

// Desired describes a desired state in the platform's terms.
type Desired struct {
	Version  int64
	Routes   []map[string]any
	Services []map[string]any
	Tenants  []map[string]any
}

// Write puts the desired state in force.
func (d Desired) Write(s *Store) error {
	return s.Put("op", "config", map[string]any{
		"version": d.Version, "routes": d.Routes, "services": d.Services, "tenants": d.Tenants,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// Sample returns a desired state with one engine service of three models and
// one plain service.
func Sample() Desired {
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weightsMb": 100.0, "loadS": 0.2, "warmS": 0.1, "diskS": 0.1, "adapters": 3, "adapterMb": 1.0}
	}
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "rota.example", "prefix": prefix, "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 500,
			"priority": 1, "service": service, "attempts": 2, "targetGapMs": 300, "resumable": kind == "streaming",
		}
	}
	return Desired{
		Version: 1,
		Routes: []map[string]any{
			route("drafts", "/drafts/", "streaming", "engine"), route("signup", "/signup/", "unsafe", "rota"),
			route("lookup", "/lookup/", "safe", "rota"),
		},
		Services: []map[string]any{
			{"name": "engine", "healthPath": "/health", "connectionLimit": 100, "engine": map[string]any{
				"slots": 16, "kvCacheTokens": 100000, "weightsMb": 210.0, "adapterSlots": 4, "loadsPerS": 5.0,
				"models": []map[string]any{model("notices"), model("summaries"), model("letters")},
			}},
			{"name": "rota", "healthPath": "/health", "connectionLimit": 100},
		},
		Tenants: []map[string]any{
			{"name": "committee", "apiKeys": []string{"committee-key"}, "unit": "tokens", "plainTokens": 200, "ratePerS": 50000, "burst": 50000},
			{"name": "archive", "apiKeys": []string{"archive-key"}, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000, "burst": 1000},
		},
	}
}
