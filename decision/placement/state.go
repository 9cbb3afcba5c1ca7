package placement

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// state is where a replica stands between decision and removal.
type state uint8

const (
	planned   state = iota // waits for room, has no row
	deciding               // the row is being written
	decided                // the row is in force, no order is open
	loading                // a load order waits for its answer
	uncertain              // a load order has no answer, the index will tell
	ready                  // loaded
	draining               // loaded, takes no new work
	unloading              // an unload order is due or open
	removing               // no copy was seen, an order may still be on its way
	deleting               // no copy can appear any more, the row is being deleted
	forgotten              // the row is deleted
)

// replica is one decided copy of a model. It exists from the decision until
// its row is deleted, and its memory counts all that time.
type replica struct {
	id       string
	model    *model
	up       *upstream
	row      Row // as it should be
	state    state
	rowState RowState // as stored; empty if there is no row
	revision uint64
	write    *write

	attempt   int // of the open or last order
	orderOpen bool
	// loadSent is when the last load order that may have left was sent; until
	// loadSent plus Config.OrderLife a copy can appear.
	loadSent, prevLoadSent time.Time
	// openLoad tells that some load order has no known outcome.
	openLoad bool
	// foreign tells that an earlier holder may have sent orders and that the
	// engine has not yet answered an order with the current fencing token.
	foreign bool
	// store tells that the load counts against the limits of the weight store.
	store      bool
	absent     bool // the index showed no copy since the last load order
	sends      int
	retries    int
	retryAt    time.Time
	slotUntil  time.Time // until when an uncertain load counts as in flight
	loadStart  time.Time
	expected   time.Time // completion of the load
	tier       Tier
	plannedAt  time.Time
	confirmed  time.Time // when the copy was last known to be ready
	drainAt    time.Time
	unloadSent time.Time
	revivable  bool // a drain that new demand ends
	evacuated  bool // a drain because the place was taken out
}

// write is a row write that has not taken effect for certain.
type write struct {
	txn     string
	row     Row
	delete  bool
	open    bool // waits for its result
	retryAt time.Time
	retries int
}

// entry is one instance's demand of one workspace for a model.
type entry struct {
	instance, workspace string
	waiting             int
	deadline, latest    time.Time
	running             []Use
}

// model is a model or adapter of a pool.
type model struct {
	pool     *pool
	cfg      catalog.Model
	gone     bool // left the catalogue
	service  bool // stands for the calls of a service pool
	base     *model
	adapters []*model

	entries          []entry
	waiting, running int
	demanded         bool      // is on the planner's list of demanded models
	interest         time.Time // wanted until then although nothing waits
	since            time.Time // start of the current demand
	urgent           time.Time // earliest deadline since then
	asked            string    // workspace that asked last
	lastUse          time.Time
	history          history
	burst            float64 // requests that wait for a cold load, moving average

	replicas  []*replica
	target    int // replicas that the load asks for
	busySince time.Time
	calmSince time.Time
	refused   map[*upstream]time.Time // do not order there until
	failures  int
	learned   [tiers]time.Duration
	held      [tiers]int // upstreams by tier of the checkpoint

	expected time.Time // first completion, zero if unknown
	infeas   bool      // the earliest deadline cannot be met
}

func (m *model) need() int64 { return m.cfg.MemoryMB + m.cfg.CacheMB }

// upstream is one member of a pool.
type upstream struct {
	pool        *pool
	cfg         catalog.Upstream
	gone        bool // left the catalogue
	disabled    bool // its data centre is taken out
	incarnation string
	indexSent   time.Time // of the newest index read
	indexAsked  time.Time
	down        bool
	misses      int // index reads that failed in a row
	suspect     bool
	downSince   time.Time
	rampStart   time.Time
	utilization float64
	memoryTotal int64 // reported, 0 if unknown
	tiers       map[string]Tier
	replicas    []*replica
	claimed     int64 // memory of all replicas, planned ones included
	orphans     map[string]*orphan
	forgotten   time.Time          // when a replica was last forgotten
	granted     map[string][]grant // the last of each list is the current one
}

// orphan is a copy at an engine that no row stands for.
type orphan struct {
	model   string
	memory  int64
	retryAt time.Time
}

// grant is an allotment that an instance may act on. The current one has no
// end; earlier ones end when no instance can still hold the view.
type grant struct {
	count int
	until time.Time
}

// countTiers adds the upstream's checkpoints to the models' counts.
func (u *upstream) countTiers(sign int) {
	for name, t := range u.tiers {
		if m := u.pool.models[name]; m != nil {
			m.held[t] += sign
		}
	}
}

func (u *upstream) usable() bool { return !u.gone && !u.disabled && !u.cfg.Leaving }

func (u *upstream) reachable() bool { return !u.down && !u.suspect && u.incarnation != "" }

func (u *upstream) capacity() int64 {
	if u.memoryTotal > 0 {
		return min(u.cfg.MemoryMB, u.memoryTotal)
	}
	return u.cfg.MemoryMB
}

func (u *upstream) orphaned() int64 {
	var sum int64
	for _, o := range u.orphans {
		sum += o.memory
	}
	return sum
}

// committed is the upper bound of the memory in use: every replica that has
// or may have a row, whoever decided it, and every orphan.
func (u *upstream) committed() int64 {
	sum := u.orphaned()
	for _, r := range u.replicas {
		if r.state != planned {
			sum += r.row.MemoryMB
		}
	}
	return sum
}

// free is the memory that no replica, planned ones included, lays claim to.
func (u *upstream) free() int64 { return u.capacity() - u.claimed - u.orphaned() }

type pool struct {
	cfg       *catalog.Pool
	name      string
	models    map[string]*model
	list      []*model // in catalogue order, then former models
	upstreams map[string]*upstream
	members   []*upstream
	ratio     [tiers]float64 // learned load time by tier over Model.LoadTime
}

// report is the last report of one instance.
type report struct {
	at      time.Time
	models  []*model
	demands []Demand // arrivals are zeroed once they are counted
}
