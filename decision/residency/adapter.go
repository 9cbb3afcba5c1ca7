package residency

import (
	"slices"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// AdapterStep is the next step towards serving an adapter.
type AdapterStep struct {
	Loaded   bool   // an upstream serves the adapter
	Upstream string // ID of that upstream if Loaded
	Order    *Order // order to send now, nil if none
	Wait     bool   // another order at the upstream must end first
}

// Adapter returns the next step for an adapter at an upstream that serves its
// model and that software allows. The adapter slot counts as occupied from the load order on.
func (p *Planner) Adapter(now bootclock.Time, service, model, adapter string, software fleet.VersionConstraint) AdapterStep {
	var best *host
	wait := false
	for _, id := range p.sortedIDs() {
		h := p.hosts[id]
		r := h.models[model]
		if h.entry.Service != service || r == nil || r.retiring || !p.usable(h) || !software.Allows(h.entry) ||
			(h.order != nil && h.order.order.Model == model) {
			continue
		}
		if a := r.adapters[adapter]; a != nil {
			if h.adapter != nil && h.adapter.order.Model == model && h.adapter.order.Adapter == adapter {
				return AdapterStep{Wait: true}
			}
			a.lastUsed = now
			return AdapterStep{Loaded: true, Upstream: id}
		}
		_, unloading := h.unloading(now)
		if h.needsReport || h.sequence == sequenceUnknown || h.adapter != nil || h.order != nil || unloading || h.adapterLoadsFull(now) || now.Before(h.blockedUntil) {
			wait = true
			continue
		}
		if best == nil || h.adapterCount() < best.adapterCount() {
			best = h
		}
	}
	if best == nil {
		return AdapterStep{Wait: wait}
	}
	p.markChanged(best)
	return best.adapterOrder(now, model, adapter)
}

// adapterLoadsFull reports whether the upstream has as many adapter loads in
// flight as it takes at once.
func (h *host) adapterLoadsFull(now bootclock.Time) bool {
	h.adapterLoads = slices.DeleteFunc(h.adapterLoads, func(t bootclock.Time) bool { return now.Sub(t) > adapterLoadTime })
	return len(h.adapterLoads) >= maxAdapterLoads
}

// reserveAdapter occupies a slot for an adapter whose load is ordered now.
func (r *loadedModel) reserveAdapter(now bootclock.Time, id string) {
	delete(r.unloadedAt, id)
	r.adapters[id] = &adapter{lastUsed: now, orderedAt: now}
}

// removeAdapter records that an adapter has been unloaded.
func (r *loadedModel) removeAdapter(now bootclock.Time, id string) {
	delete(r.adapters, id)
	if r.unloadedAt == nil {
		r.unloadedAt = map[string]bootclock.Time{}
	}
	r.unloadedAt[id] = now
}

// adapterOrder orders the load of the adapter, or the unload of an idle adapter
// if there is no room. It waits if no adapter is idle.
func (h *host) adapterOrder(now bootclock.Time, model, adapter string) AdapterStep {
	m := h.engine.Models[model]
	if m == nil {
		return AdapterStep{}
	}
	o := Order{Model: model, Adapter: adapter}
	if h.adapterCount() >= h.engine.AdapterSlots || h.usedMB()+m.AdapterMB > h.engine.WeightsMB {
		idleModel, idle, ok := h.idleAdapter(now)
		if !ok {
			return AdapterStep{Wait: true}
		}
		o = Order{Model: idleModel, Adapter: idle, Unload: true}
	} else {
		h.models[model].reserveAdapter(now, adapter)
		h.adapterLoads = append(h.adapterLoads, now)
	}
	o.Upstream, o.Address, o.Started, o.Sequence = h.entry.ID, h.entry.Address, h.entry.Started, h.sequence
	h.adapter = &pending{order: o, sent: now, due: now.Add(adapterLoadTime)}
	return AdapterStep{Order: &o, Wait: o.Unload}
}

// idleAdapter returns the least recently used adapter among those that have not
// been used for adapterMinIdle.
func (h *host) idleAdapter(now bootclock.Time) (model, adapter string, ok bool) {
	var oldest bootclock.Time
	for name, r := range h.models {
		for id, a := range r.adapters {
			if now.Sub(a.lastUsed) >= adapterMinIdle && (!ok || a.lastUsed < oldest || (a.lastUsed == oldest && id < adapter)) {
				model, adapter, oldest, ok = name, id, a.lastUsed, true
			}
		}
	}
	return model, adapter, ok
}

// recordAdapterOutcome applies the upstream's answer to an order for an adapter.
func (h *host) recordAdapterOutcome(now bootclock.Time, o Order, outcome Outcome) {
	if h.adapter == nil || h.adapter.order != o {
		return
	}
	r := h.models[o.Model]
	if possiblyAccepted(outcome) {
		h.lastAccepted = now
	}
	if outcome == Accepted && o.Unload {
		// The adapter is in use: its slot stays occupied until a report no longer
		// lists it, and the upstream takes no other order meanwhile.
		h.sequence = max(h.sequence, o.Sequence+1)
		h.adapter.accepted = true
		return
	}
	switch outcome {
	case Accepted, Done:
		h.sequence = max(h.sequence, o.Sequence)
		if outcome == Accepted || o.Unload {
			h.sequence = max(h.sequence, o.Sequence+1)
		}
		h.completeAdapterOrder(now, o, outcome)
	case NotSent, Conflict, Refused, Fenced:
		if r != nil && !o.Unload {
			delete(r.adapters, o.Adapter)
		}
		h.blockedUntil = now.Add(conflictPause)
		h.needsReport = true
		h.reportRequested = 0
	default: // the order may still be executed: the slot stays occupied for now
		if r != nil && r.adapters[o.Adapter] != nil {
			r.adapters[o.Adapter].confirmed = false
		}
		h.needsReport = true
		h.reportRequested = 0
	}
	h.adapter = nil
}

// completeAdapterOrder records that an order for an adapter was executed or had
// nothing to do. An upstream gives the same answer to the unload of an adapter
// that it does not hold as to one that it executes, but does not advance its
// sequence number for it.
func (h *host) completeAdapterOrder(now bootclock.Time, o Order, outcome Outcome) {
	r := h.models[o.Model]
	if r == nil || r.adapters[o.Adapter] == nil {
		h.needsReport, h.sequenceDoubtful = true, true
		return
	}
	switch {
	case o.Unload && r.adapters[o.Adapter].confirmed:
		r.removeAdapter(now, o.Adapter)
	case o.Unload:
		delete(r.adapters, o.Adapter)
		h.needsReport, h.sequenceDoubtful = true, true
	default:
		r.adapters[o.Adapter].confirmed = true
		h.needsReport = h.needsReport || outcome == Done
	}
}

// finishAdapterUnload completes the unload of an adapter that was in use when a
// report no longer lists the adapter.
func (h *host) finishAdapterUnload(now bootclock.Time, r Report) {
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
		m.removeAdapter(now, p.order.Adapter)
	}
	h.adapter = nil
}

// AdapterLoadTime is the time from the answer to the load order of an adapter until
// the adapter is served.
const AdapterLoadTime = adapterLoadTime
