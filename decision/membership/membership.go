// Package membership derives the set of live instances from the platform's list of
// instances, which lags behind, and from peer links. It reads no clock and does no I/O.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Member is the known state of one instance.
type Member struct {
	Instance    string
	Address     string
	DataCentre  string
	Incarnation string // from the last link or session row; empty if unknown
	Listed      bool   // whether it is in the latest list
	Connected   bool
	Leaving     bool
	LastSeen    time.Time // when it was last listed, or its link last went up or down
}

// Table holds the members. It is not safe for concurrent use.
type Table struct {
	listLag time.Duration
	members map[string]*Member
}

// New returns a table that expires a member once it has been neither listed nor
// connected for listLag.
func New(listLag time.Duration) *Table {
	return &Table{listLag: listLag, members: map[string]*Member{}}
}

// ApplyList applies one read of the platform's list.
func (t *Table) ApplyList(now time.Time, listed []ports.ListedInstance) {
	for _, m := range t.members {
		m.Listed = false
	}
	for _, entry := range listed {
		m := t.member(entry.ID)
		if m.Address != entry.Address && entry.Incarnation == "" {
			// A new address means that another machine uses the same name.
			m.Incarnation = ""
		}
		m.Address, m.DataCentre, m.Leaving = entry.Address, entry.DataCentre, entry.Leaving
		if entry.Incarnation != "" && !m.Connected {
			m.Incarnation = entry.Incarnation
		}
		m.Listed, m.LastSeen = true, now
	}
	t.expire(now)
}

// RecordLink records that the link to an instance came up or went down.
func (t *Table) RecordLink(now time.Time, instance, incarnation, address, dataCentre string, up bool) {
	m := t.member(instance)
	if up {
		m.Incarnation, m.Address, m.DataCentre = incarnation, address, dataCentre
	}
	m.Connected, m.LastSeen = up, now
}

func (t *Table) member(instance string) *Member {
	m, ok := t.members[instance]
	if !ok {
		m = &Member{Instance: instance}
		t.members[instance] = m
	}
	return m
}

func (t *Table) expire(now time.Time) {
	for name, m := range t.members {
		if !m.Listed && !m.Connected && now.Sub(m.LastSeen) > t.listLag {
			delete(t.members, name)
		}
	}
}

// Members returns a copy of all members, sorted by instance.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}
