package residency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// rareTraffic describes the traffic of a large deployment: most models are rarely
// used, each requested about once in 13 s, half of them have no replica, and
// engines have copies of 18 models on their disks.
type rareTraffic struct {
	engines, models, busy int
	rare, common          float64 // requests a second for rarely used and for busy models
	objective             time.Duration
}

const (
	rareOrderTime  = 5 * time.Millisecond   // until the answer to an order
	rareUnloadTime = 50 * time.Millisecond  // of the deployments' engines
	rareEntryLag   = 250 * time.Millisecond // until an entry reaches the leader
	rareRun        = 1200 * time.Millisecond
	rareStep       = 10 * time.Millisecond
)

type rareEngine struct {
	*fakeUpstream
	unloading  string
	unloadedAt bootclock.Time // end of the unload
}

type rareRequest struct {
	model    string
	arrived  bootclock.Time
	upstream string
	ends     bootclock.Time
}

type rareSim struct {
	rareTraffic
	p        *Planner
	r        *rand.Rand
	registry *fleet.Registry
	engines  map[string]*rareEngine
	entries  []rareEntry
	sent     []rareOrder
	waiting  []*rareRequest
	running  []*rareRequest
	waits    []time.Duration
}

type rareEntry struct {
	at bootclock.Time
	u  *fleet.Upstream
}

type rareOrder struct {
	at bootclock.Time
	o  Order
}

func newRareSim(load rareTraffic, now bootclock.Time) *rareSim {
	config := engineService(load.models, 0)
	e := config.Services[service].Engine
	e.Slots, e.LoadsPerSecond = 12, 110
	for _, m := range e.Models {
		m.LoadTime, m.DiskLoadTime, m.MemoryLoadTime = 7800*time.Millisecond, 1200*time.Millisecond, 630*time.Millisecond
	}
	w := &rareSim{rareTraffic: load, p: NewPlanner(4), r: rand.New(rand.NewPCG(7, 9)), registry: fleet.NewRegistry(), engines: map[string]*rareEngine{}}
	w.registry.SetConfig(config)
	next := 0
	for i := range load.engines {
		u := &rareEngine{fakeUpstream: &fakeUpstream{id: fmt.Sprintf("u%03d", i), engine: e, started: 1, models: map[string][]string{}}}
		for len(u.models) < 3 {
			u.models[fmt.Sprintf("m%d", next%load.models)] = nil
			next++
		}
		u.disk = slices.Sorted(maps.Keys(u.models))
		for len(u.disk) < 18 {
			u.disk = append(u.disk, fmt.Sprintf("m%d", w.r.IntN(load.models)))
		}
		w.engines[u.id] = u
		w.registry.SetUpstream(u.entry())
	}
	w.p.Observe(now, w.registry.View())
	for _, queried := range w.p.UpstreamsToQuery(now) {
		w.p.ApplyReport(now, now.Add(-1), queried.ID, queried.Started, w.engines[queried.ID].current())
	}
	return w
}

// step simulates one time step of the engines, the requests and the leader.
func (w *rareSim) step(now bootclock.Time) {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		u := w.engines[id]
		if u.unloading != "" && now >= u.unloadedAt && !slices.ContainsFunc(w.running, func(q *rareRequest) bool { return q.upstream == id && q.model == u.unloading }) {
			u.unloading = ""
			w.entries = append(w.entries, rareEntry{now.Add(rareEntryLag), u.entry()})
		}
		if u.loading != "" && now >= u.loadedAt {
			u.models[u.loading], u.loading = nil, ""
			w.entries = append(w.entries, rareEntry{now.Add(rareEntryLag), u.entry()})
		}
	}
	w.arrive(now)
	w.observe(now)
	w.reportDemand(now)
	w.deliverOrders(now)
	w.p.RecordNotification(now)
	for _, o := range w.p.Plan(now) {
		w.sent = append(w.sent, rareOrder{now.Add(rareOrderTime), o})
	}
	for _, queried := range w.p.UpstreamsToQuery(now) {
		w.p.ApplyReport(now, now, queried.ID, queried.Started, w.engines[queried.ID].current())
	}
}

