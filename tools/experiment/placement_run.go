package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/placement/placementtest"
)

// Shape of the simulated instances and engines.
const (
	reportDelay  = 5 * time.Millisecond // changes are gathered before a report
	endDelay     = 100 * time.Millisecond
	reportEvery  = 3 * time.Second
	memoryCached = 2 // checkpoints that a worker keeps in memory
	diskCached   = 8 // and on disk
	outage       = 30 * time.Minute
	longestWait  = 5 * time.Minute // upper end of the histograms
)

// outcome counts what became of requests.
type outcome struct {
	requests, served, refused, missed int
	cold                              *hdrhistogram.Histogram // microseconds that served requests waited, if at all
}

func newOutcome() *outcome {
	return &outcome{cold: hdrhistogram.New(1, longestWait.Microseconds(), 3)}
}

// ServedFirst is the share of requests that were served at their first try.
func (o *outcome) servedFirst() float64 {
	if o.requests == 0 {
		return 1
	}
	return float64(o.served) / float64(o.requests)
}

// run is one trace under one policy.
type run struct {
	w         *placementtest.World
	trace     *trace
	days      int
	all       *outcome
	byName    map[string]*outcome // by workspace
	away      *outcome            // while a data centre is out and until as long after
	awayFrom  time.Duration
	instances []*instance
	view      map[string]placement.ModelView
	copies    map[string]*copyUse // by engine and model
	retries   int
	idle      time.Duration // accelerator time
	held      time.Duration
	broken    []string
}

// instance is one entry instance with the requests that wait and run on it.
type instance struct {
	name    string
	waiting []*request
	running map[[3]string]int // model, workspace, upstream
	arrived map[[2]string]int // model, workspace
	due     time.Time         // of the next report
}

// copyUse follows one loaded copy.
type copyUse struct {
	since   time.Time // of the last change between idle and busy
	running int
	share   float64 // accelerators
}

// simulate plays a trace under a policy.
func simulate(t *trace, d Deployment, cfg placement.Config, days int, seed uint64) *run {
	c := *t.catalog
	c.Pools = slices.Clone(t.catalog.Pools)
	x := &run{trace: t, days: days, all: newOutcome(), away: newOutcome(), byName: map[string]*outcome{},
		view: map[string]placement.ModelView{}, copies: map[string]*copyUse{}, awayFrom: time.Hour}
	x.w = placementtest.New(catalog.NewIndex(&c, ""), seed)
	for _, w := range workspaces {
		x.byName[w.name] = newOutcome()
	}
	for i := range d.Instances {
		x.instances = append(x.instances, &instance{name: fmt.Sprintf("i%d", i), running: map[[3]string]int{}, arrived: map[[2]string]int{}})
	}
	x.engines(seed)
	x.w.Published = x.published
	cfg.TickEvery, cfg.HeartbeatEvery = time.Second, 10*time.Second // fewer events; decisions follow reports, not ticks
	x.w.PollEvery = 5 * time.Second
	x.w.Start(cfg)
	x.dataCentreLeaves()
	x.feed(0)
	x.w.Run(time.Duration(days)*24*time.Hour + 10*time.Minute)
	for key := range x.copies {
		x.drop(key)
	}
	return x
}

// engines gives loads their times and bounds the checkpoint caches.
func (x *run) engines(seed uint64) {
	initialTiers(x.trace.catalog, seed, func(worker int, model string, tier placement.Tier) {
		x.w.Engines[worker].Cached[model] = tier
	})
	r := rand.New(rand.NewPCG(seed, 9))
	nominal := x.w.LoadTime
	x.w.LoadTime = func(e *placementtest.Engine, model string, tier placement.Tier) time.Duration {
		return time.Duration(float64(nominal(e, model, tier)) * math.Exp(0.2*r.NormFloat64()))
	}
	recent := map[string][]string{}
	x.w.Loaded = func(e *placementtest.Engine, c *placementtest.Copy) {
		list := slices.DeleteFunc(recent[e.Name], func(m string) bool { return m == c.Model })
		list = append(list, c.Model)
		if n := len(list) - memoryCached; n > 0 {
			e.Cached[list[n-1]] = placement.Disk
		}
		if n := len(list) - memoryCached - diskCached; n > 0 {
			delete(e.Cached, list[n-1])
			list = slices.Delete(list, 0, n)
		}
		recent[e.Name] = list
		x.copies[e.Name+"/"+c.Model] = &copyUse{since: x.w.Now, share: float64(c.MemoryMB) / workerMemory}
	}
	x.w.Unloaded = func(e *placementtest.Engine, c *placementtest.Copy) { x.drop(e.Name + "/" + c.Model) }
	x.w.Check = func() {
		if len(x.broken) == 0 {
			x.broken = x.w.Verify()
		}
	}
}

// account books the time since the last change of a copy.
func (x *run) account(u *copyUse) {
	took := time.Duration(u.share * float64(x.w.Now.Sub(u.since)))
	x.held += took
	if u.running == 0 {
		x.idle += took
	}
	u.since = x.w.Now
}

func (x *run) drop(key string) {
	if u := x.copies[key]; u != nil {
		x.account(u)
		delete(x.copies, key)
	}
}

// dataCentreLeaves takes one data centre out during the last night and
// brings it back.
func (x *run) dataCentreLeaves() {
	pool := &x.w.Index.Catalog.Pools[0]
	x.awayFrom += time.Duration(x.days-1) * 24 * time.Hour
	x.w.After(x.awayFrom, func() { pool.DisabledDataCentres = []string{"dc1"}; x.w.SetCatalog() })
	x.w.After(x.awayFrom+outage, func() { pool.DisabledDataCentres = nil; x.w.SetCatalog() })
}

