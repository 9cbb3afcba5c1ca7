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
	reportDelay           = 5 * time.Millisecond // collects changes into one demand report
	completionReportDelay = 100 * time.Millisecond
	reportInterval        = 3 * time.Second
	memoryCached          = 2 // checkpoints cached in a worker's memory
	diskCached            = 8 // checkpoints cached on a worker's disk
	outageLength          = 30 * time.Minute
	longestWait           = 5 * time.Minute // upper limit of the histograms
)

// outcome counts requests by result.
type outcome struct {
	requests, served, refused, missed int
	coldWaits                         *hdrhistogram.Histogram // waiting times above 0 of served requests, in microseconds
}

func newOutcome() *outcome {
	return &outcome{coldWaits: hdrhistogram.New(1, longestWait.Microseconds(), 3)}
}

// servedFirst returns the share of requests served at the first attempt.
func (o *outcome) servedFirst() float64 {
	if o.requests == 0 {
		return 1
	}
	return float64(o.served) / float64(o.requests)
}

// run is the simulation of one trace under one policy.
type run struct {
	w            *placementtest.World
	trace        *trace
	days         int
	all          *outcome
	byWorkspace  map[string]*outcome
	duringOutage *outcome // requests that arrive during the data centre outage, or within its length afterwards
	outageStart  time.Duration
	instances    []*instance
	view         map[string]placement.ModelView
	copies       map[string]*copyUsage // by engine and model
	retries      int
	idle         time.Duration // accelerator time of loaded copies without requests
	held         time.Duration
	violations   []string
}

// instance is one entry instance with its waiting and running requests.
type instance struct {
	name      string
	waiting   []*request
	running   map[[3]string]int // model, workspace, upstream
	arrived   map[[2]string]int // model, workspace
	reportDue time.Time         // time of the next demand report
}

// copyUsage tracks the use of one loaded copy.
type copyUsage struct {
	since   time.Time // time up to which the use is recorded
	running int
	share   float64 // accelerators in use, by memory
}

// simulate runs a trace under a policy on virtual time.
func simulate(t *trace, d Deployment, cfg placement.Config, days int, seed uint64) *run {
	c := *t.catalog
	c.Pools = slices.Clone(t.catalog.Pools)
	x := &run{trace: t, days: days, all: newOutcome(), duringOutage: newOutcome(), byWorkspace: map[string]*outcome{},
		view: map[string]placement.ModelView{}, copies: map[string]*copyUsage{}, outageStart: time.Hour}
	x.w = placementtest.New(catalog.NewIndex(&c, ""), seed)
	for _, w := range workspaces {
		x.byWorkspace[w.name] = newOutcome()
	}
	for i := range d.Instances {
		x.instances = append(x.instances, &instance{name: fmt.Sprintf("i%d", i), running: map[[3]string]int{}, arrived: map[[2]string]int{}})
	}
	x.configureEngines(seed)
	x.w.OnPublish = x.applyView
	cfg.TickEvery, cfg.HeartbeatEvery = time.Second, 10*time.Second // long intervals for fewer events; reports trigger the decisions, not ticks
	x.w.PollEvery = 5 * time.Second
	x.w.Start(cfg)
	x.scheduleOutage()
	x.scheduleArrivals(0)
	x.w.Run(time.Duration(days)*24*time.Hour + 10*time.Minute)
	for key := range x.copies {
		x.removeCopy(key)
	}
	return x
}

// configureEngines sets the load times of the engines, with a log-normal
// deviation, and limits their checkpoint caches.
func (x *run) configureEngines(seed uint64) {
	initialTiers(x.trace.catalog, seed, func(worker int, model string, tier placement.Tier) {
		x.w.Engines[worker].Cached[model] = tier
	})
	r := rand.New(rand.NewPCG(seed, 9))
	nominal := x.w.LoadTime
	x.w.LoadTime = func(e *placementtest.Engine, model string, tier placement.Tier) time.Duration {
		return time.Duration(float64(nominal(e, model, tier)) * math.Exp(0.2*r.NormFloat64()))
	}
	recent := map[string][]string{}
	x.w.OnLoaded = func(e *placementtest.Engine, c *placementtest.Copy) {
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
		x.copies[e.Name+"/"+c.Model] = &copyUsage{since: x.w.Now, share: float64(c.MemoryMB) / workerMemory}
	}
	x.w.OnUnloaded = func(e *placementtest.Engine, c *placementtest.Copy) { x.removeCopy(e.Name + "/" + c.Model) }
	x.w.OnChange = func() {
		if len(x.violations) == 0 {
			x.violations = x.w.Verify()
		}
	}
}

// recordCopyTime adds the accelerator time of a copy since the last call to the
// totals.
func (x *run) recordCopyTime(u *copyUsage) {
	acceleratorTime := time.Duration(u.share * float64(x.w.Now.Sub(u.since)))
	x.held += acceleratorTime
	if u.running == 0 {
		x.idle += acceleratorTime
	}
	u.since = x.w.Now
}