func (w *rareSim) arrive(now bootclock.Time) {
	for range w.poisson(w.rare) {
		w.waiting = append(w.waiting, &rareRequest{model: fmt.Sprintf("m%d", w.busy+w.r.IntN(w.models-w.busy)), arrived: now})
	}
	for range w.poisson(w.common) {
		w.waiting = append(w.waiting, &rareRequest{model: fmt.Sprintf("m%d", w.r.IntN(w.busy)), arrived: now})
	}
	w.running = slices.DeleteFunc(w.running, func(q *rareRequest) bool { return now >= q.ends })
	w.waiting = slices.DeleteFunc(w.waiting, func(q *rareRequest) bool {
		for _, h := range sortedByID(w.p.totals.serving[key{service, q.model}]) {
			u := w.engines[h.entry.ID]
			if _, ok := u.models[q.model]; ok && h.serves(q.model) && u.unloading != q.model {
				q.upstream, q.ends = u.id, now.Add(rareRun)
				w.running = append(w.running, q)
				if !w.isBusy(q.model) {
					w.waits = append(w.waits, now.Sub(q.arrived))
				}
				return true
			}
		}
		return false
	})
}

func (w *rareSim) isBusy(model string) bool {
	var n int
	fmt.Sscanf(model, "m%d", &n) //nolint:errcheck // the names are made here.
	return n < w.busy
}

func (w *rareSim) poisson(perSecond float64) int {
	n, each := 0, perSecond*rareStep.Seconds()
	for each > 0 {
		if w.r.Float64() < min(each, 1) {
			n++
		}
		each--
	}
	return n
}

func (w *rareSim) observe(now bootclock.Time) {
	changed := false
	w.entries = slices.DeleteFunc(w.entries, func(e rareEntry) bool {
		if now < e.at {
			return false
		}
		changed = w.registry.SetUpstream(e.u) || changed
		return true
	})
	if changed {
		w.p.Observe(now, w.registry.View())
	}
}

func (w *rareSim) reportDemand(now bootclock.Time) {
	byModel := map[string]*ModelDemand{}
	need := func(model string) *ModelDemand {
		if byModel[model] == nil {
			byModel[model] = &ModelDemand{Service: service, Model: model, Running: map[string]int{}}
		}
		return byModel[model]
	}
	for _, q := range w.waiting {
		n := need(q.model)
		n.Waiting++
		if q.arrived == now {
			n.Arrived++
		}
	}
	for _, q := range w.running {
		n := need(q.model)
		n.Running[q.upstream]++
		if q.ends == now.Add(rareRun) && q.arrived == now {
			n.Arrived++
		}
	}
	list := make([]ModelDemand, 0, len(byModel))
	for _, name := range slices.Sorted(maps.Keys(byModel)) {
		list = append(list, *byModel[name])
	}
	w.p.RecordDemand(now, "i", list)
}

// deliverOrders passes the orders that are due to the engines and their outcomes
// to the planner.
func (w *rareSim) deliverOrders(now bootclock.Time) {
	w.sent = slices.DeleteFunc(w.sent, func(s rareOrder) bool {
		if now < s.at {
			return false
		}
		u := w.engines[s.o.Upstream]
		outcome := Conflict
		if u.unloading == "" {
			outcome = u.accept(now, s.o)
		}
		if outcome == Accepted && s.o.Unload {
			u.unloading, u.unloadedAt = s.o.Model, now.Add(rareUnloadTime)
		}
		if outcome == Accepted && !s.o.Unload {
			u.loadedAt = now.Add(loadTime(u.engine.Models[s.o.Model], s.o.Source))
		}
		w.p.RecordOutcome(now, s.o, outcome)
		return true
	})
}

// Guards against rarely used models being served too late. Replays their traffic
// in a large deployment (cantaro-pozos-large, quiet-1): 121 requests a second for
// 1,619 models of which half have no replica.
func TestRareModelsLoadFromDiskInTime(t *testing.T) {
	load := rareTraffic{engines: 320, models: 1779, busy: 64, rare: 121, common: 60, objective: 3 * time.Second}
	now := bootclock.Time(time.Hour)
	w := newRareSim(load, now)
	for end := now.Add(6 * time.Second); now < end; now = now.Add(rareStep) {
		w.step(now)
	}
	slices.Sort(w.waits)
	n := len(w.waits)
	late := 0
	for _, d := range w.waits {
		if d > load.objective {
			late++
		}
	}
	left := 0
	for _, q := range w.waiting {
		if now.Sub(q.arrived) > load.objective {
			left++
		}
	}
	t.Logf("%d served, waiting time p50 %s, p75 %s, p90 %s, p99 %s; %d late, %d still waiting for longer than the objective",
		n, w.waits[n/2], w.waits[n*3/4], w.waits[n*9/10], w.waits[n*99/100], late, left)
	if onTime := float64(n-late) / float64(n+left); onTime < 0.8 {
		t.Errorf("got a share of %.2f served in time, want at least 0.8", onTime)
	}
}
