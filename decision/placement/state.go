package placement

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// state is the lifecycle state of a replica.
type state uint8

const (
	planned   state = iota // waits for memory, has no row
	deciding               // the row is being written
	decided                // the row is stored, no order is open
	loading                // a load order is open
	uncertain              // a load order had no definite answer; waits for the index
	ready                  // loaded
	draining               // loaded, accepts no new requests
	unloading              // an unload order is due or open
	expiring               // no copy was seen, an order may still be in transit
	deleting               // no copy can appear any more, the row is being deleted
	deleted                // the row is deleted
)

// replica is one planned or existing copy of a model. It exists from the decision
// until its row is deleted, and its memory is reserved all that time.
type replica struct {
	id       string
	model    *model
	upstream *upstream
	row      Row // desired
	state    state
	rowState RowState // as stored; empty if there is no row
	revision uint64
	write    *write

	attempt   int // of the open or last order
	orderOpen bool
	// loadSentAt is when the last load order that may have left this process was
	// sent; a copy can appear until Config.OrderLife later.
	loadSentAt, prevLoadSentAt time.Time
	// loadUnresolved is set if the outcome of some load order is unknown.
	loadUnresolved bool
	// unfenced is set if a previous leaseholder may have sent orders and the
	// engine has not yet answered an order with the current fencing token.
	unfenced bool
	// fromStore is set if the load counts against the limits of the weight store.
	fromStore     bool
	seenAbsent    bool // the index showed no copy since the last load order
	loadSends     int
	retries       int
	retryAt       time.Time
	slotUntil     time.Time // end of the time in which an uncertain load counts as in flight
	loadStart     time.Time
	expected      time.Time // estimated completion of the load
	tier          Tier
	plannedAt     time.Time
	confirmedAt   time.Time // when the copy was last known to be ready
	drainingSince time.Time
	unloadSentAt  time.Time
	cancelable    bool // new demand cancels the drain
	evacuated     bool // drained because the upstream or data centre was taken out
}

// write is a row write that is not confirmed yet.
type write struct {
	txn     string
	row     Row
	delete  bool
	open    bool // in flight
	retryAt time.Time
	retries int
}

// instanceDemand is the demand of one instance and workspace for a model.
type instanceDemand struct {
	instance, workspace      string
	waiting                  int
	deadline, latestDeadline time.Time
	running                  []UpstreamUsage
}

// model is a model or adapter of a pool.
type model struct {
	pool     *pool
	cfg      catalog.Model
	removed  bool // no longer in the catalogue
	service  bool // placeholder for the requests of a service pool
	base     *model
	adapters []*model

	entries          []instanceDemand
	waiting, running int
	demanded         bool      // is on the planner's list of demanded models
	wantedUntil      time.Time // wanted until then even if no request waits
	demandedSince    time.Time // start of the current demand
	urgentDeadline   time.Time // earliest feasible deadline since demandedSince
	lastWorkspace    string    // last workspace with the earliest deadline
	lastUse          time.Time
	history          arrivalHistory
	avgColdWaiters   float64 // number of requests that wait for a cold load, moving average

	replicas       []*replica
	targetReplicas int // number of replicas needed for the load
	highLoadSince  time.Time
	lowLoadSince   time.Time
	refusedUntil   map[*upstream]time.Time // end of the pause after refused loads, by upstream
	failures       int
	avgLoadTime    [numTiers]time.Duration
	tierCounts     [numTiers]int // number of upstreams by tier of the checkpoint

	expected   time.Time // completion of the first load, zero if unknown
	infeasible bool      // the earliest deadline cannot be met
}

func (m *model) requiredMemory() int64 { return m.cfg.MemoryMB + m.cfg.CacheMB }

// upstream is one member of a pool.
type upstream struct {
	pool             *pool
	cfg              catalog.Upstream
	removed          bool // no longer in the catalogue
	disabled         bool // its data centre is taken out of service
	incarnation      string
	indexSentAt      time.Time // when the newest processed index read was sent
	indexRequestedAt time.Time
	down             bool
	failedReads      int // index reads that failed in a row
	suspect          bool
	downSince        time.Time
	rampStart        time.Time
	utilization      float64
	memoryTotal      int64 // reported, 0 if unknown
	tiers            map[string]Tier
	replicas         []*replica
	reservedMemory   int64 // MiB of all replicas, including planned ones
	orphans          map[string]*orphan
	lastRemovedAt    time.Time          // when a replica was last removed
	grants           map[string][]grant // by instance; the last of each list is the current one
}

// orphan is a copy on an engine that has no row.
type orphan struct {
	model   string
	memory  int64
	retryAt time.Time
}

// grant is an allotment that an instance may use. The current one has no end;
// earlier ones expire when no instance can still use the view that granted them.
type grant struct {
	count int
	until time.Time
}

// countTiers adds the upstream's checkpoints to the models' tier counts, or
// subtracts them if sign is -1.
func (u *upstream) countTiers(sign int) {
	for name, t := range u.tiers {
		if m := u.pool.models[name]; m != nil {
			m.tierCounts[t] += sign
		}
	}
}

func (u *upstream) usable() bool { return !u.removed && !u.disabled && !u.cfg.Leaving }

func (u *upstream) reachable() bool { return !u.down && !u.suspect && u.incarnation != "" }

func (u *upstream) capacity() int64 {
	if u.memoryTotal > 0 {
		return min(u.cfg.MemoryMB, u.memoryTotal)
	}
	return u.cfg.MemoryMB
}

func (u *upstream) orphanMemory() int64 {
	var sum int64
	for _, o := range u.orphans {
		sum += o.memory
	}
	return sum
}

// committed is the upper bound of the memory in use: that of every replica that
// has or may have a row, also of previous leaseholders, and of every orphan.
func (u *upstream) committed() int64 {
	sum := u.orphanMemory()
	for _, r := range u.replicas {
		if r.state != planned {
			sum += r.row.MemoryMB
		}
	}
	return sum
}

// freeMemory is the memory that is not reserved by replicas, including planned
// ones, or used by orphans.
func (u *upstream) freeMemory() int64 { return u.capacity() - u.reservedMemory - u.orphanMemory() }

type pool struct {
	cfg       *catalog.Pool
	name      string
	models    map[string]*model
	modelList []*model // in catalogue order, then former models
	upstreams map[string]*upstream
	members   []*upstream
	tierRatio [numTiers]float64 // measured load time by tier relative to Model.LoadTime
}

// report is the last report of one instance.
type report struct {
	at      time.Time
	models  []*model
	demands []Demand // arrivals are set to zero once counted
}
