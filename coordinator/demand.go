package coordinator

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// modelDemand counts this instance's requests for one model.
type modelDemand struct {
	arrived   int
	refused   int                    // for lack of capacity, counted only where upstreams can be ordered
	deadlines map[int]bootclock.Time // of waiting requests, by wait ID
	running   map[string]int
	adapters  map[string]int // running requests by adapter; 0 if only used since the last report
}

// removesModelInUse reports whether a placement drops a model for which this instance
// has running requests at the upstream. The demand is then reported at once, as the
// leader's last report may be too old to show these requests. The caller holds mu.
func (l *Client) removesModelInUse(p residency.Placement) bool {
	before, ok := l.placements[p.Upstream]
	if !ok || before.Started != p.Started {
		return false
	}
	for k, n := range l.demands {
		if n.running[p.Upstream] == 0 {
			continue
		}
		_, was := before.Models[k.model]
		if _, is := p.Models[k.model]; was && !is {
			return true
		}
	}
	return false
}

func hasModel(v *fleet.View, service, model string) bool {
	if v.Config == nil {
		return false
	}
	s := v.Config.Services[service]
	return s != nil && s.Engine != nil && s.Engine.Models[model] != nil
}

// reportSoon triggers a demand report after demandBatchDelay.
func (l *Client) reportSoon() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

func (l *Client) demandFor(service, model string) *modelDemand {
	k := modelKey{service, model}
	n := l.demands[k]
	if n == nil {
		n = &modelDemand{deadlines: map[int]bootclock.Time{}, running: map[string]int{}, adapters: map[string]int{}}
		l.demands[k] = n
	}
	return n
}

// RecordWaiting implements gateway.Placement. Models that the service does not have are not
// recorded: callers choose the names, and the leader keeps what it hears of.
func (l *Client) RecordWaiting(service, model string, deadline bootclock.Time) func() {
	if !hasModel(l.c.config.View(), service, model) {
		return func() {}
	}
	l.mu.Lock()
	n := l.demandFor(service, model)
	l.nextWaitID++
	id := l.nextWaitID
	n.deadlines[id] = deadline
	n.arrived++
	l.mu.Unlock()
	l.reportSoon()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(n.deadlines, id)
	}
}

// RecordRunning implements gateway.Placement.
func (l *Client) RecordRunning(service, model, adapter, upstream string) func() {
	config := l.c.config.View().Config
	admitted := config != nil && config.Services[service].Admitted()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.demandFor(service, model)
	n.arrived++
	n.running[upstream]++
	if adapter != "" {
		n.adapters[adapter]++
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if adapter != "" {
			n.adapters[adapter]--
		}
		if n.running[upstream]--; n.running[upstream] == 0 {
			delete(n.running, upstream)
		}
		if admitted {
			l.reportSoon() // another request may have the place
		}
	}
}

// RecordRefused implements gateway.Placement.
func (l *Client) RecordRefused(service, model string) {
	if !l.c.config.Duties.Has(DutyScaling) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demandFor(service, model).refused++
}

// reportDemand reports the demand to the leader, regularly and on reportSoon, until ctx
// ends.
func (l *Client) reportDemand(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	var windowEnd <-chan time.Time // never, unless usage is reported
	if l.counter != nil {
		windowEnd = time.After(l.untilWindowReport())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-windowEnd:
			windowEnd = time.After(l.untilWindowReport())
			if !l.usageDue() {
				continue // an earlier report has shown that the window is complete
			}
		case <-l.urgent:
			if !duration.Sleep(ctx, demandBatchDelay) {
				return
			}
		}
		if err := l.report(ctx); err != nil {
			l.c.config.Log.WithError(err).Debug("demand not reported to the leader")
			l.mu.Lock()
			l.resetUsage()
			l.mu.Unlock()
		}
	}
}

func (l *Client) report(ctx context.Context) error {
	r, leader, due := l.collectReport()
	if !due || leader == "" {
		return nil
	}
	if leader == l.c.config.Instance {
		l.c.recordOwnUsage(r.Usage)
		l.c.recordDemand(leader, r.Demands, r.Paces)
		if r.Evidence != nil {
			l.c.evidenceChanged()
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	r.Sent, r.Versions, r.Weak = bootclock.Now(), l.versions(), l.c.config.Weak
	r.Uptime, r.Resigned = bootclock.Since(l.c.started), l.c.hasResigned()
	return l.c.hub.Notify(ctx, leader, peer.KindDemandReport, r)
}

// collectReport returns what has come since the last report, the leader, and whether a
// report is due. After a report with demand, one report without demand is sent to clear it.
func (l *Client) collectReport() (r instanceReport, leader string, due bool) {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, n := range l.demands {
		d := residency.ModelDemand{Service: k.service, Model: k.model, Arrived: n.arrived, Refused: n.refused, Waiting: len(n.deadlines), Running: map[string]int{}}
		for _, deadline := range n.deadlines {
			if left := deadline.Sub(now); d.UntilDeadline == 0 || left < d.UntilDeadline {
				d.UntilDeadline = left
			}
		}
		for id, running := range n.running {
			d.Running[id] = running
		}
		if d.Arrived == 0 && d.Refused == 0 && d.Waiting == 0 && len(d.Running) == 0 {
			delete(l.demands, k) // callers choose the names of models
			continue
		}
		n.arrived, n.refused = 0, 0
		for id, running := range n.adapters {
			d.Adapters = append(d.Adapters, id)
			if running == 0 {
				delete(n.adapters, id)
			}
		}
		r.Demands = append(r.Demands, d)
	}
	r.Evidence, r.Usage = l.evidence(now), l.usageReport(now)
	due = len(r.Demands) > 0 || r.Evidence != nil || r.Usage != nil || l.reportedDemand || now.Sub(l.reportedAt) >= maxReportInterval
	l.reportedDemand = len(r.Demands) > 0
	if due {
		l.reportedAt, r.Paces = now, l.takePaces()
	}
	return r, l.leader, due
}
