package catalog

import (
	"slices"
	"strings"
)

// Model returns the pool's model or adapter of that name, or nil.
func (p *Pool) Model(name string) *Model {
	for i := range p.Models {
		if p.Models[i].Name == name {
			return &p.Models[i]
		}
	}
	return nil
}

// Upstream returns the pool's upstream of that name, or nil.
func (p *Pool) Upstream(name string) *Upstream {
	for i := range p.Upstreams {
		if p.Upstreams[i].Name == name {
			return &p.Upstreams[i]
		}
	}
	return nil
}

// Disabled reports whether the data centre is disabled in the pool.
func (p *Pool) Disabled(dataCentre string) bool {
	return slices.Contains(p.DisabledDataCentres, dataCentre)
}

// Workspace returns the route's entry of that name, or nil.
func (r *Route) Workspace(name string) *Workspace {
	for i := range r.Workspaces {
		if r.Workspaces[i].Name == name {
			return &r.Workspaces[i]
		}
	}
	return nil
}

// Index answers the lookups of the request path for one catalogue. It is
// immutable and safe for concurrent use.
type Index struct {
	Catalog    *Catalog
	Digest     string
	pools      map[string]*Pool
	models     map[string]*Route
	services   []*Route // longest prefix first
	workspaces map[string]Workspace
	keys       map[string]string // key hash to workspace
	members    map[string]map[string]bool
	keyRoutes  map[string]map[string]bool
}

// NewIndex builds the index of a validated catalogue.
func NewIndex(c *Catalog, digest string) *Index {
	x := &Index{
		Catalog: c, Digest: digest,
		pools: map[string]*Pool{}, models: map[string]*Route{},
		workspaces: map[string]Workspace{}, keys: map[string]string{},
		members: map[string]map[string]bool{}, keyRoutes: map[string]map[string]bool{},
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Routes {
		x.addRoute(&c.Routes[i])
	}
	slices.SortStableFunc(x.services, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	return x
}

// WithLeaving returns an index in which the upstreams at the given addresses
// are marked as leaving. The receiver is not changed.
func (x *Index) WithLeaving(addresses map[string]bool) *Index {
	if len(addresses) == 0 {
		return x
	}
	marked := &Catalog{Version: x.Catalog.Version, Routes: x.Catalog.Routes, Pools: slices.Clone(x.Catalog.Pools)}
	for p := range marked.Pools {
		pool := &marked.Pools[p]
		pool.Upstreams = slices.Clone(pool.Upstreams)
		for u := range pool.Upstreams {
			pool.Upstreams[u].Leaving = pool.Upstreams[u].Leaving || addresses[pool.Upstreams[u].Address]
		}
	}
	return NewIndex(marked, x.Digest)
}

func (x *Index) addRoute(r *Route) {
	for _, model := range r.Models {
		x.models[model] = r
	}
	if r.Prefix != "" {
		x.services = append(x.services, r)
	}
	x.members[r.Name] = map[string]bool{}
	x.keyRoutes[r.Name] = map[string]bool{}
	for _, w := range r.Workspaces {
		x.workspaces[w.Name] = w
		x.members[r.Name][w.Name] = true
		for _, hash := range w.Keys {
			x.keys[hash] = w.Name
			x.keyRoutes[r.Name][hash] = true
		}
	}
}

// Version returns the catalogue's version, 0 for a nil index.
func (x *Index) Version() uint64 {
	if x == nil {
		return 0
	}
	return x.Catalog.Version
}

// ModelRoute returns the route that serves a model or adapter, or nil.
func (x *Index) ModelRoute(model string) *Route { return x.models[model] }

// ServiceRoute returns the service route with the longest prefix of path, or nil.
func (x *Index) ServiceRoute(path string) *Route {
	for _, r := range x.services {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool of that name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Workspaces returns the limits of every workspace by name. The map must not
// be changed.
func (x *Index) Workspaces() map[string]Workspace { return x.workspaces }

// KeyOwner returns the workspace whose entry lists the key hash in any route.
func (x *Index) KeyOwner(hash string) (string, bool) {
	name, ok := x.keys[hash]
	return name, ok
}

// Allows reports whether the key hash gives access to the route with the name of
// r, which may come from another catalogue version. A key gives access to the
// routes in which its workspace's entry lists it.
func (x *Index) Allows(r *Route, hash string) bool { return x.keyRoutes[r.Name][hash] }

// ModelsFor returns the sorted names of the models that a key hash gives access
// to, including those of open routes.
func (x *Index) ModelsFor(hash string) []string {
	var names []string
	for model, r := range x.models {
		if r.Open || x.Allows(r, hash) {
			names = append(names, model)
		}
	}
	slices.Sort(names)
	return names
}

// MaxChatBody returns the largest body limit in bytes among the model routes that
// the key hash gives access to, 0 if there is none.
func (x *Index) MaxChatBody(hash string) int64 {
	limit := int64(0)
	for i := range x.Catalog.Routes {
		if r := &x.Catalog.Routes[i]; len(r.Models) > 0 && (r.Open || x.Allows(r, hash)) {
			limit = max(limit, r.MaxBody)
		}
	}
	return limit
}
