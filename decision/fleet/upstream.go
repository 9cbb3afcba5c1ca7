package fleet

import (
	"maps"
	"slices"
	"strings"
)

// Copies lists the models whose weights an upstream keeps in memory or on disk
// without serving them.
type Copies struct {
	Memory []string
	Disk   []string
}

// Upstream is the entry of a registered process that runs requests.
type Upstream struct {
	ID             string
	Service        string
	Address        string
	DataCentre     string
	Software       string // version of its software; a stream goes on only at the one that began it
	Slots          int
	Leaving        bool
	ColdFor        int64               // time for which it stays cold after the entry was written, in milliseconds
	Started        int64               // start of the process in Unix milliseconds; distinguishes runs with the same ID
	Models         map[string][]string // loaded models with their adapters
	Copies         Copies
	CopiesReported bool  // the entry has Copies
	Revision       int64 // revision of the entry
	Sequence       int64 // number of entries that this run has written
}

// SameRun reports whether both entries belong to the same run of the same process.
func (u *Upstream) SameRun(o *Upstream) bool {
	return u.ID == o.ID && u.Started == o.Started && u.Address == o.Address
}

// VersionConstraint limits a stream that has begun to upstreams of one software version.
type VersionConstraint struct {
	Bound   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
}

// Allows reports whether the stream may go on at the upstream.
func (c VersionConstraint) Allows(u *Upstream) bool { return !c.Bound || c.Version == u.Software }

// Equivalent reports whether both entries are equal in all fields that affect
// the routing of requests, apart from the models, which the leader tracks more
// accurately than the entries.
func (u *Upstream) Equivalent(o *Upstream) bool {
	return u.SameRun(o) && u.Service == o.Service && u.DataCentre == o.DataCentre && u.Slots == o.Slots && u.Software == o.Software &&
		u.Leaving == o.Leaving && u.ColdFor == o.ColdFor
}

// Holds reports whether the entry lists the model as loaded.
func (u *Upstream) Holds(model string) bool {
	_, ok := u.Models[model]
	return ok
}

// View is an immutable snapshot of a Registry.
type View struct {
	Config    *Config // nil until the first desired state is received
	Evacuated map[string]bool
	ByService map[string][]*Upstream
	ByID      map[string]*Upstream
	// Departed are the runs that get nothing new although their entries say that they are in
	// service.
	Departed map[string]Departure
}

// Departure is the run of an upstream that said in an answer that it leaves, or that has
// ended.
type Departure struct {
	Started int64
	Ended   bool
}

// Usable reports whether new requests may be sent to the upstream.
func (v *View) Usable(u *Upstream) bool {
	d, departed := v.Departed[u.ID]
	return !u.Leaving && !(departed && d.Started == u.Started) && !v.Evacuated[u.DataCentre]
}

// Registry stores the newest state reported by the platform. It is not safe for
// concurrent use.
type Registry struct {
	config    *Config
	evacuated map[string]bool
	upstreams map[string]*Upstream
	// removed holds the last entries of upstreams that are gone. A store that has come
	// back from a copy may show them again.
	removed map[string]*Upstream
	// departed has the meaning of View.Departed.
	departed map[string]Departure
}

// maxRemoved bounds the number of removed upstreams that a registry remembers.
const maxRemoved = 4096

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{evacuated: map[string]bool{}, upstreams: map[string]*Upstream{}, removed: map[string]*Upstream{}, departed: map[string]Departure{}}
}

// SetConfig stores the configuration if its version is newer than the stored one,
// and reports whether it did, so that neither a late read nor a store that has come back
// from a copy replaces a newer version.
func (r *Registry) SetConfig(c *Config) bool {
	if r.config != nil && c.Version <= r.config.Version {
		return false
	}
	r.config = c
	return true
}

// SetEvacuated records whether a data centre is out of service.
func (r *Registry) SetEvacuated(dataCentre string, evacuated bool) {
	if evacuated {
		r.evacuated[dataCentre] = true
	} else {
		delete(r.evacuated, dataCentre)
	}
}

// SetUpstream stores an entry and reports whether it did. An entry that is older than
// the known one by its own counts is ignored: it is late, or the store has come back from
// a copy. A run that leaves never takes that back.
func (r *Registry) SetUpstream(u *Upstream) bool {
	if old := r.upstreams[u.ID]; old != nil {
		if u.olderThan(old) || u.SameRun(old) && old.Leaving && !u.Leaving {
			return false
		}
	} else if gone := r.removed[u.ID]; gone != nil && !gone.olderThan(u) {
		return false
	}
	r.upstreams[u.ID] = u
	delete(r.removed, u.ID)
	return true
}

// SetDeparted records that a run of an upstream leaves or has ended, or that this does not
// hold any longer. Entries of the same run, which may be older, take nothing back.
func (r *Registry) SetDeparted(id string, d Departure, departed bool) {
	before, known := r.departed[id]
	switch {
	case departed && (!known || d.Started >= before.Started):
		r.departed[id] = d
	case !departed && known && d.Started == before.Started:
		delete(r.departed, id)
	}
}

// olderThan reports whether an entry was written before another one of the same ID.
func (u *Upstream) olderThan(o *Upstream) bool {
	return u.Started < o.Started || u.Started == o.Started && u.Sequence < o.Sequence
}

// RemoveUpstream removes the entry of an upstream.
func (r *Registry) RemoveUpstream(id string) {
	if u := r.upstreams[id]; u != nil {
		if len(r.removed) >= maxRemoved {
			clear(r.removed)
		}
		r.removed[id] = u
	}
	delete(r.upstreams, id)
}

// Upstream returns the entry of an upstream, nil if there is none.
func (r *Registry) Upstream(id string) *Upstream { return r.upstreams[id] }

// View returns a snapshot of the current state.
func (r *Registry) View() *View {
	v := &View{
		Config: r.config, Evacuated: maps.Clone(r.evacuated),
		ByService: map[string][]*Upstream{}, ByID: maps.Clone(r.upstreams), Departed: maps.Clone(r.departed),
	}
	for _, u := range r.upstreams {
		v.ByService[u.Service] = append(v.ByService[u.Service], u)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}
