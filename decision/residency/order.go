// Package residency plans which models the engines hold: which model is loaded
// where, which models are evicted for it, and in which order models are loaded
// from the weight store. One instance, the leader, plans at a time. The package
// does no I/O and reads no clock.
package residency

import (
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Order is a command to an upstream to load or unload a model or an adapter. It
// takes effect only if the upstream has accepted exactly Sequence orders before,
// so that a delayed order can't be executed after a newer one.
type Order struct {
	Upstream string
	Address  string
	Started  int64
	Unload   bool
	Model    string
	Adapter  string
	Sequence int64
	Source   Source
}

// Source is where the weights of a load come from.
type Source uint8

// Sources of weights, slowest first.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// String returns the source as it appears in logs.
func (s Source) String() string { return [...]string{"store", "disk", "memory"}[s] }

// Outcome is the result of sending an order to an upstream.
type Outcome uint8

// Outcomes of orders.
const (
	Unknown     Outcome = iota // no answer: the order may be executed, even seconds later
	NotSent                    // the upstream was not reached
	Accepted                   // the order is being executed
	Done                       // the order has been executed or had nothing to do
	Conflict                   // another order is in progress, or the sequence number differs
	Fenced                     // the fencing token is older than that of another instance
	Misdirected                // the address belongs to another upstream or another run of it
	Refused                    // the upstream rejected the order
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "not_sent", "accepted", "holds", "conflict", "fenced", "gone", "refused"}[o]
}

// possiblyAccepted reports whether an order with the outcome may have been
// accepted.
func possiblyAccepted(o Outcome) bool { return o == Unknown || o == Accepted || o == Done }

// Report is the state that an upstream returns on request.
type Report struct {
	Models          map[string][]string
	Busy            bool
	Sequence        int64
	LoadingAdapters []string // adapters being loaded, MODEL/NAME@VERSION
	Memory          []string
	Disk            []string
}

// Placement lists the models and adapters that one upstream serves, for the
// instances that route requests.
type Placement struct {
	Upstream string              `cbor:"1,keyasint"`
	Started  int64               `cbor:"2,keyasint"`
	Models   map[string][]string `cbor:"3,keyasint"`
	// Revision is the revision of the newest entry of the upstream that the
	// placement takes into account.
	Revision int64 `cbor:"4,keyasint"`
}

// ModelDemand is one instance's demand for a model since its last report.
type ModelDemand struct {
	Service       string         `cbor:"1,keyasint"`
	Model         string         `cbor:"2,keyasint"`
	Arrived       int            `cbor:"3,keyasint"`
	Waiting       int            `cbor:"4,keyasint"`
	UntilDeadline time.Duration  `cbor:"5,keyasint"` // until the earliest deadline of the waiting requests
	Running       map[string]int `cbor:"6,keyasint"` // by upstream
	// Adapters are the adapters of the model that requests have used since the
	// last report.
	Adapters []string `cbor:"7,keyasint"`
	// Refused counts the requests since the last report that were refused because no
	// upstream could serve them in time. It is reported only where the number of
	// upstreams can be ordered.
	Refused int `cbor:"8,keyasint,omitempty"`
}

// Policy parameters.
const (
	// rateHalfLife is the half-life of arrivals in the estimate of a model's demand.
	rateHalfLife = 6 * time.Second
	// reportTTL is how long an instance's demand report is used without a newer one.
	reportTTL = 3 * time.Second
	// UnloadNotice is the time between notifying the instances that a model will
	// be unloaded and ordering the unload, so that no request reaches the
	// upstream during the unload.
	UnloadNotice = 30 * time.Millisecond
	// UnloadTime is the approximate duration of the unload of a model that runs no
	// requests. The upstream rejects an order that arrives before its end.
	UnloadTime = 60 * time.Millisecond
	// overdueMargin is added to the expected duration of an order before a report
	// is requested from the upstream to find out its result.
	overdueMargin = 1500 * time.Millisecond
	// retryAfter is the pause after an order that an upstream did not accept, and
	// between requests for reports.
	retryAfter = 500 * time.Millisecond
	// requestsPerReplica is the number of requests per replica above which another
	// replica is added: with more, reading the prompts of some requests pauses the
	// others for over 0.3 s.
	requestsPerReplica = 8
	// swapTime is the approximate delay before a load that needs an eviction first.
	swapTime = 500 * time.Millisecond
	// secondReplicaRate is the demand in requests a second from which a model gets
	// a second replica. If the only replica were lost, all requests would wait for
	// the seconds that a load takes.
	secondReplicaRate = 0.7
	// restartTime is the time after which an engine that has ended is there again, as a rule:
	// the platform starts it again after 2 s.
	restartTime = 3 * time.Second
	// firstReplicaRate is the demand in requests a second from which a model
	// without a replica is loaded before the next request arrives.
	firstReplicaRate = 0.3
	// storeBurst is the size in loads of the token bucket that limits the starts
	// of loads from the weight store.
	storeBurst = 3
	// storeShare is the fraction of the store's permitted load rate that is used.
	storeShare = 0.9
	// fullSpeedFactor and slowedFactor are ratios of the duration of a load from
	// the weight store to its duration when no other runs: at most
	// fullSpeedFactor while the store serves all loads at full speed, at least
	// slowedFactor when it does not. At a store that serves four loads at full
	// speed, five take a quarter longer.
	fullSpeedFactor = 1.05
	slowedFactor    = 1.15
	// minStoreParallel and maxStoreParallel bound the number of concurrent loads
	// from the weight store; the deployments' stores serve 2 to 8 at full speed.
	minStoreParallel = 2
	maxStoreParallel = 16
	// adapterLoadTime is the longest duration of an adapter load while few are in
	// progress.
	adapterLoadTime = 25 * time.Millisecond
	// adapterLag is how far an upstream's report of its adapters lags behind.
	adapterLag = 2500 * time.Millisecond
	// reportLag is how far the other fields of an upstream's report lag behind.
	reportLag = 600 * time.Millisecond
	// adapterMinIdle is how long an adapter must have been unused before it may be
	// evicted.
	adapterMinIdle = time.Second
	// conflictPause is the pause after an upstream did not accept an order for an
	// adapter, for example because another order is in progress.
	conflictPause = 150 * time.Millisecond
	// maxAdapterLoads is the number of adapter loads that may be in flight at one
	// upstream.
	maxAdapterLoads = 4
)

// key identifies a model of a service.
type key struct{ service, model string }

// rate is an exponentially decaying estimate of arrivals a second.
type rate struct {
	value float64
	at    bootclock.Time
}

func (r *rate) add(now bootclock.Time, arrivals int) {
	r.value = r.current(now) + float64(arrivals)*decayPerSecond
	r.at = now
}

// decayPerSecond scales the decaying sum of arrivals to a rate: the decay
// constant for rateHalfLife.
const decayPerSecond = 0.115 // ln 2 / 6 s

func (r *rate) current(now bootclock.Time) float64 { return r.over(now, rateHalfLife) }

// addOver and over are add and current with another half-life than rateHalfLife.
func (r *rate) addOver(now bootclock.Time, arrivals int, halfLife time.Duration) {
	r.value = r.over(now, halfLife) + float64(arrivals)*math.Ln2/halfLife.Seconds()
	r.at = now
}

func (r *rate) over(now bootclock.Time, halfLife time.Duration) float64 {
	if r.at == 0 {
		return 0
	}
	return r.value * decay(now.Sub(r.at), halfLife)
}
