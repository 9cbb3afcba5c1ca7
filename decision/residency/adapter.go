package residency

import (
	"slices"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// AdapterStep is what has to be done for an adapter.
type AdapterStep struct {
	Loaded   bool   // an upstream serves it
	Upstream string // that serves it
	Order    *Order // to be sent now
	Wait     bool   // another order at the upstream has to end first
}

// Adapter decides the next step for an adapter beside its model. The place of
// the adapter counts as taken from the order on.
func (p *Planner) Adapter(now bootclock.Time, service, model, adapter string) AdapterStep {
	var best *host
	wait := false
	for _, id := range p.sorted() {
		h := p.hosts[id]
		r := h.models[model]
		if h.entry.Service != service || r == nil || r.retiring || !p.usable(h) ||
			(h.order != nil && h.order.order.Model == model) {
			continue
		}
		if a := r.adapters[adapter]; a != nil {
			if h.adapter != nil && h.adapter.order.Model == model && h.adapter.order.Adapter == adapter {
				return AdapterStep{Wait: true}
			}
			a.used = now
			return AdapterStep{Loaded: true, Upstream: id}
		}
		_, unloading := h.unloading(now)
		if h.unsure || h.sequence == sequenceUnknown || h.adapter != nil || h.order != nil || unloading || h.fetching(now) || now.Before(h.after) {
			wait = true
			continue
		}
		if best == nil || h.adapters() < best.adapters() {
			best = h
		}
	}
	if best == nil {
		return AdapterStep{Wait: wait}
	}
	p.touch(best)
	return best.adapterOrder(now, model, adapter)
}

// fetching reports whether as many adapters are on their way to the upstream as
// it takes at once.
func (h *host) fetching(now bootclock.Time) bool {
	h.coming = slices.DeleteFunc(h.coming, func(t bootclock.Time) bool { return now.Sub(t) > adapterReady })
	return len(h.coming) >= maxComing
}

// place takes a place for an adapter that is ordered now.
func (r *resident) place(now bootclock.Time, id string) {
	delete(r.gone, id)
	r.adapters[id] = &adapter{used: now, ordered: now}
}

// unload notes that an adapter has gone.
func (r *resident) unload(now bootclock.Time, id string) {
	delete(r.adapters, id)
	if r.gone == nil {
		r.gone = map[string]bootclock.Time{}
	}
	r.gone[id] = now
}

// adapterOrder makes a place for the adapter or orders it.
func (h *host) adapterOrder(now bootclock.Time, model, adapter string) AdapterStep {
	m := h.engine.Models[model]
	if m == nil {
		return AdapterStep{}
	}
	o := Order{Model: model, Adapter: adapter}
	if h.adapters() >= h.engine.AdapterSlots || h.used()+m.AdapterMB > h.engine.WeightsMB {
		idleModel, idle, ok := h.idleAdapter(now)
		if !ok {
			return AdapterStep{Wait: true}
		}
		o = Order{Model: idleModel, Adapter: idle, Unload: true}
	} else {
		h.models[model].place(now, adapter)
		h.coming = append(h.coming, now)
	}
	o.Upstream, o.Address, o.Started, o.Sequence = h.entry.ID, h.entry.Address, h.entry.Started, h.sequence
	h.adapter = &pending{order: o, sent: now, due: now.Add(adapterReady)}
	return AdapterStep{Order: &o, Wait: o.Unload}
}

// idleAdapter returns the adapter that has not been used for the longest time.
func (h *host) idleAdapter(now bootclock.Time) (model, adapter string, ok bool) {
	var oldest bootclock.Time
	for name, r := range h.models {
		for id, a := range r.adapters {
			if now.Sub(a.used) >= adapterIdle && (!ok || a.used < oldest || (a.used == oldest && id < adapter)) {
				model, adapter, oldest, ok = name, id, a.used, true
			}
		}
	}
	return model, adapter, ok
}

// adapterSent takes over what the upstream said of an adapter's order.
func (h *host) adapterSent(now bootclock.Time, o Order, outcome Outcome) {
	if h.adapter == nil || h.adapter.order != o {
		return
	}
	r := h.models[o.Model]
	if mayAdvance(outcome) {
		h.advanced = now
	}
	if outcome == Accepted && o.Unload {
		// It is in use: its place stays taken until a report shows it gone, and
		// the upstream takes no other order meanwhile.
		h.sequence = max(h.sequence, o.Sequence+1)
		h.adapter.accepted = true
		return
	}
	switch outcome {
	case Accepted, Holds:
		h.sequence = max(h.sequence, o.Sequence)
		if outcome == Accepted || o.Unload {
			h.sequence = max(h.sequence, o.Sequence+1)
		}
		h.adapterDone(now, o, outcome)
	case NotSent, Conflict, Refused, Fenced:
		if r != nil && !o.Unload {
			delete(r.adapters, o.Adapter)
		}
		h.after = now.Add(conflictPause)
		h.unsure = true
		h.asked = 0
	default: // it may be carried out later: its place stays taken for a while
		if r != nil && r.adapters[o.Adapter] != nil {
			r.adapters[o.Adapter].certain = false
		}
		h.unsure = true
		h.asked = 0
	}
	h.adapter = nil
}

// adapterDone takes over that an order for an adapter was carried out, or held
// already. An upstream answers the unload of what it does not hold like one
// that it carries out, but does not count it.
func (h *host) adapterDone(now bootclock.Time, o Order, outcome Outcome) {
	r := h.models[o.Model]
	if r == nil || r.adapters[o.Adapter] == nil {
		h.unsure, h.doubtful = true, true
		return
	}
	switch {
	case o.Unload && r.adapters[o.Adapter].certain:
		r.unload(now, o.Adapter)
	case o.Unload:
		delete(r.adapters, o.Adapter)
		h.unsure, h.doubtful = true, true
	default:
		r.adapters[o.Adapter].certain = true
		h.unsure = h.unsure || outcome == Holds
	}
}

// leaving ends the unload of an adapter that was in use once a report does not
// list the adapter any more.
func (h *host) leaving(now bootclock.Time, r Report) {
	p := h.adapter
	if p == nil || !p.accepted {
		return
	}
	for _, a := range r.Models[p.order.Model] {
		if adapterName(a) == p.order.Adapter {
			return
		}
	}
	if m := h.models[p.order.Model]; m != nil {
		m.unload(now, p.order.Adapter)
	}
	h.adapter = nil
}

// AdapterReady is how long after the answer to its order an adapter is served.
const AdapterReady = adapterReady
