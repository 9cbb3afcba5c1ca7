package catalog

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Limits of values that operators set.
const (
	minTimeout    = 100 * time.Millisecond
	maxTimeout    = time.Hour
	maxBody       = 64 << 20
	keyHashLength = 64
)

// FieldError is a violated validation rule with the path of its field.
type FieldError struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// Errors lists all violated validation rules of a document.
type Errors []FieldError

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fe := range e {
		lines[i] = fe.Error()
	}
	return strings.Join(lines, "\n")
}

// AsErrors returns the field errors in err's chain, if any.
func AsErrors(err error) (Errors, bool) {
	var list Errors
	ok := errors.As(err, &list)
	return list, ok
}

type validator struct {
	errs  Errors
	pools map[string]*Pool
}

func (v *validator) fail(path, format string, args ...any) {
	v.errs = append(v.errs, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Validate returns all violated validation rules as Errors, or nil.
func (c *Catalog) Validate() error {
	v := &validator{pools: map[string]*Pool{}}
	v.checkPools(c.Pools)
	v.checkRoutes(c.Routes)
	v.checkWorkspaces(c.Routes)
	if len(v.errs) > 0 {
		return v.errs
	}
	return nil
}

func (v *validator) checkPools(pools []Pool) {
	for i := range pools {
		p := &pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			v.fail(path+".name", "must not be empty")
		} else if v.pools[p.Name] != nil {
			v.fail(path+".name", "duplicate pool name %q", p.Name)
		}
		v.pools[p.Name] = p
		if p.Kind != Engine && p.Kind != Service {
			v.fail(path+".kind", "must be %q or %q", Engine, Service)
		}
		if p.IdleCost < 0 {
			v.fail(path+".idle_cost", "must not be negative")
		}
		if p.WaitCost < 0 {
			v.fail(path+".wait_cost", "must not be negative")
		}
		v.checkUpstreams(path, p)
		v.checkModels(path, p)
	}
}

func (v *validator) checkUpstreams(poolPath string, p *Pool) {
	names := map[string]bool{}
	for i, u := range p.Upstreams {
		path := fmt.Sprintf("%s.upstreams[%d]", poolPath, i)
		if u.Name == "" || names[u.Name] {
			v.fail(path+".name", "must be set and unique in the pool")
		}
		names[u.Name] = true
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			v.fail(path+".address", "must be an IP address and port, not %q", u.Address)
		}
		if u.DataCentre == "" {
			v.fail(path+".data_centre", "must not be empty")
		}
		if p.Kind == Engine && u.MemoryMB <= 0 {
			v.fail(path+".memory_mb", "must be positive for an engine")
		}
		if u.Concurrency < 1 {
			v.fail(path+".concurrency", "must be at least 1")
		}
		if u.Accelerators < 1 {
			v.fail(path+".accelerators", "must be at least 1")
		}
	}
}

func (v *validator) checkModels(poolPath string, p *Pool) {
	if p.Kind == Service && len(p.Models) > 0 {
		v.fail(poolPath+".models", "must be empty for a service pool")
	}
	bases := map[string]bool{}
	for _, m := range p.Models {
		if m.Base == "" {
			bases[m.Name] = true
		}
	}
	names := map[string]bool{}
	for i, m := range p.Models {
		path := fmt.Sprintf("%s.models[%d]", poolPath, i)
		if m.Name == "" || names[m.Name] {
			v.fail(path+".name", "must be set and unique in the pool")
		}
		names[m.Name] = true
		if m.Base != "" && !bases[m.Base] {
			v.fail(path+".base", "%q is not a model of the pool", m.Base)
		}
		if m.MemoryMB <= 0 {
			v.fail(path+".memory_mb", "must be positive")
		}
		if m.CacheMB < 0 {
			v.fail(path+".cache_mb", "must not be negative")
		}
		if m.LoadTime <= 0 {
			v.fail(path+".load_time", "must be positive")
		}
		if m.MaxReplicas < 1 {
			v.fail(path+".max_replicas", "must be at least 1")
		}
	}
}

func (v *validator) checkRoutes(routes []Route) {
	names, prefixes, models := map[string]bool{}, map[string]string{}, map[string]string{}
	for i := range routes {
		r := &routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if r.Name == "" || names[r.Name] {
			v.fail(path+".name", "must be set and unique")
		}
		names[r.Name] = true
		v.checkTarget(path, r, prefixes, models)
		v.checkLimits(path, r)
		if r.Open != (r.OpenWorkspace != "") {
			v.fail(path+".open_workspace", "must be set if and only if the route is open")
		}
		if r.Open && !hasWorkspace(r, r.OpenWorkspace) {
			v.fail(path+".open_workspace", "%q is not a workspace of the route", r.OpenWorkspace)
		}
	}
}

