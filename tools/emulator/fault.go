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

// effect describes how a kind of fault is injected.
type effect struct {
	needsTarget   bool // the fault requires Target
	needsDuration bool // the fault requires For
	// apply injects the fault. A fault with a duration has ended when apply
	// returns.
	apply func(ctx context.Context, w *Deployment, f *Fault) error
}

// faultKinds maps the fault kinds of a scenario to their effects.
var faultKinds = map[string]effect{
	"store_outage": {needsDuration: true, apply: func(ctx context.Context, w *Deployment, f *Fault) error {
		return w.storeFaults(ctx, f, standin.Faults{Outage: standin.OutageClose})
	}},
	"store_slow": {needsDuration: true, apply: func(ctx context.Context, w *Deployment, f *Fault) error {
		return w.storeFaults(ctx, f, standin.Faults{Latency: f.Delay})
	}},
	"store_history_lost": {apply: func(_ context.Context, w *Deployment, _ *Fault) error {
		w.store.DiscardHistory()
		return nil
	}},
	"upstream_crash": {needsTarget: true, needsDuration: true, apply: func(ctx context.Context, w *Deployment, f *Fault) error {
		return w.upstreams[f.Target].Outage(ctx, f.For.Std())
	}},
	"upstream_drain": {needsTarget: true, apply: func(_ context.Context, w *Deployment, f *Fault) error {
		return w.upstreams[f.Target].Drain()
	}},
	"upstream_full":     requestFault(userplatform.RefusedAtCapacity),
	"upstream_reset":    requestFault(userplatform.ResetBefore),
	"upstream_lost":     requestFault(userplatform.ResetAfter),
	"upstream_error":    requestFault(userplatform.ErrorResponse),
	"upstream_cut":      requestFault(userplatform.CutStream),
	"upstream_foreign":  requestFault(userplatform.ForeignResponseFirst),
	"upstream_endless":  requestFault(userplatform.EndlessHeader),
	"upstream_pours":    requestFault(userplatform.EndlessBody),
	"upstream_stalls":   requestFault(userplatform.StalledStream),
	"orders_unanswered": {needsTarget: true, apply: loseOrders},
	"instance_replaced": {apply: func(ctx context.Context, w *Deployment, _ *Fault) error { return w.replaceInstance(ctx) }},
	"upstream_limited": {needsTarget: true, needsDuration: true, apply: func(ctx context.Context, w *Deployment, f *Fault) error {
		u := w.upstreams[f.Target]
		u.NameLimit(f.Rate)
		duration.Sleep(ctx, f.For.Std())
		u.StopNamingLimit()
		return nil
	}},
	"store_restored": {needsDuration: true, apply: func(_ context.Context, w *Deployment, f *Fault) error {
		w.store.RestoreDrill(f.For.Std(), f.Age.Std(), rewriteAfter)
		return nil
	}},
	"upstream_turns_away": {needsTarget: true, needsDuration: true, apply: func(ctx context.Context, w *Deployment, f *Fault) error {
		w.upstreams[f.Target].TurnAway(f.For.Std())
		duration.Sleep(ctx, f.For.Std())
		return nil
	}},
	"upstream_says_leaving": {needsTarget: true, apply: func(_ context.Context, w *Deployment, f *Fault) error {
		w.upstreams[f.Target].SayLeaving()
		return nil
	}},
	"part_crashes":       {needsDuration: true, apply: crashOnPart},
	"upstream_slow_down": {needsTarget: true, needsDuration: true, apply: slowDown},
}

// slowFactor multiplies the processing time of a slowed upstream.
const slowFactor = 5

const (
	// rewriteAfter is the time after which the operator and the upstreams write again what
	// the store has lost.
	rewriteAfter = 300 * time.Millisecond
	// crashDowntime is how long an engine is down after a crash.
	crashDowntime = 3 * time.Second
)

// crashOnPart lets all engines crash on a part of prompts for the duration of the fault.
func crashOnPart(ctx context.Context, w *Deployment, f *Fault) error {
	setPart := func(part string) {
		for _, u := range w.upstreams {
			if u.Engine != nil {
				u.CrashOnPart(part, crashDowntime)
			}
		}
	}
	setPart(f.Part)
	duration.Sleep(ctx, f.For.Std())
	setPart("")
	return nil
}

func requestFault(fault userplatform.Fault) effect {
	return effect{needsTarget: true, apply: func(_ context.Context, w *Deployment, f *Fault) error {
		w.upstreams[f.Target].Fail(slices.Repeat([]userplatform.Fault{fault}, f.Count)...)
		return nil
	}}
}

func loseOrders(_ context.Context, w *Deployment, f *Fault) error {
	if e := w.upstreams[f.Target].Engine; e != nil {
		e.LoseOrderResponses(f.Count)
	}
	return nil
}

func slowDown(ctx context.Context, w *Deployment, f *Fault) error {
	u := w.upstreams[f.Target]
	events, work := u.Pace()
	u.SetPace(events, slowFactor*work)
	duration.Sleep(ctx, f.For.Std())
	u.SetPace(events, work)
	return nil
}

func (w *Deployment) storeFaults(ctx context.Context, f *Fault, faults standin.Faults) error {
	w.store.Gate().SetFaults(faults)
	duration.Sleep(ctx, f.For.Std())
	w.store.Gate().SetFaults(standin.Faults{})
	return nil
}

func faultNames() string { return strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", ") }

// applyFaults injects the faults of the scenario at their times. It returns
// when all have ended or ctx is cancelled.
func (w *Deployment) applyFaults(ctx context.Context, started time.Time) {
	done := make(chan struct{}, len(w.scenario.Faults))
	for i := range w.scenario.Faults {
		f := &w.scenario.Faults[i]
		go func() {
			defer func() { done <- struct{}{} }()
			if !duration.Sleep(ctx, time.Until(started.Add(f.At.Std()))) {
				return
			}
			entry := w.log.WithFields(log.Fields{"fault": f.Kind, "target": f.Target})
			entry.Info("fault injection started")
			if err := faultKinds[f.Kind].apply(ctx, w, f); err != nil {
				entry.WithError(err).Error("fault injection failed")
			}
			entry.Info("fault injection ended")
		}()
	}
	for range w.scenario.Faults {
		<-done
	}
}
