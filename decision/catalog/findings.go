package catalog

import (
	"fmt"
	"net/url"
	"path"
	"strings"
	"time"
)

// Class is the class of a finding.
type Class string

// Classes of findings.
const (
	// Invalid is a violated validation rule: the tables would be refused.
	Invalid Class = "error"
	// Unreachable is an entry that no request can use.
	Unreachable Class = "unreachable"
	// Contradiction is a limit that another value makes impossible to meet.
	Contradiction Class = "contradiction"
)

// Finding is a probable mistake in the tables with the path of its field.
type Finding struct {
	Class   Class
	Path    string
	Message string
}

// Findings returns the probable mistakes in the tables, whose defaults must have
// been applied. Invalid tables give the violated validation rules only, because
// the entries that an invalid one refers to would be reported as unreachable.
// drain is the drain timeout of the instances, 0 if it is not known.
func (c *Catalog) Findings(drain time.Duration) []Finding {
	f := &finder{drain: drain}
	if err := c.Validate(); err != nil {
		list, _ := AsErrors(err)
		for _, e := range list {
			f.add(Invalid, e.Path, "%s", e.Message)
		}
		return f.findings
	}
	f.index = NewIndex(c, "")
	for i := range c.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		f.checkPrefix(at, &c.Routes[i])
		f.checkCallers(at, &c.Routes[i])
		f.checkTimeout(at, &c.Routes[i])
	}
	used := map[string]bool{}
	for _, r := range c.Routes {
		used[r.Pool] = true
	}
	addresses := map[string]string{}
	for i := range c.Pools {
		at, p := fmt.Sprintf("pools[%d]", i), &c.Pools[i]
		f.checkAddresses(at, p, addresses)
		f.checkDataCentres(at, p)
		if !used[p.Name] {
			f.add(Unreachable, at, "no route uses pool %q", p.Name)
			continue
		}
		if !takesWork(p) {
			f.add(Unreachable, at+".upstreams", "every request to pool %q is refused: it has no upstream that is neither leaving nor in a disabled data centre", p.Name)
		}
		f.checkModels(at, p)
	}
	return f.findings
}

type finder struct {
	index    *Index
	drain    time.Duration
	findings []Finding
}

func (f *finder) add(class Class, at, format string, args ...any) {
	f.findings = append(f.findings, Finding{Class: class, Path: at, Message: fmt.Sprintf(format, args...)})
}

// checkPrefix reports prefixes that the path of a request has only if it was
// escaped on purpose: the listener redirects callers to the cleaned path, and
// prefixes are compared with the unescaped path without its query.
func (f *finder) checkPrefix(at string, r *Route) {
	if r.Prefix == "" {
		return
	}
	at += ".prefix"
	if clean := path.Clean(r.Prefix) + "/"; clean != r.Prefix {
		f.add(Unreachable, at, "callers are redirected to %q, which the prefix %q does not match", clean, r.Prefix)
	}
	if plain, err := url.PathUnescape(r.Prefix); err == nil && plain != r.Prefix {
		f.add(Unreachable, at, "prefixes are compared with the unescaped path: write %q", plain)
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		f.add(Unreachable, at, "prefixes are compared with the path, which has neither query nor fragment")
	}
}

// emptyKeys holds the hashes of an empty key and of an empty line. Both come from
// hashing an unset variable, and a request can't have such a key.
var emptyKeys = []string{HashKey(""), HashKey("\n")}

func (f *finder) checkCallers(at string, r *Route) {
	if len(r.Workspaces) == 0 {
		f.add(Unreachable, at, "no caller may use route %q: it has no workspaces", r.Name)
	}
	for i, w := range r.Workspaces {
		at := fmt.Sprintf("%s.workspaces[%d]", at, i)
		if len(w.Keys) == 0 && w.Name != r.OpenWorkspace {
			f.add(Unreachable, at, "no caller uses workspace %q in route %q: it has no keys and is not the open workspace", w.Name, r.Name)
		}
		seen := map[string]bool{}
		for k, hash := range w.Keys {
			at := fmt.Sprintf("%s.keys[%d]", at, k)
			if seen[hash] {
				f.add(Unreachable, at, "the key is listed twice for workspace %q", w.Name)
			}
			seen[hash] = true
			for _, empty := range emptyKeys {
				if hash == empty {
					f.add(Unreachable, at, "this is the hash of an empty key, which no request can have")
				}
			}
		}
		f.checkBurst(at, r, w)
	}
}

// smallestPrompt is the lowest estimate of the tokens of a prompt.
const smallestPrompt = 1