func (v *validator) checkTarget(path string, r *Route, prefixes, models map[string]string) {
	pool, ok := v.pools[r.Pool]
	if !ok {
		v.fail(path+".pool", "%q is not a pool", r.Pool)
		return
	}
	if pool.Kind == Service {
		v.checkPrefix(path, r, prefixes)
		return
	}
	if r.Prefix != "" {
		v.fail(path+".prefix", "must be empty for an engine pool")
	}
	if len(r.Models) == 0 {
		v.fail(path+".models", "must name at least one model")
	}
	for j, name := range r.Models {
		at := fmt.Sprintf("%s.models[%d]", path, j)
		if other, taken := models[name]; taken {
			v.fail(at, "%q already belongs to route %q", name, other)
		}
		models[name] = r.Name
		if pool.Model(name) == nil {
			v.fail(at, "%q is not a model of pool %q", name, pool.Name)
		}
	}
}

func (v *validator) checkPrefix(path string, r *Route, prefixes map[string]string) {
	if len(r.Models) > 0 {
		v.fail(path+".models", "must be empty for a service pool")
	}
	reserved := strings.HasPrefix(r.Prefix, "/v1/") || strings.HasPrefix("/v1/", r.Prefix)
	if len(r.Prefix) < 3 || r.Prefix[0] != '/' || !strings.HasSuffix(r.Prefix, "/") || reserved {
		v.fail(path+".prefix", "must begin and end with \"/\" and not cover /v1/")
	}
	if other, taken := prefixes[r.Prefix]; taken {
		v.fail(path+".prefix", "already belongs to route %q", other)
	}
	prefixes[r.Prefix] = r.Name
}

func (v *validator) checkLimits(path string, r *Route) {
	if t := r.Timeout.Std(); t < minTimeout || t > maxTimeout {
		v.fail(path+".timeout", "must be between %s and %s", minTimeout, maxTimeout)
	}
	if r.MaxBody < 1 || r.MaxBody > maxBody {
		v.fail(path+".max_body", "must be between 1 and %d bytes", maxBody)
	}
	if r.MaxOutput < 1 {
		v.fail(path+".max_output", "must be at least 1")
	}
	if r.RequestTokens < 1 {
		v.fail(path+".request_tokens", "must be at least 1")
	}
}

func (v *validator) checkWorkspaces(routes []Route) {
	limits := map[string]Workspace{}
	owners := map[string]string{}
	for i, r := range routes {
		seen := map[string]bool{}
		for j, w := range r.Workspaces {
			path := fmt.Sprintf("routes[%d].workspaces[%d]", i, j)
			if w.Name == "" || seen[w.Name] {
				v.fail(path+".name", "must be set and unique in the route")
			}
			seen[w.Name] = true
			v.checkWorkspaceLimits(path, w, limits)
			v.checkKeys(path, w, owners)
		}
	}
}

func (v *validator) checkWorkspaceLimits(path string, w Workspace, limits map[string]Workspace) {
	if w.Rate <= 0 {
		v.fail(path+".rate", "must be positive")
	}
	if w.Burst < 1 {
		v.fail(path+".burst", "must be at least 1")
	}
	if w.Weight <= 0 {
		v.fail(path+".weight", "must be positive")
	}
	first, known := limits[w.Name]
	if !known {
		limits[w.Name] = w
		return
	}
	if first.Rate != w.Rate || first.Burst != w.Burst || first.Weight != w.Weight {
		v.fail(path, "rate, burst and weight of workspace %q differ from its entry in an earlier route", w.Name)
	}
}

func (v *validator) checkKeys(path string, w Workspace, owners map[string]string) {
	for k, hash := range w.Keys {
		at := fmt.Sprintf("%s.keys[%d]", path, k)
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != keyHashLength || hash != strings.ToLower(hash) {
			v.fail(at, "must be a SHA-256 in lower-case hexadecimal")
		}
		if owner, taken := owners[hash]; taken && owner != w.Name {
			v.fail(at, "already belongs to workspace %q", owner)
		}
		owners[hash] = w.Name
	}
}

func hasWorkspace(r *Route, name string) bool {
	for _, w := range r.Workspaces {
		if w.Name == name {
			return true
		}
	}
	return false
}
