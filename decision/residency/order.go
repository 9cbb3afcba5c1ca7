// Package residency decides which models the engines hold: what is loaded
// where, what makes way for it, and in which order the weight store is used.
// One instance decides at a time. The package does no I/O and reads no clock.
package residency

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Order asks an upstream to load or unload a model or an adapter. It takes
// effect only if the upstream has accepted Sequence orders before, so that an
// order that is carried out late can't follow a newer one.
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

// Source says where the weights of a load come from.
type Source uint8

// Sources of weights, the slowest first.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// String returns the source as it appears in logs.
func (s Source) String() string { return [...]string{"store", "disk", "memory"}[s] }

// Outcome is what an upstream said of an order.
type Outcome uint8

// Outcomes of orders.
const (
	Unknown  Outcome = iota // no answer: it may be carried out, also seconds later
	NotSent                 // the upstream was not reached
	Accepted                // under way
	Holds                   // done, or already so
	Conflict                // another order is under way, or the sequence differs
	Fenced                  // another instance gives orders
	Gone                    // another upstream, or another run of it
	Refused                 // the upstream does not take it
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "not_sent", "accepted", "holds", "conflict", "fenced", "gone", "refused"}[o]
}

// mayAdvance reports whether an order with the outcome may have been accepted.
func mayAdvance(o Outcome) bool { return o == Unknown || o == Accepted || o == Holds }

// Report is the state that an upstream tells when it is asked.
type Report struct {
	Models   map[string][]string
	Busy     bool
	Sequence int64
	Coming   []string
	Memory   []string
	Disk     []string
}

// Placement is what fronts need to know of one upstream.
type Placement struct {
	Upstream string              `cbor:"1,keyasint"`
	Started  int64               `cbor:"2,keyasint"`
	Models   map[string][]string `cbor:"3,keyasint"`
	// Revision is that of the newest entry of the upstream that was considered.
	Revision int64 `cbor:"4,keyasint"`
}

// Need is one instance's demand for a model since its last report.
type Need struct {
	Service string         `cbor:"1,keyasint"`
	Model   string         `cbor:"2,keyasint"`
	Arrived int            `cbor:"3,keyasint"`
	Waiting int            `cbor:"4,keyasint"`
	Left    time.Duration  `cbor:"5,keyasint"` // until the earliest deadline of those that wait
	Running map[string]int `cbor:"6,keyasint"` // by upstream
	// Adapters of the model that requests have used since the last report.
	Adapters []string `cbor:"7,keyasint"`
}

// Figures of the policy.
const (
	// rateHalfLife weighs arrivals for the estimate of a model's demand.
	rateHalfLife = 6 * time.Second
	// needAge is how long an instance's report counts without a newer one.
	needAge = 3 * time.Second
	// UnloadNotice is the time between telling the instances that a model goes
	// and ordering it, so that no request meets the unload.
	UnloadNotice = 30 * time.Millisecond
	// UnloadTime is about how long an upstream takes for the unload of a model that
	// runs no requests; an order before its end is turned away.
	UnloadTime = 60 * time.Millisecond
	// answerSlack is added to the expected time of a load before the upstream
	// is asked what has become of it.
	answerSlack = 1500 * time.Millisecond
	// retryAfter is the pause after an order that an upstream did not take.
	retryAfter = 500 * time.Millisecond
	// crowded is the number of requests a replica from which another one is added:
	// beyond it the prompts of some make the others pause for over 0.3 s.
	crowded = 8
	// swapTime is about how long it takes until a load begins that has to make
	// room first.
	swapTime = 500 * time.Millisecond
	// spareRate is the demand in requests a second from which a model has a
	// second replica: a load takes seconds, in which all of them would wait.
	spareRate = 0.7
	// absentRate is the demand from which a model without a replica is loaded
	// before the next request asks for it.
	absentRate = 0.3
	// storeBurst is the number of loads that the weight store's rate may be
	// exceeded by at once.
	storeBurst = 3
	// storeShare is the part of the store's rate that is used.
	storeShare = 0.9
	// fullSpeed and slowedDown are how much longer than alone a load from the weight
	// store takes at most while the store serves all at full speed, and at least
	// when it does not. One load more than four takes a quarter longer.
	fullSpeed  = 1.05
	slowedDown = 1.15
	// minStoreParallel and maxStoreParallel bound the loads from the weight store
	// at once; the deployments' stores serve 2 to 8 at full speed.
	minStoreParallel = 2
	maxStoreParallel = 16
	// adapterReady is how long the load of an adapter takes at most, as long
	// as few are under way.
	adapterReady = 25 * time.Millisecond
	// adapterLag is how far an upstream's word on its adapters is behind.
	adapterLag = 2500 * time.Millisecond
	// reportLag is how far an upstream's report is behind.
	reportLag = 600 * time.Millisecond
	// adapterIdle is how long an adapter must not have been used to make way.
	adapterIdle = time.Second
	// conflictPause is the pause after an upstream said that another order is
	// under way.
	conflictPause = 150 * time.Millisecond
	// maxComing is how many adapters may be on their way to one upstream.
	maxComing = 4
)

// key names a model of a service.
type key struct{ service, model string }

// rate is a moving estimate of arrivals a second.
type rate struct {
	value float64
	at    bootclock.Time
}

func (r *rate) add(now bootclock.Time, arrivals int) {
	r.value = r.now(now) + float64(arrivals)*decayPerSecond
	r.at = now
}

// decayPerSecond makes the moving sum an estimate of a rate.
const decayPerSecond = 0.115 // ln 2 / 6 s

func (r *rate) now(now bootclock.Time) float64 {
	if r.at == 0 {
		return 0
	}
	return r.value * halve(now.Sub(r.at), rateHalfLife)
}
