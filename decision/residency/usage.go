package residency

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// steadyHalfLife is the half-life of arrivals in the estimate with which models are
	// counted whose demand pays for a place at an engine.
	steadyHalfLife = 20 * time.Second
	// paysRate is the demand in requests a second from which a model pays for a place. A
	// place costs 0.65 / 3 units a second, a request brings 1 to 12.6. A single request
	// that waits and then runs counts twice, which is 0.07, so it does not pay for one.
	paysRate = 0.08
	// roundingError is added to numbers of places before they are rounded down.
	roundingError = 1e-6
	// refusedHalfLife is the half-life of refusals for lack of capacity.
	refusedHalfLife = 2 * time.Second
)

// Usage is how much of the capacity of a service's engines is in demand.
type Usage struct {
	// Models is the number of models whose demand pays for a place, and Places the number
	// of places that they need, with those of further replicas.
	Models, Places int
	// Unserved is the number of Models that no usable engine serves or loads.
	Unserved int
	// PlacesPerEngine is the number of models of the mean size that an engine holds.
	PlacesPerEngine int
	// Usable is the number of usable engines by data centre, and Free the number of their
	// places without a model.
	Usable map[string]int
	Free   int
	// Running is the number of running requests, WaitingForSlot of those that wait for a
	// model that an engine serves or loads, and Waiting of those that wait for one of
	// Models. Requests for other models wait also if there is capacity enough.
	Running, WaitingForSlot, Waiting int
	// Refused is the number of requests a second for one of Models that were lately
	// refused for lack of capacity, and RefusedForSlot of those whose model is served.
	Refused, RefusedForSlot float64
	// LoadsPerSecond is the number of models a second that the weight store loads.
	LoadsPerSecond float64
}

// Usage returns the usage of a service's engines. ok is false if the service has none in
// the desired state.
func (p *Planner) Usage(now bootclock.Time, service string) (u Usage, ok bool) {
	if p.view == nil || p.view.Config == nil {
		return u, false
	}
	s := p.view.Config.Services[service]
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return u, false
	}
	p.refresh(now)
	size, loadTime := 0.0, time.Duration(0)
	for _, m := range s.Engine.Models {
		size += m.WeightsMB
		loadTime += m.LoadTime
	}
	size, loadTime = size/float64(len(s.Engine.Models)), loadTime/time.Duration(len(s.Engine.Models))
	places := func(mb float64) int {
		if size <= 0 {
			return 0
		}
		return max(int(mb/size+roundingError), 0)
	}
	u.Usable, u.PlacesPerEngine = map[string]int{}, max(places(s.Engine.WeightsMB), 1)
	u.LoadsPerSecond = storeShare * s.Engine.LoadsPerSecond
	if loadTime > 0 {
		u.LoadsPerSecond = min(u.LoadsPerSecond, float64(p.StoreParallel)/loadTime.Seconds())
	}
	for _, h := range p.hosts {
		if h.entry.Service == service && p.usable(h) {
			u.Usable[h.entry.DataCentre]++
			u.Free += min(places(s.Engine.WeightsMB-h.usedMB()), u.PlacesPerEngine)
		}
	}
	for k, d := range p.demands {
		if k.service != service || s.Engine.Models[k.model] == nil {
			continue
		}
		running, served := p.running(d), p.totals.replicas(k) > 0
		u.Running += running
		if served {
			u.WaitingForSlot += d.waiting
		}
		if running == 0 && d.steady.over(now, steadyHalfLife) < paysRate {
			continue
		}
		refused := d.refused.over(now, refusedHalfLife)
		u.Models++
		u.Places += max((running+d.waiting+requestsPerReplica-1)/requestsPerReplica, 1)
		u.Waiting += d.waiting
		u.Refused += refused
		if served {
			u.RefusedForSlot += refused
		} else {
			u.Unserved++
		}
	}
	return u, true
}
