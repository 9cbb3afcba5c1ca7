package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// largePlanner returns the planner of a leader in a large deployment: each
// instance runs requests for the busy models, and requests wait for some rarely
// used models.
func largePlanner(engines, models, instances int) (*Planner, bootclock.Time) {
	r := rand.New(rand.NewPCG(1, 2))
	config := engineService(models, 8)
	config.Services[service].Engine.LoadsPerSecond = 20
	registry := fleet.NewRegistry()
	registry.SetConfig(config)
	for i := range engines {
		u := &fleet.Upstream{
			ID: fmt.Sprintf("e%d", i), Service: service, Address: "a", Started: 1, Revision: 1, CopiesReported: true,
			Models: map[string][]string{},
		}
		for len(u.Models) < 3 {
			u.Models[fmt.Sprintf("m%d", r.IntN(models))] = []string{"a1", "a2"}
		}
		for range 20 {
			u.Copies.Disk = append(u.Copies.Disk, fmt.Sprintf("m%d", r.IntN(models)))
		}
		registry.SetUpstream(u)
	}
	p, now := NewPlanner(4), bootclock.Time(time.Hour)
	p.Observe(now, registry.View())
	for i := range instances {
		var demands []ModelDemand
		for m := range 12 {
			n := ModelDemand{Service: service, Model: fmt.Sprintf("m%d", m), Arrived: 2, Running: map[string]int{}}
			for range 3 {
				n.Running[fmt.Sprintf("e%d", r.IntN(engines))]++
			}
			demands = append(demands, n)
		}
		demands = append(demands, ModelDemand{Service: service, Model: fmt.Sprintf("m%d", 50+r.IntN(models-50)), Arrived: 1, Waiting: 1, UntilDeadline: 5 * time.Second})
		p.RecordDemand(now, fmt.Sprintf("i%d", i), demands)
	}
	return p, now
}

// planPass does what the leader does in each planning pass.
func planPass(p *Planner, now bootclock.Time) {
	p.UpstreamsToQuery(now)
	p.Plan(now)
	for i := range 3 { // number of instances that request availability between two passes
		p.Availability(now, fmt.Sprintf("i%d", i))
	}
	p.Changes()
}

func BenchmarkPlanPass(b *testing.B) {
	for _, size := range []struct{ engines, models, instances int }{{9, 51, 8}, {60, 353, 85}, {320, 1779, 295}} {
		b.Run(fmt.Sprintf("%d engines", size.engines), func(b *testing.B) {
			p, now := largePlanner(size.engines, size.models, size.instances)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				planPass(p, now)
			}
		})
	}
}

func BenchmarkNeeds(b *testing.B) {
	p, now := largePlanner(60, 353, 85)
	demands := []ModelDemand{{Service: service, Model: "m1", Arrived: 1, Running: map[string]int{"e1": 1}, Adapters: []string{"a1"}}}
	for b.Loop() {
		p.RecordDemand(now, "i1", demands)
	}
}

// Guards against planning passes that delay token requests to the leader: a pass
// considers each pair of an engine and a model about once, so that its duration
// grows no faster than the number of pairs. At 60 engines it took 100 times as
// long as at 9 when each model's requests were counted again for each engine.
func TestLookGrowsWithEnginesAndModels(t *testing.T) {
	const smallEngines, smallModels, engines, models = 9, 51, 60, 353
	fastest := func(p *Planner, now bootclock.Time) time.Duration {
		best := time.Hour
		for range 15 {
			began := time.Now()
			for range 3 {
				now = now.Add(time.Millisecond)
				for _, h := range p.hosts {
					p.markChanged(h)
				}
				planPass(p, now)
			}
			best = min(best, time.Since(began))
		}
		return best
	}
	small := fastest(largePlanner(smallEngines, smallModels, 8))
	large := fastest(largePlanner(engines, models, 85))
	bound := float64(engines*models) / float64(smallEngines*smallModels)
	if grown := float64(large) / float64(small); grown > bound {
		t.Errorf("got a planning pass with %d engines %.0f times as long as with %d, want at most %.0f", engines, grown, smallEngines, bound)
	}
}

// Guards the leader of a large deployment, which receives several reports a
// millisecond: a planning pass after one report must not process all engines,
// models and reports again. When it did, a pass took 11 ms at 320 engines and
// delayed the requests of the other instances.
func TestTotalsUpdateDoesNotGrowWithEngines(t *testing.T) {
	fastest := func(engines int) time.Duration {
		p, now := largePlanner(engines, 400, 20)
		planPass(p, now)
		best := time.Hour
		for i := range 60 {
			now = now.Add(time.Millisecond)
			began := time.Now()
			p.RecordDemand(now, "i0", []ModelDemand{{Service: service, Model: fmt.Sprintf("m%d", i), Arrived: 1, Running: map[string]int{"e1": 1}}})
			p.refresh(now)
			p.Changes()
			best = min(best, time.Since(began))
		}
		return best
	}
	const few, many = 40, 640
	if small, large := fastest(few), fastest(many); float64(large)/float64(small) > many/few/4 {
		t.Errorf("updating the totals after a report took %s with %d engines and %s with %d, want at most 4 times as long", large, many, small, few)
	}
}
