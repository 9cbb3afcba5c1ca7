// Package catalog defines the two tables that operators edit, routes and pools,
// and validates them together.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// Kind is the kind of upstreams in a pool.
type Kind string

// Kinds of upstreams.
const (
	Engine  Kind = "engine"  // model engines
	Service Kind = "service" // plain HTTP services
)

// Catalog is one version of both tables. A Catalog is immutable once it has
// been validated.
type Catalog struct {
	// Version increases by one with each committed edit.
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
}

// Route maps models or a path prefix to a pool and lists the workspaces that may
// call them.
type Route struct {
	// Name identifies the route.
	Name string `json:"name"`
	// Pool is the name of the pool that serves the route.
	Pool string `json:"pool"`
	// Prefix is the path prefix of a service route, such as "/signup/". Empty for model routes.
	Prefix string `json:"prefix,omitempty"`
	// Models lists the model and adapter names that a model route serves.
	Models []string `json:"models,omitempty"`
	// Open lets callers without a key use the route. Default false.
	Open bool `json:"open,omitempty"`
	// OpenWorkspace is the workspace that calls without a key are charged to. Required if Open.
	OpenWorkspace string `json:"open_workspace,omitempty"`
	// Workspaces lists the workspaces that may call the route.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// Repeatable allows a retry of a request that may already have run. Default false.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout bounds a request from arrival to its last byte. Default 60s, range 100ms to 1h.
	Timeout duration.Duration `json:"timeout,omitempty"`
	// MaxBody is the maximum size of a request body in bytes. Default 1 MiB, at most 64 MiB.
	MaxBody int64 `json:"max_body,omitempty"`
	// MaxOutput is the number of output tokens reserved for a request that sets no limit. Default 512.
	MaxOutput int64 `json:"max_output,omitempty"`
	// RequestTokens is the cost of a call of a service route in tokens. Default 1.
	RequestTokens int64 `json:"request_tokens,omitempty"`
}

// Workspace is a customer's entry in a route. A workspace that is listed in
// several routes must have the same rate, burst and weight in each.
type Workspace struct {
	// Name identifies the workspace.
	Name string `json:"name"`
	// Keys holds the SHA-256 of each key in lower-case hexadecimal.
	Keys []string `json:"keys,omitempty"`
	// Rate is the limit in tokens per second, summed over all instances.
	Rate float64 `json:"rate"`
	// Burst is the number of tokens that may be spent at once, summed over all instances.
	Burst float64 `json:"burst"`
	// Weight is the relative fair share when capacity is short. Default 1.
	Weight float64 `json:"weight,omitempty"`
}

// Pool is a set of upstreams and, for engines, the models they may run.
type Pool struct {
	// Name identifies the pool.
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind Kind `json:"kind"`
	// Upstreams lists the members of the pool.
	Upstreams []Upstream `json:"upstreams"`
	// Models lists the models and adapters that engines of the pool may load.
	Models []Model `json:"models,omitempty"`
	// DisabledDataCentres lists the data centres whose upstreams get no new work.
	DisabledDataCentres []string `json:"disabled_data_centres,omitempty"`
	// IdleCost is the cost of one accelerator-second in the unload rule. Default 1.
	IdleCost float64 `json:"idle_cost,omitempty"`
	// WaitCost is the cost of one second that a request waits for a load. Default 20.
	WaitCost float64 `json:"wait_cost,omitempty"`
}

// Upstream is one back end, a model engine or a plain service.
type Upstream struct {
	// Name identifies the upstream in its pool.
	Name string `json:"name"`
	// Address is the IP address and port.
	Address string `json:"address"`
	// DataCentre is the data centre in which the upstream runs.
	DataCentre string `json:"data_centre"`
	// MemoryMB is the accelerator memory of an engine in MiB.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Accelerators is the number of accelerators of an engine. Default 1.
	Accelerators int `json:"accelerators,omitempty"`
	// Concurrency is the maximum number of concurrent requests at the upstream. Default 16.
	Concurrency int `json:"concurrency,omitempty"`
	// Fencing is set if the engine refuses orders with an old fencing token. Default false.
	Fencing bool `json:"fencing,omitempty"`
	// Leaving stops new work at the upstream. Default false.
	Leaving bool `json:"leaving,omitempty"`
}

// Model is a model or, if Base is set, an adapter of a model.
type Model struct {
	// Name is the value of the "model" field in requests.
	Name string `json:"name"`
	// Base is the model that an adapter belongs to. Empty for models.
	Base string `json:"base,omitempty"`
	// MemoryMB is the memory of the weights in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// CacheMB is the additional memory reserved for the KV and prefix cache in MiB. Default 0.
	CacheMB int64 `json:"cache_mb,omitempty"`
	// LoadTime is the expected duration of a load from the weight store. Default 20s.
	LoadTime duration.Duration `json:"load_time,omitempty"`
	// MaxReplicas is the maximum number of replicas of the model in the pool. Default 1.
	MaxReplicas int `json:"max_replicas,omitempty"`
	// Checkpoint is the object key in the weight store. Default: the name.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// HashKey returns the SHA-256 of a key in lower-case hexadecimal, the form in
// which keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256 of an encoded catalogue, its content address.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Encode returns the JSON form that is stored and pushed to peers.
func (c *Catalog) Encode() ([]byte, error) { return json.Marshal(c) }
