package fleet

import (
	"maps"
	"slices"
	"strings"
)

// Copies lists the models of which an upstream keeps weights without serving them.
type Copies struct {
	Memory []string
	Disk   []string
}

// Upstream is one registered process that runs requests.
type Upstream struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	Leaving     bool
	ColdFor     int64               // milliseconds for which it stays cold after the entry was written
	Started     int64               // Unix milliseconds; tells two runs under one ID apart
	Models      map[string][]string // loaded models with their adapters
	Copies      Copies
	KnowsCopies bool  // Copies were reported
	Revision    int64 // of the entry
}

// Same reports whether both entries come from one run of one process.
func (u *Upstream) Same(o *Upstream) bool {
	return u.ID == o.ID && u.Started == o.Started && u.Address == o.Address
}

// Equivalent reports whether both entries mean the same to requests, apart from
// the models, of which the leader knows more than the entries.
func (u *Upstream) Equivalent(o *Upstream) bool {
	return u.Same(o) && u.Service == o.Service && u.DataCentre == o.DataCentre && u.Slots == o.Slots &&
		u.Leaving == o.Leaving && u.ColdFor == o.ColdFor
}

// Holds reports whether the entry lists the model.
func (u *Upstream) Holds(model string) bool {
	_, ok := u.Models[model]
	return ok
}

// View is what an instance knows at one moment. It is not changed after
// Registry has returned it.
type View struct {
	Config    *Config // nil until the first desired state is known
	Evacuated map[string]bool
	ByService map[string][]*Upstream
	ByID      map[string]*Upstream
}

// Usable reports whether new requests may be sent to the upstream.
func (v *View) Usable(u *Upstream) bool {
	return !u.Leaving && !v.Evacuated[u.DataCentre]
}

// Registry keeps the newest state that the platform has reported.
type Registry struct {
	config    *Config
	evacuated map[string]bool
	upstreams map[string]*Upstream
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{evacuated: map[string]bool{}, upstreams: map[string]*Upstream{}}
}

// SetConfig takes over a newer version and reports whether it did. A version
// that was read late never replaces a newer one.
func (r *Registry) SetConfig(c *Config) bool {
	if r.config != nil && c.Version <= r.config.Version {
		return false
	}
	r.config = c
	return true
}

// SetEvacuated records that a data centre is taken out or back in service.
func (r *Registry) SetEvacuated(dataCentre string, evacuated bool) {
	if evacuated {
		r.evacuated[dataCentre] = true
	} else {
		delete(r.evacuated, dataCentre)
	}
}

// SetUpstream takes over an entry and reports whether it did. An entry of an
// earlier run under the same ID is late and ignored.
func (r *Registry) SetUpstream(u *Upstream) bool {
	if old := r.upstreams[u.ID]; old != nil && u.Started < old.Started {
		return false
	}
	r.upstreams[u.ID] = u
	return true
}

// RemoveUpstream drops the entry of an upstream that is gone.
func (r *Registry) RemoveUpstream(id string) { delete(r.upstreams, id) }

// Upstream returns the entry of an upstream, nil without one.
func (r *Registry) Upstream(id string) *Upstream { return r.upstreams[id] }

// View returns the present state.
func (r *Registry) View() *View {
	v := &View{
		Config: r.config, Evacuated: maps.Clone(r.evacuated),
		ByService: map[string][]*Upstream{}, ByID: maps.Clone(r.upstreams),
	}
	for _, u := range r.upstreams {
		v.ByService[u.Service] = append(v.ByService[u.Service], u)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}
