package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

func halve(d, life time.Duration) float64 { return math.Exp2(-float64(d) / float64(life)) }

// resident is a model that an upstream serves.
type resident struct {
	adapters map[string]*adapter
	// gone are the adapters that were unloaded, and when: an upstream's late word
	// may still list them.
	gone     map[string]bootclock.Time
	used     bootclock.Time
	loaded   bootclock.Time // when it was first seen
	retiring bool           // the instances have been told that it goes
	retired  bootclock.Time // when they were told, 0 before
}

// adapter is one that takes a place at an upstream.
type adapter struct {
	used    bootclock.Time
	ordered bootclock.Time // 0 if this instance did not order it
	// certain says that the upstream surely holds it. Others were listed by a
	// word of the upstream that may be from before their unload.
	certain bool
}

// pending is an order that has been sent and has not come to its end.
type pending struct {
	order    Order
	sent     bootclock.Time
	due      bootclock.Time // when it should be done
	accepted bool
	// usual is how long a load takes alone, and beside the loads from the weight
	// store under way when it was ordered, itself included.
	usual  time.Duration
	beside int
}

// finished is a load from the weight store that has ended.
type finished struct {
	took, usual time.Duration
	beside      int
}

// host is what is known of one upstream with an engine.
type host struct {
	entry    *fleet.Upstream
	engine   *fleet.Engine
	models   map[string]*resident
	copies   map[string]Source // from where models that it does not serve can be loaded
	sequence int64
	// advanced is when an order may have been accepted last.
	advanced bootclock.Time
	order    *pending // of a model
	adapter  *pending // of an adapter
	unsure   bool     // a report is needed before the next order
	// doubtful says that the number of accepted orders may be one too high, so
	// that only a report from after the last order ends being unsure.
	doubtful bool
	asked    bootclock.Time
	after    bootclock.Time // no order before then
	// coming are the times of the last orders of adapters.
	coming []bootclock.Time
	// dropped are the models whose unload the upstream has confirmed, and when:
	// its late word may still list them.
	dropped map[string]bootclock.Time
	tally   tally // as counted in the planner's totals
	// loaded is a load from the weight store that ended since the last touch.
	loaded *finished
}

func newHost(u *fleet.Upstream, e *fleet.Engine) *host {
	h := &host{entry: u, engine: e, models: map[string]*resident{}, sequence: sequenceUnknown, unsure: true}
	h.adopt(0, u.Models)
	h.copied(u)
	return h
}

// sequenceUnknown is the number of accepted orders until a report has told it.
const sequenceUnknown = -1

// adopt takes over the models that an upstream says it serves. Its word is
// late: what was loaded a moment ago is kept although it is not listed, so that
// the memory taken is never underestimated.
func (h *host) adopt(now bootclock.Time, models map[string][]string) {
	for name, at := range h.dropped {
		if _, listed := models[name]; !listed {
			delete(h.dropped, name)
			if h.after == at.Add(UnloadTime) {
				h.after = now // the unload is over
			}
		}
	}
	for name, r := range h.models {
		if _, ok := models[name]; !ok && now.Sub(r.loaded) > reportLag {
			delete(h.models, name)
		}
	}
	for name, adapters := range models {
		r := h.models[name]
		if at, ok := h.dropped[name]; ok && r == nil && now.Sub(at) <= reportLag {
			continue
		}
		if r == nil {
			r = &resident{adapters: map[string]*adapter{}, used: now, loaded: now}
			h.models[name] = r
		}
		listed := map[string]bool{}
		for _, a := range adapters {
			a = adapterName(a)
			listed[a] = true
			if unloaded := r.gone[a]; r.adapters[a] == nil && (unloaded == 0 || now.Sub(unloaded) > adapterLag) {
				r.adapters[a] = &adapter{}
			}
		}
		for name, a := range r.adapters {
			if !listed[name] && (a.ordered == 0 || now.Sub(a.ordered) > adapterLag) {
				delete(r.adapters, name)
			}
		}
	}
}

// adapterName strips the version from a reported adapter.
func adapterName(s string) string {
	s, _, _ = strings.Cut(s, "@")
	return s
}

func (h *host) copied(u *fleet.Upstream) {
	if u.KnowsCopies {
		h.setCopies(u.Copies.Memory, u.Copies.Disk)
	}
}

func (h *host) setCopies(memory, disk []string) {
	h.copies = make(map[string]Source, len(memory)+len(disk))
	for _, name := range disk {
		h.copies[name] = FromDisk
	}
	for _, name := range memory {
		h.copies[name] = FromMemory
	}
}

// observe takes over a newer entry of the same run.
func (h *host) observe(now bootclock.Time, u *fleet.Upstream) {
	h.entry = u
	h.copied(u)
	h.settle(now, u.Models)
}

