package residency

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against a planner that panics, and the leader's process with it: an entry of
// another writer moves an upstream to a service without an engine, or to none, and a later
// version adds a model.
func TestUpstreamWithoutEngineIsNoHost(t *testing.T) {
	for _, moved := range []string{"unknown", "plain"} {
		t.Run(moved, func(t *testing.T) {
			config := engineService(2, 0)
			config.Services["plain"] = &fleet.Service{Name: "plain"}
			first, second := &fakeUpstream{id: "a", engine: config.Services[service].Engine}, &fakeUpstream{id: "b", engine: config.Services[service].Engine}
			view := func(c *fleet.Config, entries ...*fleet.Upstream) *fleet.View {
				v := &fleet.View{Config: c, ByID: map[string]*fleet.Upstream{}, ByService: map[string][]*fleet.Upstream{}}
				for _, u := range entries {
					v.ByID[u.ID] = u
					v.ByService[u.Service] = append(v.ByService[u.Service], u)
				}
				return v
			}
			p, now := NewPlanner(4), bootclock.Time(time.Hour)
			p.Observe(now, view(config, first.entry(), second.entry()))
			foreign := first.entry()
			foreign.Service = moved
			p.Observe(now, view(config, foreign, second.entry()))
			next := engineService(3, 0)
			next.Version, next.Services["plain"] = 2, config.Services["plain"]
			for range 100 {
				now = now.Add(50 * time.Millisecond)
				p.Observe(now, view(next, foreign, second.entry()))
				p.RecordDemand(now, "i", []ModelDemand{{Service: service, Model: "m2", Arrived: 1, Waiting: 1}})
				for _, u := range p.UpstreamsToQuery(now) {
					p.ApplyReport(now, now, u.ID, u.Started, second.current())
				}
				for _, o := range p.Plan(now) {
					if o.Upstream != "b" {
						t.Errorf("order for %s, which runs no engine", o.Upstream)
					}
					p.RecordOutcome(now, o, Refused)
				}
			}
			p.Observe(now, view(next, first.entry(), second.entry()))
			if p.hosts["a"] == nil {
				t.Error("the upstream is not used again after its own next entry")
			}
		})
	}
}