// DefaultCost returns the lowest number of tokens that is reserved for a request
// of the route that sets no limit of its output.
func (r *Route) DefaultCost() int64 {
	if len(r.Models) > 0 {
		return smallestPrompt + r.MaxOutput
	}
	return r.RequestTokens
}

func (f *finder) checkBurst(at string, r *Route, w Workspace) {
	cost := r.DefaultCost()
	if w.Burst >= float64(cost) {
		return
	}
	if len(r.Models) == 0 {
		f.add(Contradiction, at+".burst", "every request of workspace %q to route %q is refused: it needs %d tokens (request_tokens), the burst is %g",
			w.Name, r.Name, cost, w.Burst)
		return
	}
	f.add(Contradiction, at+".burst", "every request of workspace %q to route %q without max_tokens is refused: it needs at least %d tokens (max_output and the prompt), the burst is %g",
		w.Name, r.Name, cost, w.Burst)
}

// checkTimeout reports timeouts in which a model can't be loaded, and those that a
// stopping instance does not wait for.
func (f *finder) checkTimeout(at string, r *Route) {
	if timeout := r.Timeout.Std(); f.drain > 0 && timeout > f.drain {
		f.add(Contradiction, at+".timeout", "a stopping instance ends requests of route %q after %s (drain_timeout), before their timeout of %s",
			r.Name, f.drain, timeout)
	}
	pool := f.index.Pool(r.Pool)
	for _, name := range r.Models {
		m := pool.Model(name)
		load := m.LoadTime.Std()
		if m.Base != "" {
			load += pool.Model(m.Base).LoadTime.Std() // an adapter is loaded after its base.
		}
		if timeout := r.Timeout.Std(); timeout <= load {
			f.add(Contradiction, at+".timeout", "no request can wait until model %q is loaded: load_time is %s in total, the timeout %s",
				name, load.Round(time.Millisecond), timeout)
		}
	}
}

// checkAddresses reports engines that are listed twice, whose memory would be
// planned twice, and services that are listed twice in one pool, which would get
// twice their concurrency. One service may belong to several pools.
func (f *finder) checkAddresses(at string, p *Pool, engines map[string]string) {
	seen := map[string]string{}
	if p.Kind == Engine {
		seen = engines
	}
	for i, u := range p.Upstreams {
		if other, taken := seen[u.Address]; taken {
			f.add(Contradiction, fmt.Sprintf("%s.upstreams[%d].address", at, i), "%s is also the address of %s: the limits of both count in full", u.Address, other)
			continue
		}
		seen[u.Address] = fmt.Sprintf("upstream %q of pool %q", u.Name, p.Name)
	}
}

func (f *finder) checkDataCentres(at string, p *Pool) {
	for i, name := range p.DisabledDataCentres {
		known := false
		for _, u := range p.Upstreams {
			known = known || u.DataCentre == name
		}
		if !known {
			f.add(Unreachable, fmt.Sprintf("%s.disabled_data_centres[%d]", at, i), "pool %q has no upstream in data centre %q", p.Name, name)
		}
	}
}

// takesWork reports whether an upstream of the pool may get new work.
func takesWork(p *Pool) bool {
	for _, u := range p.Upstreams {
		if !u.Leaving && !p.Disabled(u.DataCentre) {
			return true
		}
	}
	return false
}

// checkModels reports models that no request names and models that fit on no
// engine. A base is in use if one of its adapters is.
func (f *finder) checkModels(at string, p *Pool) {
	inUse := map[string]bool{}
	for _, m := range p.Models {
		if r := f.index.ModelRoute(m.Name); r != nil && r.Pool == p.Name {
			inUse[m.Name], inUse[m.Base] = true, true
		}
	}
	largest := int64(0)
	for _, u := range p.Upstreams {
		largest = max(largest, u.MemoryMB)
	}
	for i, m := range p.Models {
		at := fmt.Sprintf("%s.models[%d]", at, i)
		if !inUse[m.Name] {
			f.add(Unreachable, at, "no route serves model %q from pool %q", m.Name, p.Name)
		}
		needed := m.MemoryMB + m.CacheMB
		if m.Base != "" {
			base := p.Model(m.Base)
			needed += base.MemoryMB + base.CacheMB // an adapter shares the engine of its base.
		}
		if largest > 0 && needed > largest {
			f.add(Contradiction, at+".memory_mb", "model %q fits on no engine: it needs %d MiB with its cache and base, the largest engine of pool %q has %d",
				m.Name, needed, p.Name, largest)
		}
	}
}
