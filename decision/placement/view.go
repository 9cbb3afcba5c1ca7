package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// grantLifetime is how long an instance may still use an allotment that a newer
// view has lowered: views arrive within milliseconds, and a lost one is followed
// by a heartbeat.
const grantLifetime = 2 * time.Second

// retryAfterMargin is added to the retry time: load estimates do not include row
// writes and messages.
const retryAfterMargin = 250 * time.Millisecond

// minRampStep is the minimum time between two views that only raise a ramp limit.
const minRampStep = 200 * time.Millisecond

// publish emits a view if it has changed or a heartbeat is due.
func (p *Planner) publish() {
	age := p.now.Sub(p.lastPublish)
	rampDue := !p.nextRampStep.IsZero() && !p.now.Before(p.nextRampStep)
	if !p.viewDirty && !rampDue && age < p.cfg.HeartbeatEvery || p.now.Sub(p.lastViewBuilt) < p.cfg.PublishEvery {
		return
	}
	p.viewDirty, p.nextRampStep = false, time.Time{}
	p.lastViewBuilt = p.now
	v := p.buildView()
	if age < p.cfg.HeartbeatEvery && v.Same(p.publishedView) {
		return
	}
	p.lastPublish = p.now
	p.viewSeq++
	v.Seq = p.viewSeq
	p.publishedView = v
	p.emit(Publish{View: v})
}

func (p *Planner) buildView() View {
	v := View{Token: p.token}
	for _, pl := range p.sortedPools {
		for _, m := range pl.modelList {
			if mv, ok := p.modelView(m); ok {
				v.Models = append(v.Models, mv)
			}
		}
		for _, u := range pl.members {
			if u.usable() && u.reachable() {
				v.Upstreams = append(v.Upstreams, p.upstreamView(u))
			}
		}
	}
	return v
}

func (p *Planner) modelView(m *model) (ModelView, bool) {
	mv := ModelView{Pool: m.pool.name, Model: m.cfg.Name}
	if m.removed || m.service || len(m.replicas) == 0 && !m.demanded {
		return mv, false
	}
	for _, r := range m.replicas {
		u := r.upstream
		if !u.usable() || !u.reachable() {
			continue
		}
		if r.state == ready && r.row.Incarnation == u.incarnation {
			mv.Ready = append(mv.Ready, ReadyReplica{Upstream: r.row.Upstream, Incarnation: r.row.Incarnation})
		} else if r.state < ready {
			mv.Loading = append(mv.Loading, LoadingReplica{Upstream: r.row.Upstream, Expected: later(r.expected, p.now).Sub(p.now)})
		}
	}
	if len(mv.Ready) == 0 && !m.expected.IsZero() {
		mv.Expected = max(m.expected.Sub(p.now), time.Millisecond)
		if m.infeasible {
			mv.RetryAfter = mv.Expected + retryAfterMargin
		}
	}
	return mv, len(mv.Ready)+len(mv.Loading) > 0 || m.demanded
}

// rampLimit returns the number of requests that an upstream may have in flight
// over all instances, and the time left until its ramp-up ends.
func (p *Planner) rampLimit(u *upstream) (int, time.Duration) {
	full := max(u.cfg.Concurrency, 1)
	age := p.now.Sub(u.rampStart)
	if age >= rampTime {
		return full, 0
	}
	return 1 + int(float64(full-1)*age.Seconds()/rampTime.Seconds()), rampTime - age
}

func (p *Planner) upstreamView(u *upstream) UpstreamView {
	limit, rampLeft := p.rampLimit(u)
	uv := UpstreamView{Pool: u.pool.name, Upstream: u.cfg.Name, Incarnation: u.incarnation, Limit: limit, RampLeft: rampLeft}
	claims := p.claims(u)
	total := 0
	for _, c := range claims {
		total += c.need
	}
	if rampLeft == 0 && total <= limit {
		u.grants = nil
		return uv
	}
	uv.Limited = true
	if rampLeft > 0 {
		step := max(rampTime/time.Duration(max(u.cfg.Concurrency, 1)), minRampStep)
		if next := p.now.Add(step); p.nextRampStep.IsZero() || next.Before(p.nextRampStep) {
			p.nextRampStep = next
		}
	}
	uv.Allotments = p.allot(u, limit, claims)
	return uv
}

// claim is the number of requests that one instance and workspace could send to
// one upstream.
type claim struct {
	instance, workspace string
	need, got           int
	running             int
}

