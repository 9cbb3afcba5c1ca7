// Package fleet holds an instance's view of the system: the desired state of
// routes, services and workspaces, and the registered upstreams. It does no
// I/O.
package fleet

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // a stream of events; runs at most once unless it can be resumed
)

// Target is a service of a route with its weight in the traffic split.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests by host and path prefix to services.
type Route struct {
	Name              string
	Host              string
	Prefix            string
	Kind              Kind
	Timeout           time.Duration // longest time until the complete response
	LatencyObjective  time.Duration // time to the complete response, for streams to the first event
	EventGapObjective time.Duration // longest time between two events that meets the objective
	Priority          int           // 0 is the most urgent
	Targets           []Target
	Attempts          int // number of upstreams that may run one request
	Public            bool
	Resumable         bool
}

// Repeatable reports whether a request may be run again from the start.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Streaming && r.Resumable) }

// Callers abandon a stream that has not delivered an event after the longest of
// these times.
const (
	firstEventTimeoutMin        = 2 * time.Second
	firstEventTimeoutObjectives = 4 // multiple of LatencyObjective
	firstEventTimeoutGaps       = 8 // multiple of EventGapObjective
)

// FirstEventTimeout returns how long callers wait for the first event of a
// stream. It returns 0 for routes of other kinds, to which only Timeout applies.
func (r *Route) FirstEventTimeout() time.Duration {
	if r.Kind != Streaming {
		return 0
	}
	return max(firstEventTimeoutMin, firstEventTimeoutObjectives*r.LatencyObjective, firstEventTimeoutGaps*r.EventGapObjective)
}

// Model is a checkpoint that engines can load.
type Model struct {
	Name           string
	WeightsMB      float64
	LoadTime       time.Duration // time to load from the weight store
	DiskLoadTime   time.Duration // time to load from the upstream's disk
	MemoryLoadTime time.Duration // time to load from the upstream's memory
	Adapters       int
	AdapterMB      float64
}

// Engine describes the capacity and the models of a service whose upstreams run
// models.
type Engine struct {
	Slots          int // maximum number of requests in one batch
	KVTokens       int // KV cache for running requests and cached prompts, in tokens
	WeightsMB      float64
	AdapterSlots   int
	LoadsPerSecond float64 // limit of the weight store, shared by all upstreams
	Models         map[string]*Model
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name            string
	ConnectionLimit int     // connections to one upstream, from all callers
	ColdPerSecond   float64 // requests per second that a cold upstream can serve
	Engine          *Engine // nil for plain services
	Scale           *Scale  // nil if the number of upstreams can't be ordered
}

// Scale is the range in which the number of upstreams of a service in each data centre
// may be ordered.
type Scale struct {
	Minimum, Maximum int
	BootTime         time.Duration // from the order of an upstream to its registration
}

// Admitted reports whether the leader admits the requests to the service's engines. Where cold
// upstreams limit their requests, instances take turns at them instead, which the leader
// does not know of.
func (s *Service) Admitted() bool {
	return s != nil && s.Engine != nil && s.ColdPerSecond == 0
}

// Workspace is a customer with its rate limit, in tokens across all instances.
type Workspace struct {
	Name        string
	Priority    int // -1 to use the route's priority
	Rate        float64
	Burst       float64
	PlainTokens int64 // cost of a request without token counts
}

// Limited reports whether the workspace has a rate limit.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Limits bound the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash identifies a caller's API key without storing it in plain text.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of the desired state. It is immutable after Index.
type Config struct {
	Version    int64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Keys       map[KeyHash]*Workspace
	Limits     Limits

	byHost map[string][]*Route
}

// Index builds the index for Route.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Route returns the route of the host with the longest matching path prefix, nil
// if there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// KeysRequired reports whether requests need a key unless their route is public.
func (c *Config) KeysRequired() bool { return len(c.Workspaces) > 0 }

// Workspace returns the workspace of an API key, nil if the key is unknown.
func (c *Config) Workspace(key string) *Workspace { return c.Keys[HashKey(key)] }
