package quotasync

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// rowKind is the kind of the rows that record the holder of each slot.
const rowKind = "share"

// SlotRow is the value of the row share/<workspace>/<slot>.
type SlotRow struct {
	// Holder is the instance that holds the slot; empty once released.
	Holder      string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Address     string `cbor:"3,keyasint,omitempty"`
	// Level, Lent and Empty are the state that the holder started with or, for a
	// released slot, the state that the next holder starts with.
	Level float64 `cbor:"4,keyasint,omitempty"`
	Lent  float64 `cbor:"5,keyasint,omitempty"`
	Empty bool    `cbor:"6,keyasint,omitempty"`
	// Generation grows by one with each holder.
	Generation uint64 `cbor:"7,keyasint,omitempty"`
}

// Encode returns the row in its stored form.
func (r SlotRow) Encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeSlotRow decodes a row from its stored form.
func DecodeSlotRow(data []byte) (SlotRow, error) {
	var r SlotRow
	err := cbor.Unmarshal(data, &r)
	return r, err
}

func (r SlotRow) start() quota.SlotStart {
	return quota.SlotStart{Level: r.Level, Lent: r.Lent, Empty: r.Empty}
}

type slotKey struct {
	workspace string
	index     int
}

func (k slotKey) String() string { return fmt.Sprintf("%s/%s/%d", rowKind, k.workspace, k.index) }

// parseSlotKey reads "share/<workspace>/<slot>"; a workspace name may contain slashes.
func parseSlotKey(key string) (slotKey, bool) {
	name, ok := strings.CutPrefix(key, rowKind+"/")
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
	Leaving       // takes no further slots
	Ended         // its session has expired by the observer's monotonic clock
)

// Member is one instance in the platform's list, with the incarnation of its
// session if known.
type Member struct {
	Instance    string
	Incarnation string
	Address     string
	DataCentre  string
	State       State
}

// storedRow is a slot's row as last read.
type storedRow struct {
	SlotRow
	exists   bool
	revision uint64
}

// holderKey identifies one incarnation of a holder.
type holderKey struct{ instance, incarnation string }

// matches reports whether the member may be that incarnation. A member whose
// incarnation is unknown matches every incarnation of its instance.
func (m Member) matches(run holderKey) bool {
	return m.Instance == run.instance && (m.Incarnation == "" || m.Incarnation == run.incarnation)
}

func (r SlotRow) holder() holderKey { return holderKey{r.Holder, r.Incarnation} }

// action is what a refresh does with a slot.
type action uint8

const (
	ignore action = iota // held or to be taken by another instance
	keep                 // held, with no change
	adopt                // the row names this incarnation, but its write was not confirmed
	take                 // may be taken, with the start state that decide returns
	drop                 // the row shows another holder
	free                 // to be released
)

// slotView is the input of decide for one slot.
type slotView struct {
	row        storedRow
	self       holderKey
	address    string
	ranksFirst bool   // this instance ranks first for the slot
	configured bool   // the workspace has limits
	leaving    bool   // this instance takes no slots
	holding    bool   // the ledger holds the slot
	activated  uint64 // last generation that this instance activated
	holderGone bool   // the holder's incarnation has certainly ended
	full       quota.SlotStart
}

// decide applies the ownership rules of slots. A slot may be taken only if it
// was never held, was released, belonged to a former process at this
// instance's own address, or if its holder's incarnation has certainly ended.
func decide(v slotView) (action, quota.SlotStart) {
	ownRow := v.row.exists && v.row.Holder != "" && v.row.holder() == v.self
	switch {
	case ownRow && !v.configured:
		return free, quota.SlotStart{}
	case ownRow && v.holding:
		return keep, quota.SlotStart{}
	case ownRow && v.row.Generation > v.activated:
		return adopt, v.row.start()
	case ownRow:
		return free, quota.SlotStart{} // removed from the ledger, but the release is not confirmed
	case v.holding:
		return drop, quota.SlotStart{}
	case v.leaving || !v.configured:
		return ignore, quota.SlotStart{}
	case !v.row.exists && v.ranksFirst:
		return take, v.full
	case v.row.exists && v.row.Holder == "" && v.ranksFirst:
		return take, v.row.start()
	case v.row.exists && v.row.Holder != "" && (v.row.Address == v.address || v.holderGone && v.ranksFirst):
		return take, quota.SlotStart{Empty: true}
	}
	return ignore, quota.SlotStart{}
}

// absences tracks how long holders have been missing from the platform's list.
type absences struct {
	lag   time.Duration
	since map[holderKey]time.Time
	gone  map[holderKey]bool
}

// observe records one snapshot of the list. A holder is gone once snapshots
// over more than the list's lag lacked it, all of them after its row was first
// seen, so that a holder that the list does not show yet is not taken for an
// ended one. It reports whether the status of any holder has changed.
func (a *absences) observe(holders map[holderKey]bool, members []Member, now time.Time) (changed bool) {
	setGone := func(key holderKey, gone bool) {
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
			if m.matches(key) {
				present, ended = true, m.State == Ended && m.Incarnation == key.incarnation
			}
		}
		first, absent := a.since[key]
		switch {
		case present:
			delete(a.since, key)
			setGone(key, ended)
		case !absent:
			a.since[key] = now
		case now.Sub(first) > a.lag:
			setGone(key, true)
		}
	}
	return changed
}
