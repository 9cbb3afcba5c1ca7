package emulator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// effect is what a kind of fault does.
type effect struct {
	upstream bool // needs a target
	lasts    bool // needs a time
	// apply brings the fault about and, if it lasts, ends it.
	apply func(ctx context.Context, w *World, f *Fault) error
}

// faultKinds are the kinds of faults that a scenario may have.
var faultKinds = map[string]effect{
	"store_outage": {lasts: true, apply: func(ctx context.Context, w *World, f *Fault) error {
		return w.storeFaults(ctx, f, standin.Faults{Outage: standin.OutageClose})
	}},
	"store_slow": {lasts: true, apply: func(ctx context.Context, w *World, f *Fault) error {
		return w.storeFaults(ctx, f, standin.Faults{Latency: f.Delay})
	}},
	"store_history_lost": {apply: func(_ context.Context, w *World, _ *Fault) error {
		w.store.Forget()
		return nil
	}},
	"upstream_crash": {upstream: true, lasts: true, apply: func(ctx context.Context, w *World, f *Fault) error {
		return w.upstreams[f.Target].Outage(ctx, f.For.Std())
	}},
	"upstream_drain": {upstream: true, apply: func(_ context.Context, w *World, f *Fault) error {
		return w.upstreams[f.Target].Leave()
	}},
	"upstream_full":      failing(userplatform.TurnedAway),
	"upstream_reset":     failing(userplatform.ResetBefore),
	"upstream_lost":      failing(userplatform.ResetAfter),
	"upstream_error":     failing(userplatform.ErrorAnswer),
	"upstream_cut":       failing(userplatform.CutStream),
	"upstream_foreign":   failing(userplatform.ForeignFirst),
	"upstream_endless":   failing(userplatform.EndlessHead),
	"upstream_pours":     failing(userplatform.EndlessBody),
	"upstream_stalls":    failing(userplatform.Dribble),
	"orders_unanswered":  {upstream: true, apply: loseOrders},
	"instance_replaced":  {apply: func(ctx context.Context, w *World, _ *Fault) error { return w.replaceInstance(ctx) }},
	"upstream_slow_down": {upstream: true, lasts: true, apply: slowDown},
}

// slowFactor is how much longer the work of a slow upstream takes.
const slowFactor = 5

func failing(fault userplatform.Fault) effect {
	return effect{upstream: true, apply: func(_ context.Context, w *World, f *Fault) error {
		w.upstreams[f.Target].Fail(slices.Repeat([]userplatform.Fault{fault}, f.Count)...)
		return nil
	}}
}

func loseOrders(_ context.Context, w *World, f *Fault) error {
	if e := w.upstreams[f.Target].Engine; e != nil {
		e.LoseOrders(f.Count)
	}
	return nil
}

func slowDown(ctx context.Context, w *World, f *Fault) error {
	u := w.upstreams[f.Target]
	events, work := u.Pace()
	u.SetPace(events, slowFactor*work)
	duration.Sleep(ctx, f.For.Std())
	u.SetPace(events, work)
	return nil
}

func (w *World) storeFaults(ctx context.Context, f *Fault, faults standin.Faults) error {
	w.store.Gate().SetFaults(faults)
	duration.Sleep(ctx, f.For.Std())
	w.store.Gate().SetFaults(standin.Faults{})
	return nil
}

func faultNames() string { return strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", ") }

// applyFaults applies the faults of the scenario at their times and returns
// when all have ended.
func (w *World) applyFaults(ctx context.Context, started time.Time) {
	done := make(chan struct{}, len(w.scenario.Faults))
	for i := range w.scenario.Faults {
		f := &w.scenario.Faults[i]
		go func() {
			defer func() { done <- struct{}{} }()
			if !duration.Sleep(ctx, time.Until(started.Add(f.At.Std()))) {
				return
			}
			entry := w.log.WithFields(log.Fields{"fault": f.Kind, "target": f.Target})
			entry.Info("fault begins")
			if err := faultKinds[f.Kind].apply(ctx, w, f); err != nil {
				entry.WithError(err).Error("fault not applied")
			}
			entry.Info("fault ends")
		}()
	}
	for range w.scenario.Faults {
		<-done
	}
}
