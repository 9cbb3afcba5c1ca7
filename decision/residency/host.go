package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// decay returns the factor by which a value with the given half-life shrinks
// during d.
func decay(d, halfLife time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }

// loadedModel is a model that an upstream serves.
type loadedModel struct {
	adapters map[string]*adapter
	// unloadedAt holds when adapters were unloaded, by name. A stale report of
	// the upstream may still list them.
	unloadedAt map[string]bootclock.Time
	lastUsed   bootclock.Time
	firstSeen  bootclock.Time
	retiring   bool           // chosen for eviction: not offered for new requests
	notifiedAt bootclock.Time // when the instances were notified of that, 0 before
}

// adapter is an adapter that occupies a slot at an upstream.
type adapter struct {
	lastUsed  bootclock.Time
	orderedAt bootclock.Time // 0 if this instance did not order it
	// confirmed is set when the upstream is known to hold the adapter. Other
	// adapters were listed by a report that may predate their unload.
	confirmed bool
}

// pending is an order that was sent and has not completed.
type pending struct {
	order    Order
	sent     bootclock.Time
	due      bootclock.Time // when it is expected to complete
	accepted bool
	// nominal is the duration of the load when no other runs. concurrent is the
	// number of loads from the weight store in flight when it was ordered,
	// including itself; 0 for a load from another source.
	nominal    time.Duration
	concurrent int
}

// finishedLoad is a load from the weight store that has completed.
type finishedLoad struct {
	took, nominal time.Duration
	concurrent    int
}

// host is the planner's state of one upstream that runs an engine.
type host struct {
	entry    *fleet.Upstream
	engine   *fleet.Engine
	models   map[string]*loadedModel
	copies   map[string]Source // fastest local copy of each model that the upstream keeps
	sequence int64
	// lastAccepted is the latest time at which an order may have been accepted.
	lastAccepted bootclock.Time
	order        *pending // pending order for a model
	adapter      *pending // pending order for an adapter
	needsReport  bool     // a report is required before the next order
	// sequenceDoubtful is set when sequence may be one too high. Only a report
	// that was requested after the last order then clears needsReport.
	sequenceDoubtful bool
	reportRequested  bootclock.Time // when a report was last requested
	blockedUntil     bootclock.Time // no order is sent before then
	// adapterLoads are the times of the recent load orders for adapters.
	adapterLoads []bootclock.Time
	// unloadedModels holds when the upstream confirmed unloads, by model. A stale
	// report may still list these models.
	unloadedModels map[string]bootclock.Time
	contribution   contribution // as counted in the planner's totals
	// announced are the models of the placement that Changes last returned, nil before the
	// first one.
	announced map[string][]string
	// finished is a load from the weight store that completed since the last
	// call of markChanged, nil if none did.
	finished *finishedLoad
}

func newHost(u *fleet.Upstream, e *fleet.Engine) *host {
	h := &host{entry: u, engine: e, models: map[string]*loadedModel{}, sequence: sequenceUnknown, needsReport: true}
	h.mergeModels(0, u.Models)
	h.updateCopies(u)
	return h
}

// sequenceUnknown is the sequence number before the first report.
const sequenceUnknown = -1

