package placement

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// Event is an input of the planner.
type Event interface{ event() }

// LeaseAcquired reports that this process has acquired the lease with a new
// fencing token. The planner responds with ListRows.
type LeaseAcquired struct{ Token uint64 }

// LeaseLost reports that this process no longer holds the lease.
type LeaseLost struct{}

// RowsRead is the answer to ListRows: all rows of kind "replica".
type RowsRead struct{ Rows []StoredRow }

// StoredRow is a replica row with its key parts and revision.
type StoredRow struct {
	Pool, ID string
	Revision uint64
	Row      Row
}

// CatalogChanged replaces the catalogue.
type CatalogChanged struct{ Index *catalog.Index }

// DemandReported replaces the report of one instance.
type DemandReported struct {
	Instance string
	Demands  []Demand
}

// InstanceGone removes the report of an instance.
type InstanceGone struct{ Instance string }

// PreviousView is the latest view that this process received from another placer.
// Ramp-ups in progress continue from it after a change of leaseholder.
type PreviousView struct{ View View }

// WriteResult is the result of a row write.
type WriteResult uint8

// Results of a row write. After WriteUnknown the planner repeats the write
// with the same transaction token.
const (
	WriteUnknown WriteResult = iota
	WriteApplied
	WriteConflict
	WriteNotApplied
)

// RowWritten is the result of a WriteRow action.
type RowWritten struct {
	Pool, ID string
	Txn      string
	Result   WriteResult
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order.
const (
	OrderUnknown Outcome = iota
	OrderDone
	OrderRefused
)

// OrderAnswered is the result of a SendLoad or SendUnload action.
type OrderAnswered struct {
	Pool, ID string
	Unload   bool
	// Attempt is the attempt of the action; answers to earlier attempts are ignored.
	Attempt int
	Outcome Outcome
	// NotSent is set if a refused order has not left this process.
	NotSent bool
	// Retryable is set if the cause of a refusal is expected to be temporary.
	Retryable   bool
	Reason      string
	Incarnation string // of the engine that answered, if any
}

// Tier is the storage tier from which an upstream loads a model's checkpoint.
type Tier uint8

// Tiers, slowest first.
const (
	Remote Tier = iota
	Disk
	Memory
	numTiers
)

func (t Tier) String() string { return [...]string{"remote", "disk", "memory"}[t] }

// IndexEntry is one replica or checkpoint of an engine's index.
type IndexEntry struct {
	Model     string
	ReplicaID string // empty if the model is not loaded
	Ready     bool
	// Present is set if a copy is loaded, loading or unloading.
	Present  bool
	MemoryMB int64
	Tier     Tier
}

// IndexRead is an answer to an index read.
type IndexRead struct {
	Pool, Upstream string
	// Sent is when the read was sent: the answer includes all effects before it.
	Sent        time.Time
	Incarnation string
	Entries     []IndexEntry
	Utilization float64
	MemoryTotal int64 // MiB, 0 if unknown
}

// UpstreamDown reports that an upstream could not be reached.
type UpstreamDown struct{ Pool, Upstream string }

// UpstreamSuspect reports that a connection to an upstream broke or that an
// answer carried another incarnation. The planner reads its index.
type UpstreamSuspect struct{ Pool, Upstream, Incarnation string }

// Tick advances the time without another input.
type Tick struct{}

func (LeaseAcquired) event()   {}
func (LeaseLost) event()       {}
func (RowsRead) event()        {}
func (CatalogChanged) event()  {}
func (DemandReported) event()  {}
func (InstanceGone) event()    {}
func (PreviousView) event()    {}
func (RowWritten) event()      {}
func (OrderAnswered) event()   {}
func (IndexRead) event()       {}
func (UpstreamDown) event()    {}
func (UpstreamSuspect) event() {}
func (Tick) event()            {}

// Action is an output of the planner.
type Action interface{ action() }

// ListRows requests all replica rows; RowsRead is the answer.
type ListRows struct{}

// WriteRow requests a conditional write that includes the lease check. A zero
// Revision creates the row; Delete removes it.
type WriteRow struct {
	Pool, ID string
	Txn      string
	Revision uint64
	Row      Row
	Delete   bool
}

// SendLoad requests that a load order be sent. The lease must be checked
// immediately before sending.
type SendLoad struct {
	Pool, ID string
	Attempt  int
	Address  string
	Model    string
	Base     string
	Token    uint64
	MemoryMB int64
	// AnswerTimeout is the timeout of the answer.
	AnswerTimeout time.Duration
}

// SendUnload requests that an unload order be sent, with the same lease check.
type SendUnload struct {
	Pool, ID string
	Attempt  int
	Address  string
	Model    string
	Token    uint64
}

// ReadIndex requests a read of an upstream's index.
type ReadIndex struct{ Pool, Upstream, Address string }

// Publish requests the publication of a view.
type Publish struct{ View View }

// Decision is a placement decision to be logged, one line each.
type Decision struct {
	Kind         string // load, unload, drain, withdraw, void
	Pool, Model  string
	Upstream, ID string
	Reason       string
	Alternatives []Alternative // refused, at most maxAlternatives
}

// Alternative is an upstream that was not chosen.
type Alternative struct {
	Upstream string `json:"upstream"`
	Reason   string `json:"reason"`
}

func (ListRows) action()   {}
func (WriteRow) action()   {}
func (SendLoad) action()   {}
func (SendUnload) action() {}
func (ReadIndex) action()  {}
func (Publish) action()    {}
func (Decision) action()   {}
