// Package fleet holds what an instance knows of the system it serves: the
// desired state of routes, services and workspaces, and the upstreams that
// have registered. It does no I/O.
package fleet

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // a stream of events; runs at most once unless it can be resumed
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route says which requests go to which service.
type Route struct {
	Name              string
	Host              string
	Prefix            string
	Kind              Kind
	Timeout           time.Duration // longest time until the final answer
	LatencyObjective  time.Duration // latency objective
	EventGapObjective time.Duration // longest pause between events of an answer in time
	Priority          int           // 0 is the most urgent
	Targets           []Target
	Attempts          int // upstreams on which one request may run
	Public            bool
	Resumable         bool
}

// Repeatable reports whether a request may run again from its start.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Streaming && r.Resumable) }

// Callers abandon a stream without an event for the longest of these times.
const (
	firstEventTimeoutMin        = 2 * time.Second
	firstEventTimeoutObjectives = 4 // latency objectives
	firstEventTimeoutGaps       = 8 // longest pauses
)

// Patience returns how long callers wait for the first event of a stream, and
// for an answer of other kinds no limit but the timeout, as 0.
func (r *Route) FirstEventTimeout() time.Duration {
	if r.Kind != Streaming {
		return 0
	}
	return max(firstEventTimeoutMin, firstEventTimeoutObjectives*r.LatencyObjective, firstEventTimeoutGaps*r.EventGapObjective)
}

// Model is a checkpoint that engines can load.
type Model struct {
	Name      string
	WeightsMB float64
	Load      time.Duration // from the weight store
	Disk      time.Duration // from the upstream's disk
	Warm      time.Duration // from the upstream's memory
	Adapters  int
	AdapterMB float64
}

// Engine describes the upstreams of a service that run models.
type Engine struct {
	Slots          int // requests in one batch
	KVTokens       int // memory for running requests and cached prompts
	WeightsMB      float64
	AdapterSlots   int
	LoadsPerSecond float64 // of the weight store, over all upstreams
	Models         map[string]*Model
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name            string
	ConnectionLimit int     // of one upstream, over all callers
	ColdPerSecond   float64 // requests a second that a cold upstream bears
	Engine          *Engine // nil for plain services
}

// Workspace is a customer with its limit in tokens over all instances.
type Workspace struct {
	Name        string
	Priority    int // -1 if the route's applies
	Rate        float64
	Burst       float64
	PlainTokens int64 // cost of a request that names none
}

// Limited reports whether the workspace has a limit.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash identifies a caller's key without holding it in clear.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of the desired state. It is not changed after Index.
type Config struct {
	Version    int64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Keys       map[KeyHash]*Workspace
	Limits     Limits

	byHost map[string][]*Route
}

// Index prepares the look-up of routes.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Route returns the route with the longest prefix of the path, nil without one.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests need a key unless their route is public.
func (c *Config) KeysRequired() bool { return len(c.Workspaces) > 0 }

// Workspace returns the workspace of a key, nil for an unknown key.
func (c *Config) Workspace(key string) *Workspace { return c.Keys[HashKey(key)] }