// mergeModels updates the state with the models that an upstream reports as
// served. Reports lag: what was loaded within the lag is kept even if it is not
// listed, so that used memory is never underestimated.
func (h *host) mergeModels(now bootclock.Time, models map[string][]string) {
	for name, at := range h.unloadedModels {
		if _, listed := models[name]; !listed {
			delete(h.unloadedModels, name)
			if h.blockedUntil == at.Add(UnloadTime) {
				h.blockedUntil = now // the unload has completed
			}
		}
	}
	for name, r := range h.models {
		if _, ok := models[name]; !ok && now.Sub(r.firstSeen) > reportLag {
			delete(h.models, name)
		}
	}
	for name, adapters := range models {
		r := h.models[name]
		if at, ok := h.unloadedModels[name]; ok && r == nil && now.Sub(at) <= reportLag {
			continue
		}
		if r == nil {
			r = &loadedModel{adapters: map[string]*adapter{}, lastUsed: now, firstSeen: now}
			h.models[name] = r
		}
		listed := map[string]bool{}
		for _, a := range adapters {
			a = adapterName(a)
			listed[a] = true
			if unloaded := r.unloadedAt[a]; r.adapters[a] == nil && (unloaded == 0 || now.Sub(unloaded) > adapterLag) {
				r.adapters[a] = &adapter{}
			}
		}
		for name, a := range r.adapters {
			if !listed[name] && (a.orderedAt == 0 || now.Sub(a.orderedAt) > adapterLag) {
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

func (h *host) updateCopies(u *fleet.Upstream) {
	if u.CopiesReported {
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

// observe applies a newer entry of the same run of the upstream.
func (h *host) observe(now bootclock.Time, u *fleet.Upstream) {
	h.entry = u
	h.updateCopies(u)
	h.reconcile(now, u.Models)
}

// applyReport applies a report that was requested at the time asked.
func (h *host) applyReport(now, requestedAt bootclock.Time, r Report) {
	if r.Disk != nil || r.Memory != nil {
		h.setCopies(r.Memory, r.Disk)
	}
	if p := h.order; p != nil && !p.accepted && requestedAt.After(p.sent) {
		switch {
		case r.Sequence > p.order.Sequence:
			p.accepted = true
		case !r.Busy && now.Sub(p.sent) > reportLag:
			// The order has not been executed. If it still arrives, the next
			// order with the same sequence number invalidates it.
			h.abandonOrder(now)
		}
	}
	stale := requestedAt.Sub(h.lastAccepted) <= reportLag
	h.needsReport = h.sequenceDoubtful && stale
	h.finishAdapterUnload(now, r)
	h.reconcile(now, r.Models)
	h.updateSequence(stale, r)
	if !stale {
		h.confirmAdapters(r)
	}
	if r.Busy && h.order == nil {
		// The upstream is executing an order that this instance did not send.
		h.blockedUntil = now.Add(retryAfter)
		h.needsReport = true
	}
	if h.order != nil && !h.order.accepted {
		h.needsReport = true
	}
	if h.order != nil && h.order.accepted {
		h.order.due = max(h.order.due, now.Add(retryAfter))
	}
}

// updateSequence applies the number of accepted orders from a report. A report
// that may predate the last order can't lower the number. A later report may:
// the number may have been assumed too high, because the answer to the unload of
// an adapter is the same whether it advances the number or there was nothing to
// unload.
func (h *host) updateSequence(stale bool, r Report) {
	if stale || h.order != nil {
		h.sequence = max(h.sequence, r.Sequence)
		return
	}
	h.sequence, h.sequenceDoubtful = r.Sequence, false
}

// confirmAdapters marks the adapters as confirmed that are listed by a report
// requested after the last order.
func (h *host) confirmAdapters(r Report) {
	for name, adapters := range r.Models {
		m := h.models[name]
		if m == nil {
			continue
		}
		for _, id := range adapters {
			if a := m.adapters[adapterName(id)]; a != nil {
				a.confirmed = true
			}
		}
	}
}

// recordUnload records that an upstream has accepted the unload of a model that
// runs no requests. The next load is ordered after UnloadTime without waiting
// for a report that no longer lists the model: if the unload is still in
// progress, the upstream rejects the load.
func (h *host) recordUnload(now bootclock.Time, model string) {
	delete(h.models, model)
	h.order = nil
	if h.unloadedModels == nil {
		h.unloadedModels = map[string]bootclock.Time{}
	}
	h.unloadedModels[model] = now
	h.blockedUntil = now.Add(UnloadTime)
}

// unloading returns the time since the latest confirmed unload of a model, and
// whether one may still be in progress. Until it completes, the adapters of the
// model may still occupy their slots.
func (h *host) unloading(now bootclock.Time) (time.Duration, bool) {
	latest, ok := time.Duration(0), false
	for _, at := range h.unloadedModels {
		if d := now.Sub(at); d <= reportLag && (!ok || d < latest) {
			latest, ok = d, true
		}
	}
	return latest, ok
}

// reconcile compares the models that an upstream reports as served with the
// pending order and completes the order if they show its effect.
func (h *host) reconcile(now bootclock.Time, models map[string][]string) {
	if p := h.order; p != nil {
		if _, holds := models[p.order.Model]; holds == p.order.Unload {
			return
		}
		h.sequence = max(h.sequence, p.order.Sequence+1)
		if !p.order.Unload {
			h.models[p.order.Model] = &loadedModel{adapters: map[string]*adapter{}, lastUsed: now, firstSeen: now}
			if p.concurrent > 0 {
				h.finished = &finishedLoad{took: now.Sub(p.sent), nominal: p.nominal, concurrent: p.concurrent}
			}
		} else {
			delete(h.models, p.order.Model)
		}
		h.order = nil
	}
	h.mergeModels(now, models)
}

// usedMB returns the memory in use in MB, including that of a load in progress.
func (h *host) usedMB() float64 {
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

// adapterCount returns the number of occupied adapter slots.
func (h *host) adapterCount() int {
	n := 0
	for _, r := range h.models {
		n += len(r.adapters)
	}
	return n
}

// source returns where the upstream would load a model from.
func (h *host) source(model string) Source { return h.copies[model] }

// loadTime returns the duration of a load from a source.
func loadTime(m *fleet.Model, s Source) time.Duration {
	switch {
	case s == FromMemory && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime
	case s != FromStore && m.DiskLoadTime > 0:
		return m.DiskLoadTime
	}
	return m.LoadTime
}

// busy reports whether the host can't take an order for a model now.
func (h *host) busy(now bootclock.Time) bool {
	return h.order != nil || h.adapter != nil || h.needsReport || h.sequence == sequenceUnknown || now.Before(h.blockedUntil) || h.retiring() != nil
}

func (h *host) retiring() *loadedModel {
	for _, r := range h.models {
		if r.retiring {
			return r
		}
	}
	return nil
}

// serves reports whether requests for a model may be sent to the host.
func (h *host) serves(model string) bool {
	r := h.models[model]
	return r != nil && !r.retiring && (h.order == nil || h.order.order.Model != model)
}

// serving returns the models, with their adapters, that the host accepts
// requests for.
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
