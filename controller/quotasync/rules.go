package quotasync

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// kind is the kind of the rows that say who holds a slot.
const kind = "share"

// SlotRow is the value of the row share/<workspace>/<slot>.
type SlotRow struct {
	// Holder is the instance that holds the slot; empty once released.
	Holder      string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Address     string `cbor:"3,keyasint,omitempty"`
	// Level, Lent and Empty are what the holder started with, or what the next
	// holder of a released slot starts with.
	Level float64 `cbor:"4,keyasint,omitempty"`
	Lent  float64 `cbor:"5,keyasint,omitempty"`
	Empty bool    `cbor:"6,keyasint,omitempty"`
	// Generation grows by one with each holder.
	Generation uint64 `cbor:"7,keyasint,omitempty"`
}

// Encode returns the stored form.
func (r SlotRow) Encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeSlotRow reads the stored form.
func DecodeSlotRow(data []byte) (SlotRow, error) {
	var r SlotRow
	err := cbor.Unmarshal(data, &r)
	return r, err
}

func (r SlotRow) start() quota.Start {
	return quota.Start{Level: r.Level, Lent: r.Lent, Empty: r.Empty}
}

type slotKey struct {
	workspace string
	index     int
}

func (k slotKey) String() string { return fmt.Sprintf("%s/%s/%d", kind, k.workspace, k.index) }

// parseSlotKey reads "share/<workspace>/<slot>"; a workspace name may contain slashes.
func parseSlotKey(key string) (slotKey, bool) {
	name, ok := strings.CutPrefix(key, kind+"/")
	cut := strings.LastIndexByte(name, '/')
	if !ok || cut < 0 {
		return slotKey{}, false
	}
	index, err := strconv.Atoi(name[cut+1:])
	return slotKey{name[:cut], index}, err == nil && index >= 0 && index < quota.Slots
}

// State is the state of a member.
type State uint8

// States of members.
const (
	Live    State = iota
	Leaving       // gets no further slots
	Ended         // its session has ended, as counted on the observer's monotonic clock
)

// Member is one instance as the platform's list shows it, with the incarnation
// of its session where known.
type Member struct {
	Instance    string
	Incarnation string
	Address     string
	DataCentre  string
	State       State
}

// stored is a slot's row as last read.
type stored struct {
	SlotRow
	exists   bool
	revision uint64
}

// holderKey is one run of a holder.
type holderKey struct{ instance, incarnation string }

// shows reports whether the member may be that run.
func (m Member) shows(run holderKey) bool {
	return m.Instance == run.instance && (m.Incarnation == "" || m.Incarnation == run.incarnation)
}

func (r SlotRow) holder() holderKey { return holderKey{r.Holder, r.Incarnation} }

// action is what an instance does about a slot.
type action uint8

const (
	leave action = iota // another instance's business
	keep                // held and spending
	adopt               // the row is ours, but its write was not confirmed
	take                // may be taken, with the start that comes along
	drop                // the row shows another holder
	free                // held, and to be released
)

// slotView is all that a decision about a slot depends on.
type slotView struct {
	row       stored
	self      holderKey
	address   string
	first     bool   // this instance ranks first
	known     bool   // the workspace has limits
	leaving   bool   // this instance takes no slots
	holding   bool   // the ledger holds the slot
	activated uint64 // last generation that was spent from here
	gone      bool   // the holder's run is certainly over
	full      quota.Start
}

// decide applies the rules for the passing of a slot. A slot passes only if it
// was never held, was released, belonged to a former process at this
// instance's own address, or if its holder's run is certainly over.
func decide(v slotView) (action, quota.Start) {
	mine := v.row.exists && v.row.Holder != "" && v.row.holder() == v.self
	switch {
	case mine && !v.known:
		return free, quota.Start{}
	case mine && v.holding:
		return keep, quota.Start{}
	case mine && v.row.Generation > v.activated:
		return adopt, v.row.start()
	case mine:
		return free, quota.Start{} // given up here, but the release is not confirmed
	case v.holding:
		return drop, quota.Start{}
	case v.leaving || !v.known:
		return leave, quota.Start{}
	case !v.row.exists && v.first:
		return take, v.full
	case v.row.exists && v.row.Holder == "" && v.first:
		return take, v.row.start()
	case v.row.exists && v.row.Holder != "" && (v.row.Address == v.address || v.gone && v.first):
		return take, quota.Start{Empty: true}
	}
	return leave, quota.Start{}
}

// absences tracks since when the platform's list lacks runs of holders.
type absences struct {
	lag   time.Duration
	since map[holderKey]time.Time
	gone  map[holderKey]bool
}

// observe notes one reading of the list. A run is gone once readings over more
// than the list's lag lacked it, all of them after its row was first seen; so a
// run that the list does not show yet is not taken for a dead one. It reports
// whether it says of any run something else than before.
func (a *absences) observe(holders map[holderKey]bool, members []Member, now time.Time) (changed bool) {
	set := func(key holderKey, gone bool) {
		changed = changed || a.gone[key] != gone
		a.gone[key] = gone
	}
	for key := range a.since {
		if !holders[key] {
			delete(a.since, key)
			delete(a.gone, key)
		}
	}
	runs := make(map[string][]Member, len(members))
	for _, m := range members {
		runs[m.Instance] = append(runs[m.Instance], m)
	}
	for key := range holders {
		present, ended := false, false
		for _, m := range runs[key.instance] {
			if m.shows(key) {
				present, ended = true, m.State == Ended && m.Incarnation == key.incarnation
			}
		}
		first, absent := a.since[key]
		switch {
		case present:
			delete(a.since, key)
			set(key, ended)
		case !absent:
			a.since[key] = now
		case now.Sub(first) > a.lag:
			set(key, true)
		}
	}
	return changed
}