// report takes over the answer to a question that was asked at a time.
func (h *host) report(now, asked bootclock.Time, r Report) {
	if r.Disk != nil || r.Memory != nil {
		h.setCopies(r.Memory, r.Disk)
	}
	if p := h.order; p != nil && !p.accepted && asked.After(p.sent) {
		switch {
		case r.Sequence > p.order.Sequence:
			p.accepted = true
		case !r.Busy && now.Sub(p.sent) > reportLag:
			// Not carried out so far. The next order with the same sequence
			// makes it void, should it still come.
			h.drop(now)
		}
	}
	late := asked.Sub(h.advanced) <= reportLag
	h.unsure = h.doubtful && late
	h.leaving(now, r)
	h.settle(now, r.Models)
	h.count(late, r)
	if !late {
		h.confirm(r)
	}
	if r.Busy && h.order == nil {
		// An order that this instance does not know is under way.
		h.after = now.Add(retryAfter)
		h.unsure = true
	}
	if h.order != nil && !h.order.accepted {
		h.unsure = true
	}
	if h.order != nil && h.order.accepted {
		h.order.due = max(h.order.due, now.Add(retryAfter))
	}
}

// count takes over the number of orders that an upstream says it has accepted.
// Its word is late, so that it can't lower the number right after an order. But
// the number may have been taken too high: the unload of an adapter is answered
// alike whether it advances the number or there was nothing to unload.
func (h *host) count(late bool, r Report) {
	if late || h.order != nil {
		h.sequence = max(h.sequence, r.Sequence)
		return
	}
	h.sequence, h.doubtful = r.Sequence, false
}

// confirm notes which adapters an upstream surely holds, by a report from after
// the last order.
func (h *host) confirm(r Report) {
	for name, adapters := range r.Models {
		m := h.models[name]
		if m == nil {
			continue
		}
		for _, id := range adapters {
			if a := m.adapters[adapterName(id)]; a != nil {
				a.certain = true
			}
		}
	}
}

// unloaded takes over that an upstream carries out the unload of a model that
// ran no requests. The next load is ordered after the usual time of an unload
// without waiting for its word that the model is gone: should the unload still be
// under way, the upstream does not take the load.
func (h *host) unloaded(now bootclock.Time, model string) {
	delete(h.models, model)
	h.order = nil
	if h.dropped == nil {
		h.dropped = map[string]bootclock.Time{}
	}
	h.dropped[model] = now
	h.after = now.Add(UnloadTime)
}

// unloading returns for how long the latest confirmed unload may have been under
// way, and whether there is one: the places of its adapters may still be taken.
func (h *host) unloading(now bootclock.Time) (time.Duration, bool) {
	latest, ok := time.Duration(0), false
	for _, at := range h.dropped {
		if d := now.Sub(at); d <= reportLag && (!ok || d < latest) {
			latest, ok = d, true
		}
	}
	return latest, ok
}

// settle compares what an upstream says it serves with the order under way.
func (h *host) settle(now bootclock.Time, models map[string][]string) {
	if p := h.order; p != nil {
		if _, holds := models[p.order.Model]; holds == p.order.Unload {
			return
		}
		h.sequence = max(h.sequence, p.order.Sequence+1)
		if !p.order.Unload {
			h.models[p.order.Model] = &resident{adapters: map[string]*adapter{}, used: now, loaded: now}
			if p.beside > 0 {
				h.loaded = &finished{took: now.Sub(p.sent), usual: p.usual, beside: p.beside}
			}
		} else {
			delete(h.models, p.order.Model)
		}
		h.order = nil
	}
	h.adopt(now, models)
}

// used returns the memory that is taken, a load under way included.
func (h *host) used() float64 {
	sum := 0.0
	for name, r := range h.models {
		if m := h.engine.Models[name]; m != nil {
			sum += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	if p := h.order; p != nil && !p.order.Unload && h.models[p.order.Model] == nil {
		if m := h.engine.Models[p.order.Model]; m != nil {
			sum += m.WeightsMB
		}
	}
	return sum
}

// adapters returns the number of adapter places that are taken.
func (h *host) adapters() int {
	n := 0
	for _, r := range h.models {
		n += len(r.adapters)
	}
	return n
}

// source returns from where a load would come.
func (h *host) source(model string) Source { return h.copies[model] }

// loadTime returns how long a load takes from a source.
func loadTime(m *fleet.Model, s Source) time.Duration {
	switch {
	case s == FromMemory && m.Warm > 0:
		return m.Warm
	case s != FromStore && m.Disk > 0:
		return m.Disk
	}
	return m.Load
}

// busy reports whether no order for a model can be given now.
func (h *host) busy(now bootclock.Time) bool {
	return h.order != nil || h.adapter != nil || h.unsure || h.sequence == sequenceUnknown || now.Before(h.after) || h.retiring() != nil
}

func (h *host) retiring() *resident {
	for _, r := range h.models {
		if r.retiring {
			return r
		}
	}
	return nil
}

// serves reports whether requests for a model may be sent.
func (h *host) serves(model string) bool {
	r := h.models[model]
	return r != nil && !r.retiring && (h.order == nil || h.order.order.Model != model)
}

// serving returns the models that requests may be sent for.
func (h *host) serving() map[string][]string {
	models := map[string][]string{}
	for name, r := range h.models {
		if !h.serves(name) {
			continue
		}
		adapters := []string{}
		for a := range r.adapters {
			if h.adapter == nil || h.adapter.order.Model != name || h.adapter.order.Adapter != a {
				adapters = append(adapters, a)
			}
		}
		slices.Sort(adapters)
		models[name] = adapters
	}
	return models
}
