package userplatform

// Desired is a desired state in the format in which the platform's operator
// writes it. Tags hold the platform's field names, so that users of this type do
// not depend on them.
type Desired struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Limits   limits    `json:"limits"`
}

// Kinds of routes.
const (
	Streaming = "streaming"
	Safe      = "safe"
	Unsafe    = "unsafe"
)

// Route is a route to one service.
type Route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Service   string `json:"service"`
	TimeoutMS int64  `json:"timeoutMs"`
	TargetMS  int64  `json:"targetLatencyMs"`
	GapMS     int64  `json:"targetGapMs"`
	Priority  int    `json:"priority"`
	Attempts  int    `json:"attempts"`
	Resumable bool   `json:"resumable"`
}

// Service is a group of upstreams. Engine is nil for a plain service.
type Service struct {
	Name        string `json:"name"`
	HealthPath  string `json:"healthPath"`
	Connections int    `json:"connectionLimit"`
	// ColdPerSecond is the number of requests a second that a cold upstream serves, 0 for no
	// limit.
	ColdPerSecond float64      `json:"coldPerS,omitempty"`
	Engine        *EngineLimit `json:"engine,omitempty"`
	Scale         *Scale       `json:"scale,omitempty"`
}

// Scale is the range in which the number of upstreams in each zone may be ordered.
type Scale struct {
	Minimum int     `json:"minimum"`
	Maximum int     `json:"maximum"`
	BootS   float64 `json:"bootS"`
}

// EngineLimit holds the capacity of each engine of a service and the models that
// it may load.
type EngineLimit struct {
	Slots          int     `json:"slots"`
	KVTokens       int64   `json:"kvCacheTokens"`
	WeightsMB      float64 `json:"weightsMb"`
	AdapterSlots   int     `json:"adapterSlots"`
	LoadsPerSecond float64 `json:"loadsPerS"`
	Models         []Model `json:"models"`
}

// Model describes a model that the engines of a service may load.
type Model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weightsMb"`
	LoadS     float64 `json:"loadS"`
	WarmS     float64 `json:"warmS"`
	DiskS     float64 `json:"diskS"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapterMb"`
}

// Tenant is a workspace with its API keys and its rate limit in tokens.
type Tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"apiKeys"`
	Unit        string   `json:"unit"`
	PlainTokens int64    `json:"plainTokens"`
	Rate        float64  `json:"ratePerS"`
	Burst       float64  `json:"burst"`
	Priority    *int     `json:"priority,omitempty"`
}

type limits struct {
	HeaderBytes     int   `json:"headerBytes"`
	BodyBytes       int   `json:"bodyBytes"`
	HeaderTimeoutMS int64 `json:"headerTimeoutMs"`
	IdleTimeoutMS   int64 `json:"idleTimeoutMs"`
}

// Write writes the desired state to the store. It fills in the limits and the
// units of the tenants.
func (d Desired) Write(s *Store) error {
	d.Limits = limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
	for i := range d.Tenants {
		d.Tenants[i].Unit = "tokens"
	}
	return s.Put("op", "config", d)
}

// Sample returns a desired state with one engine service of three models and
// one plain service.
func Sample() Desired {
	model := func(name string) Model {
		return Model{Name: name, WeightsMB: 100, LoadS: 0.2, WarmS: 0.1, DiskS: 0.1, Adapters: 3, AdapterMB: 1}
	}
	route := func(name, prefix, kind, service string) Route {
		return Route{
			Name: name, Host: "rota.example", Prefix: prefix, Kind: kind, TimeoutMS: 5000, TargetMS: 500,
			Priority: 1, Service: service, Attempts: 2, GapMS: 300, Resumable: kind == Streaming,
		}
	}
	return Desired{
		Version: 1,
		Routes: []Route{
			route("drafts", "/drafts/", Streaming, "engine"), route("signup", "/signup/", Unsafe, "rota"),
			route("lookup", "/lookup/", Safe, "rota"),
		},
		Services: []Service{
			{Name: "engine", HealthPath: "/health", Connections: 100, Engine: &EngineLimit{
				Slots: 16, KVTokens: 100000, WeightsMB: 210, AdapterSlots: 4, LoadsPerSecond: 5,
				Models: []Model{model("notices"), model("summaries"), model("letters")},
			}},
			{Name: "rota", HealthPath: "/health", Connections: 100},
		},
		Tenants: []Tenant{
			{Name: "committee", Keys: []string{"committee-key"}, PlainTokens: 200, Rate: 50000, Burst: 50000},
			{Name: "archive", Keys: []string{"archive-key"}, PlainTokens: 200, Rate: 1000, Burst: 1000},
		},
	}
}
