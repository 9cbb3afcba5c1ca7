// Package placement decides which model or adapter runs on which upstream. The
// Planner is a deterministic state machine: events and the time go in, actions
// come out. It does no I/O, starts no goroutine and reads no clock.
package placement

import "time"

// Selectable policies; the zero values are the defaults.
const (
	UnloadEconomic   = ""       // by expected idle cost against reload cost
	UnloadFixed      = "fixed"  // after Config.IdleTimeout
	OrderDeadline    = ""       // earliest feasible deadline within fair shares
	OrderFirstCome   = "first"  // in order of the first demand
	PlaceByCost      = ""       // by checkpoint tier, load and eviction cost
	PlaceRandom      = "random" // any upstream with memory for it
	maxAlternatives  = 5        // per logged decision
	rampTime         = 30 * time.Second
	historyLimit     = 64  // gaps in the arrival history before it is halved
	utilizationBusy  = 0.8 // load over concurrency above which a replica is added
	utilizationQuiet = 0.4 // load over the remaining concurrency below which a replica is removed
)

// Config holds the planner's settings.
type Config struct {
	// LoadInterval is the minimum time between two load orders of models. Default
	// 350ms: the weight stores allow under 3 loads a second.
	LoadInterval time.Duration
	// MaxLoads bounds the loads of models in flight. Default 4.
	MaxLoads int
	// MaxAdapterLoads bounds the loads of adapters in flight. Default 30.
	MaxAdapterLoads int
	// OrderLife is the longest time after sending in which an order can still
	// begin to take effect at an engine. Default 15s: the client's write timeout
	// is 5s, the rest is a margin for data buffered in transit.
	OrderLife time.Duration
	// ReportEvery is the interval at which instances repeat their reports. A
	// report expires after three intervals. Default 3s.
	ReportEvery time.Duration
	// DrainDelay is the minimum time between withdrawing a replica from the view
	// and unloading it. Default 500ms.
	DrainDelay time.Duration
	// TickEvery is the time between housekeeping runs. Default 250ms.
	TickEvery time.Duration
	// PublishEvery is the minimum time between two views. Default 20ms.
	PublishEvery time.Duration
	// HeartbeatEvery is the maximum time between two views. Default 2s.
	HeartbeatEvery time.Duration
	// EvictIdle is how long a replica must have been unused before it can be
	// evicted for another model. Default 2s.
	EvictIdle time.Duration
	// ScaleUpAfter and ScaleDownAfter are how long the load of a model must be
	// high or low before a replica is added or removed. Defaults 3s and 60s.
	ScaleUpAfter, ScaleDownAfter time.Duration
	// ReplaceWindow is how recent the last use of a model must be for a lost
	// replica to be replaced before the next request. Default 60s.
	ReplaceWindow time.Duration
	// DownAfter is how long an upstream must be unreachable before its replicas
	// are no longer expected to become available again. Default 3s.
	DownAfter time.Duration
	// ForgetAfter is how long an upstream that has left the catalogue must be
	// unreachable before its rows are removed. Default 10m.
	ForgetAfter time.Duration
	// Unload, Order and Place select policies; see the constants.
	Unload, Order, Place string
	// IdleTimeout is the timeout of UnloadFixed. Default 5m.
	IdleTimeout time.Duration
	// Seed is the seed of PlaceRandom and of the tie-breaking hash.
	Seed uint64
}

func (c *Config) applyDefaults() {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&c.LoadInterval, 350*time.Millisecond)
	set(&c.OrderLife, 15*time.Second)
	set(&c.ReportEvery, 3*time.Second)
	set(&c.DrainDelay, 500*time.Millisecond)
	set(&c.TickEvery, 250*time.Millisecond)
	set(&c.PublishEvery, 20*time.Millisecond)
	set(&c.HeartbeatEvery, 2*time.Second)
	set(&c.EvictIdle, 2*time.Second)
	set(&c.ScaleUpAfter, 3*time.Second)
	set(&c.ScaleDownAfter, 60*time.Second)
	set(&c.ReplaceWindow, 60*time.Second)
	set(&c.DownAfter, 3*time.Second)
	set(&c.ForgetAfter, 10*time.Minute)
	set(&c.IdleTimeout, 5*time.Minute)
	if c.MaxLoads == 0 {
		c.MaxLoads = 4
	}
	if c.MaxAdapterLoads == 0 {
		c.MaxAdapterLoads = 30
	}
}
