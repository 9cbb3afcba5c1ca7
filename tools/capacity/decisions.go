package capacity

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/fairqueue"
	"github.com/hibiscusyard/hibiscusyard/decision/freshness"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

var (
	upstreamSizes  = []int{52, 520, 1300, 2600}
	workspaceSizes = []int{20, 200, 2000}
	instanceSizes  = []int{8, 100, 430, 860}
)

// targetPools is the assumed number of pools in the target's catalogue.
const targetPools = 20

// Decisions returns the measurements of the decision packages.
func Decisions() []Series {
	var list []Series
	for _, part := range [][]Series{quotaSeries(), plannerSeries(1), plannerSeries(targetPools), requestPathSeries(), catalogSeries(), membershipSeries()} {
		list = append(list, part...)
	}
	return list
}

// newLedger returns a ledger that holds one slot of each workspace and has seven
// other holders registered for it.
func newLedger(workspaces int) *quota.Ledger {
	l := quota.NewLedger(1)
	limits := map[string]quota.Limits{}
	for i := range workspaces {
		limits[workspaceName(i)] = quota.Limits{Rate: 1e6, Burst: 1e7}
	}
	l.SetLimits(limits, 0)
	for name := range limits {
		l.AddSlot(name, 0, l.FullStart(name), 0)
		var holders []quota.Holder
		for i := range quota.Slots - 1 {
			holders = append(holders, quota.Holder{Instance: instanceName(i), Slots: 1, Near: i == 0})
		}
		l.SetHolders(name, holders)
	}
	l.SetActive(true, 0)
	return l
}

func quotaSeries() []Series {
	return []Series{
		{Name: "quota ledger, tick (4 a second)", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Build: func(n int) (any, func()) {
				l, now := newLedger(n), time.Duration(0)
				return l, func() { now += 250 * time.Millisecond; l.Tick(now) }
			}},
		{Name: "quota ledger, reserve and settle", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Build: func(n int) (any, func()) {
				l, now := newLedger(n), time.Duration(0)
				return l, func() {
					now += time.Millisecond
					if t := l.Submit(workspaceName(0), 200, now, now+time.Second); t.State == quota.Admitted {
						l.Settle(t.Reservation, 150, now)
					}
					l.Resolved()
				}
			}},
		{Name: "slot placement of one workspace", Per: "instance", Sizes: instanceSizes, Target: Instances,
			Build: func(n int) (any, func()) {
				var candidates []quota.Candidate
				for i := range n {
					candidates = append(candidates, quota.NewCandidate(instanceName(i), dataCentreName(i)))
				}
				return candidates, func() { quota.Place(workspaceName(0), candidates) }
			}},
	}
}

// plannerSeries measures the placement planner with all pools in one process.
// Sizes are numbers of upstreams; models and adapters grow in proportion.
func plannerSeries(pools int) []Series {
	name := map[int]string{1: "planner, one pool", targetPools: "planner, 20 pools"}[pools]
	series := func(operation string, build func(n int) (any, func())) Series {
		return Series{Name: name + ", " + operation, Per: "upstream", Sizes: upstreamSizes, Target: Upstreams, Build: build}
	}
	return []Series{
		series("housekeeping (4 a second)", func(n int) (any, func()) {
			p, now := loadedPlanner(n, pools)
			return p, func() { now = now.Add(250 * time.Millisecond); p.Handle(now, placement.Tick{}) }
		}),
		series("report of one instance", func(n int) (any, func()) {
			p, now := loadedPlanner(n, pools)
			report := placement.DemandReported{Instance: instanceName(0), Demands: newDemands(20)}
			for i := range report.Demands {
				report.Demands[i].Waiting = 0
			}
			return p, func() { now = now.Add(3500 * time.Microsecond); p.Handle(now, report) }
		}),
	}
}

func requestPathSeries() []Series {
	pick := func(service bool) func(n int) (any, func()) {
		return func(n int) (any, func()) {
			pool := syntheticCatalog(n, 1).Pools[0]
			request := balance.Request{}
			if service {
				pool.Kind = catalog.Service
			} else {
				request.Models, request.Ready = true, []string{upstreamName(0), upstreamName(1), upstreamName(2), upstreamName(3)}
			}
			p, now := balance.New(balance.Config{Self: instanceName(0)}), epoch
			p.SetPool(now, &pool, 1)
			now = now.Add(time.Hour)
			return p, func() {
				request.Digest++
				p.Finish(now, p.Start(now, p.Pick(now, request).Upstream), balance.Result{Kind: balance.Success})
			}
		}
	}
	waiting := func(n int) (any, func()) {
		q, now := fairqueue.New[int](fairqueue.Config{MaxEntries: 1 << 20, MaxPerWorkspace: 1 << 20}), epoch
		push := func(i int) {
			q.Push(now, fairqueue.Entry[int]{Workspace: workspaceName(i % 50), Class: modelName(i % 20), Weight: 1, Cost: 200, Deadline: now.Add(time.Hour)})
		}
		for i := range n {
			push(i)
		}
		next := n
		return q, func() { now = now.Add(time.Millisecond); q.Pop(now); push(next); next++ }
	}
	return []Series{
		{Name: "balance, pick for a model with 4 replicas", Per: "upstream of the pool", Sizes: upstreamSizes, Target: Upstreams, Build: pick(false)},
		{Name: "balance, pick for a service", Per: "upstream of the pool", Sizes: upstreamSizes, Target: Upstreams, Build: pick(true)},
		{Name: "fair queue, push and pop", Per: "waiting request", Sizes: []int{10, 100, 500, 2000}, Target: 2000, Build: waiting},
	}
}

func catalogSeries() []Series {
	return []Series{
		{Name: "catalogue, decode, validate and index", Per: "upstream (models, adapters and workspaces grow along)", Sizes: upstreamSizes, Target: Upstreams,
			Build: func(n int) (any, func()) {
				body, err := syntheticCatalog(n, targetPools).Encode()
				if err != nil {
					panic(err) // unreachable: all fields can be encoded
				}
				load := func() *catalog.Index {
					c, err := catalog.Load(body)
					if err != nil {
						panic(err) // the synthetic catalogue is valid
					}
					return catalog.NewIndex(c, "")
				}
				return []any{load(), body}, func() { load() }
			}},
		{Name: "catalogue, look up key and model", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			Build: func(n int) (any, func()) {
				x, key := syntheticIndex(n, targetPools), catalog.HashKey(workspaceName(0))
				return x, func() {
					x.KeyOwner(key)
					if r := x.ModelRoute(modelName(0)); r != nil {
						x.Allows(r, key)
					}
				}
			}},
	}
}

func membershipSeries() []Series {
	return []Series{
		{Name: "membership, one reading of the list", Per: "instance", Sizes: instanceSizes, Target: Instances,
			Build: func(n int) (any, func()) {
				t, list, now := linkedMembers(n), listedInstances(n), epoch
				return t, func() { now = now.Add(2 * time.Second); t.ApplyList(now, list); t.Members() }
			}},
		{Name: "freshness, one round of answers", Per: "instance", Sizes: instanceSizes, Target: Instances,
			Build: func(n int) (any, func()) {
				tracker, now := &freshness.Tracker{}, epoch
				tracker.Adopted(1)
				answers := make([]freshness.Answer, n-1)
				for i := range answers {
					answers[i] = freshness.Answer{Version: 1, Age: time.Second, Proved: true, Voter: true}
				}
				return answers, func() { now = now.Add(time.Second); tracker.EvaluateAnswers(now, n, answers) }
			}},
	}
}