// claims collects the backlog that could go to an upstream, sorted by workspace
// and instance. Requests that wait for a model with several replicas are divided
// equally among them.
func (p *Planner) claims(u *upstream) []claim {
	var list []claim
	add := func(m *model, parts int) {
		for _, e := range m.entries {
			c := claim{instance: e.instance, workspace: e.workspace, need: (e.waiting + parts - 1) / parts}
			for _, use := range e.running {
				if use.Upstream == u.cfg.Name {
					c.running += use.Count
				}
			}
			c.need += c.running
			if c.need > 0 {
				list = append(list, c)
			}
		}
	}
	if m := u.pool.models[""]; m != nil && m.service {
		add(m, len(u.pool.members))
	}
	for _, r := range u.replicas {
		if r.state == ready || r.state == draining {
			serving, _ := p.supply(r.model)
			add(r.model, max(serving, 1))
		}
	}
	slices.SortFunc(list, func(a, b claim) int {
		if c := cmpString(a.workspace, b.workspace); c != 0 {
			return c
		}
		return cmpString(a.instance, b.instance)
	})
	return list
}

// allot divides a limit by weighted max-min fairness over workspaces and evenly
// over the instances of each. Allotments that instances may still use, and
// running requests, are not granted a second time.
func (p *Planner) allot(u *upstream, limit int, claims []claim) map[string]int {
	want := p.fairShares(u, limit, claims)
	held := map[string]int{}
	for instance, list := range u.grants {
		held[instance] = maxGranted(list, p.now)
	}
	for _, c := range claims {
		held[c.instance] = max(held[c.instance], c.running)
	}
	remaining := limit
	for _, n := range held {
		remaining -= n
	}
	names := make([]string, 0, len(want))
	for instance := range want {
		names = append(names, instance)
	}
	slices.Sort(names)
	out := map[string]int{}
	for _, instance := range names {
		n := min(want[instance], held[instance])
		if grow := min(want[instance]-held[instance], remaining); grow > 0 {
			n += grow
			remaining -= grow
		}
		if n > 0 {
			out[instance] = n
		}
	}
	p.recordGrants(u, out)
	return out
}

// recordGrants records the allotments that instances may use after this view.
func (p *Planner) recordGrants(u *upstream, out map[string]int) {
	granted := map[string][]grant{}
	for instance, list := range u.grants {
		list = slices.DeleteFunc(list, func(g grant) bool { return !g.until.IsZero() && !p.now.Before(g.until) })
		if last := len(list) - 1; list[last].count != out[instance] {
			list[last].until = p.now.Add(grantLifetime)
		} else {
			list = list[:last]
		}
		if len(list) > 0 || out[instance] > 0 {
			granted[instance] = list
		}
	}
	for instance, n := range out {
		granted[instance] = append(granted[instance], grant{count: n})
	}
	for instance, list := range granted {
		if out[instance] == 0 {
			granted[instance] = append(list, grant{})
		}
	}
	u.grants = granted
}

// maxGranted is the largest allotment that an instance may use now.
func maxGranted(list []grant, now time.Time) int {
	most := 0
	for _, g := range list {
		if g.until.IsZero() || now.Before(g.until) {
			most = max(most, g.count)
		}
	}
	return most
}

// fairShares assigns the limit one unit at a time: to the workspace with the least
// by weight, within it to the instance with the least. Units that no claim needs
// go to all known instances in turn, so that a first request has an allotment.
func (p *Planner) fairShares(u *upstream, limit int, claims []claim) map[string]int {
	want := map[string]int{}
	got := map[string]int{}
	for ; limit > 0; limit-- {
		best := -1
		for i := range claims {
			c := &claims[i]
			if c.got >= c.need {
				continue
			}
			if best < 0 {
				best = i
				continue
			}
			b := &claims[best]
			cw := float64(got[c.workspace]) / p.weight(c.workspace)
			bw := float64(got[b.workspace]) / p.weight(b.workspace)
			if cw < bw || c.workspace == b.workspace && c.got < b.got {
				best = i
			}
		}
		if best < 0 {
			break
		}
		claims[best].got++
		got[claims[best].workspace]++
		want[claims[best].instance]++
	}
	if limit > 0 && len(p.reports) > 0 {
		names := make([]string, 0, len(p.reports))
		for instance := range p.reports {
			names = append(names, instance)
		}
		slices.SortFunc(names, func(a, b string) int {
			ha, hb := rank(a, u.incarnation), rank(b, u.incarnation)
			switch {
			case ha < hb:
				return -1
			case ha > hb:
				return 1
			}
			return cmpString(a, b)
		})
		for i := 0; limit > 0; i, limit = i+1, limit-1 {
			want[names[i%len(names)]]++
		}
	}
	return want
}

func rank(instance, incarnation string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + incarnation)
}