// feed lets the trace's requests arrive one after the other.
func (x *run) feed(i int) {
	if i == len(x.trace.requests) {
		return
	}
	req := x.trace.requests[i]
	x.w.At(time.Unix(0, 0).Add(req.at), func() {
		x.arrive(&req)
		x.feed(i + 1)
	})
}

// outcomes are the counters that a request belongs to.
func (x *run) outcomes(req *request) []*outcome {
	list := []*outcome{x.all, x.byName[req.workspace]}
	if req.at >= x.awayFrom && req.at < x.awayFrom+2*outage {
		list = append(list, x.away)
	}
	return list
}

func (x *run) arrive(req *request) {
	in := x.instances[req.instance]
	in.arrived[[2]string{req.model, req.workspace}]++
	if !req.returned {
		for _, o := range x.outcomes(req) {
			o.requests++
		}
	}
	req.at = x.w.Now.Sub(time.Unix(0, 0))
	if !x.serve(in, req) && !x.refuse(in, req) {
		in.waiting = append(in.waiting, req)
		x.w.After(req.timeout, func() { x.expire(in, req) })
	}
	x.report(in, reportDelay)
}

// serve starts a request at the ready replica with the fewest requests.
func (x *run) serve(in *instance, req *request) bool {
	best, least := "", math.MaxInt
	for _, r := range x.view[req.model].Ready {
		if u := x.copies[r.Upstream+"/"+req.model]; u != nil && u.running < least {
			best, least = r.Upstream, u.running
		}
	}
	if best == "" {
		if len(x.view[req.model].Ready) > 0 {
			x.retries++ // the engine has dropped the copy, the view is behind
		}
		return false
	}
	use := x.copies[best+"/"+req.model]
	x.account(use)
	use.running++
	in.running[[3]string{req.model, req.workspace, best}]++
	wait := x.w.Now.Sub(time.Unix(0, 0)) - req.at
	for _, o := range x.outcomes(req) {
		if !req.returned {
			o.served++
		}
		if wait > 0 {
			_ = o.cold.RecordValue(min(max(wait, time.Microsecond), longestWait).Microseconds())
		}
	}
	x.w.After(req.service, func() {
		x.account(use)
		use.running--
		key := [3]string{req.model, req.workspace, best}
		if in.running[key]--; in.running[key] == 0 {
			delete(in.running, key)
		}
		x.report(in, endDelay)
	})
	return true
}

// refuse refuses a request that no load can serve in time; the caller comes
// back once, when it was told to.
func (x *run) refuse(in *instance, req *request) bool {
	mv := x.view[req.model]
	left := req.at + req.timeout - x.w.Now.Sub(time.Unix(0, 0))
	if mv.RetryAfter == 0 || left >= mv.Expected {
		return false
	}
	if req.returned {
		return true
	}
	for _, o := range x.outcomes(req) {
		o.refused++
	}
	again := *req
	again.returned = true
	x.w.After(mv.RetryAfter, func() { x.arrive(&again) })
	return true
}

func (x *run) expire(in *instance, req *request) {
	if i := slices.Index(in.waiting, req); i >= 0 {
		in.waiting = slices.Delete(in.waiting, i, i+1)
		if !req.returned {
			for _, o := range x.outcomes(req) {
				o.missed++
			}
		}
		x.report(in, reportDelay)
	}
}

// published hands a view to all instances: waiting requests are served or
// refused.
func (x *run) published(v placement.View) {
	x.view = map[string]placement.ModelView{}
	for _, m := range v.Models {
		x.view[m.Model] = m
	}
	for _, in := range x.instances {
		before := len(in.waiting)
		in.waiting = slices.DeleteFunc(in.waiting, func(req *request) bool { return x.serve(in, req) || x.refuse(in, req) })
		if len(in.waiting) != before {
			x.report(in, reportDelay)
		}
	}
}

// report sends an instance's demand soon, and again while it has any.
func (x *run) report(in *instance, within time.Duration) {
	due := x.w.Now.Add(within)
	if in.due.After(x.w.Now) && !due.Before(in.due) {
		return
	}
	in.due = due
	x.w.At(due, func() {
		if !in.due.Equal(due) {
			return
		}
		x.w.Report(in.name, in.demands(x.w.Now))
		if len(in.waiting)+len(in.running) > 0 {
			x.report(in, reportEvery)
		}
	})
}

// demands builds the report; the order is fixed so that runs repeat exactly.
func (in *instance) demands(now time.Time) []placement.Demand {
	byKey := map[[2]string]*placement.Demand{}
	get := func(model, workspace string) *placement.Demand {
		key := [2]string{model, workspace}
		if byKey[key] == nil {
			byKey[key] = &placement.Demand{Pool: "drafting", Model: model, Workspace: workspace}
		}
		return byKey[key]
	}
	for _, req := range in.waiting {
		d := get(req.model, req.workspace)
		left := req.at + req.timeout - now.Sub(time.Unix(0, 0))
		if d.Waiting == 0 || left < d.Deadline {
			d.Deadline = left
		}
		d.Latest = max(d.Latest, left)
		d.Waiting++
	}
	for key, n := range in.running {
		d := get(key[0], key[1])
		d.Running = append(d.Running, placement.Use{Upstream: key[2], Count: n})
	}
	for key, n := range in.arrived {
		get(key[0], key[1]).Arrivals = n
	}
	clear(in.arrived)
	list := make([]placement.Demand, 0, len(byKey))
	for _, d := range byKey {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b placement.Demand) int {
		if a.Model != b.Model {
			if a.Model < b.Model {
				return -1
			}
			return 1
		}
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	return list
}