func (x *run) removeCopy(key string) {
	if u := x.copies[key]; u != nil {
		x.recordCopyTime(u)
		delete(x.copies, key)
	}
}

// scheduleOutage disables one data centre in the last simulated night, for the
// length of the outage.
func (x *run) scheduleOutage() {
	pool := &x.w.Index.Catalog.Pools[0]
	x.outageStart += time.Duration(x.days-1) * 24 * time.Hour
	x.w.After(x.outageStart, func() { pool.DisabledDataCentres = []string{"dc1"}; x.w.SetCatalog() })
	x.w.After(x.outageStart+outageLength, func() { pool.DisabledDataCentres = nil; x.w.SetCatalog() })
}

// scheduleArrivals schedules the arrival of request i of the trace, which in turn
// schedules the next.
func (x *run) scheduleArrivals(i int) {
	if i == len(x.trace.requests) {
		return
	}
	req := x.trace.requests[i]
	x.w.At(time.Unix(0, 0).Add(req.at), func() {
		x.arrive(&req)
		x.scheduleArrivals(i + 1)
	})
}

// outcomesFor returns the counters that include a request.
func (x *run) outcomesFor(req *request) []*outcome {
	list := []*outcome{x.all, x.byWorkspace[req.workspace]}
	if req.at >= x.outageStart && req.at < x.outageStart+2*outageLength {
		list = append(list, x.duringOutage)
	}
	return list
}

func (x *run) arrive(req *request) {
	in := x.instances[req.instance]
	in.arrived[[2]string{req.model, req.workspace}]++
	if !req.retried {
		for _, o := range x.outcomesFor(req) {
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

// serve starts a request on the ready replica with the fewest running requests.
// It reports whether there is one.
func (x *run) serve(in *instance, req *request) bool {
	best, least := "", math.MaxInt
	for _, r := range x.view[req.model].Ready {
		if u := x.copies[r.Upstream+"/"+req.model]; u != nil && u.running < least {
			best, least = r.Upstream, u.running
		}
	}
	if best == "" {
		if len(x.view[req.model].Ready) > 0 {
			x.retries++ // the view is stale: the engine has unloaded the copy
		}
		return false
	}
	use := x.copies[best+"/"+req.model]
	x.recordCopyTime(use)
	use.running++
	in.running[[3]string{req.model, req.workspace, best}]++
	wait := x.w.Now.Sub(time.Unix(0, 0)) - req.at
	for _, o := range x.outcomesFor(req) {
		if !req.retried {
			o.served++
		}
		if wait > 0 {
			_ = o.coldWaits.RecordValue(min(max(wait, time.Microsecond), longestWait).Microseconds())
		}
	}
	x.w.After(req.service, func() {
		x.recordCopyTime(use)
		use.running--
		key := [3]string{req.model, req.workspace, best}
		if in.running[key]--; in.running[key] == 0 {
			delete(in.running, key)
		}
		x.report(in, completionReportDelay)
	})
	return true
}

// refuse refuses a request whose model cannot be loaded before the request's
// deadline. The caller retries once, after the view's RetryAfter.
func (x *run) refuse(in *instance, req *request) bool {
	mv := x.view[req.model]
	left := req.at + req.timeout - x.w.Now.Sub(time.Unix(0, 0))
	if mv.RetryAfter == 0 || left >= mv.Expected {
		return false
	}
	if req.retried {
		return true
	}
	for _, o := range x.outcomesFor(req) {
		o.refused++
	}
	retry := *req
	retry.retried = true
	x.w.After(mv.RetryAfter, func() { x.arrive(&retry) })
	return true
}

func (x *run) expire(in *instance, req *request) {
	if i := slices.Index(in.waiting, req); i >= 0 {
		in.waiting = slices.Delete(in.waiting, i, i+1)
		if !req.retried {
			for _, o := range x.outcomesFor(req) {
				o.missed++
			}
		}
		x.report(in, reportDelay)
	}
}

// applyView distributes a published view to all instances, which then serve or
// refuse waiting requests where they can.
func (x *run) applyView(v placement.View) {
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

// report schedules an instance's demand report within the given time, and a
// repetition every reportInterval while the instance has requests.
func (x *run) report(in *instance, within time.Duration) {
	due := x.w.Now.Add(within)
	if in.reportDue.After(x.w.Now) && !due.Before(in.reportDue) {
		return
	}
	in.reportDue = due
	x.w.At(due, func() {
		if !in.reportDue.Equal(due) {
			return
		}
		x.w.Report(in.name, in.takeDemands(x.w.Now))
		if len(in.waiting)+len(in.running) > 0 {
			x.report(in, reportInterval)
		}
	})
}

// takeDemands builds the demand report and resets the arrival counts. The order
// is fixed, so that runs are reproducible.
func (in *instance) takeDemands(now time.Time) []placement.Demand {
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
		d.Running = append(d.Running, placement.UpstreamUsage{Upstream: key[2], Count: n})
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
