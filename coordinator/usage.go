package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// UsageTable has the leader's state of usage reports. It is apart from Table, which each
// contender for the lease reads.
const UsageTable = "hibiscusyard-usage"

// usageKey is the row of UsageTable with the state, or with its first part. Each write
// replaces it, under the condition that it is the one known, so that the others follow it.
const usageKey = "state"

const (
	// usageReportInterval is the shortest time between two reports of counts, except after
	// the end of a window.
	usageReportInterval = 800 * time.Millisecond
	// windowReportDelay is how long after the end of a window its last counts are reported,
	// and windowReportSpread the time, for each instance, over which the instances spread
	// these reports, at most maxWindowReportSpread.
	windowReportDelay     = 20 * time.Millisecond
	windowReportSpread    = 4 * time.Millisecond
	maxWindowReportSpread = 300 * time.Millisecond
	// usageNewsInterval is the longest time between two messages about true time to one
	// instance.
	usageNewsInterval = 2 * time.Second
	// usageSaveInterval is the shortest time between two writes of counts, for each row that
	// the state takes.
	usageSaveInterval = 500 * time.Millisecond
	// usageSavePause is the pause after a write of counts, times how long the store takes for
	// a write. The store carries out writes one after another, and a renewal of the lease
	// that waits behind others is lost where it is slow.
	usageSavePause = 10
	// usageSettle is how long after the begin of a term some instances may not be connected
	// yet, or true time may rest on few clocks.
	usageSettle = 2 * time.Second
	// usageReadRetry is the pause before the saved state is read again after a failure.
	usageReadRetry = 500 * time.Millisecond
	// usageRetry is the pause before a report is sent again that was not accepted, times the
	// attempts so far, at most maxUsageRetry; usageThrottled is that after too many calls.
	usageRetry     = 250 * time.Millisecond
	maxUsageRetry  = 2 * time.Second
	usageThrottled = time.Second
	// maxUsageRefusals is the number of refusals as invalid in a row after which a report is
	// given up, since it holds up those after it.
	maxUsageRefusals = 5
	// usageFinishTimeout bounds the last report or write of an instance that stops.
	usageFinishTimeout = 300 * time.Millisecond
	// usageStepInterval is the shortest time between two looks for what is due.
	usageStepInterval = 40 * time.Millisecond
	// maxUsageRow bounds the state in one row: 64 KiB with the encoding of the store.
	maxUsageRow = 40 << 10
)

// usageNews tells an instance about true time and decided windows.
type usageNews struct {
	True time.Duration `cbor:"1,keyasint,omitempty"` // when the message was sent
	// Held is the time from the receipt of the report whose time the heartbeat echoes.
	Held    time.Duration `cbor:"2,keyasint,omitempty"`
	Decided int64         `cbor:"3,keyasint,omitempty"` // windows before it have been decided
	// Resend asks for a full report.
	Resend bool `cbor:"4,keyasint,omitempty"`
}

// told is what an instance was last told.
type told struct {
	at      bootclock.Time
	decided int64
}

// usageState is what a leader needs for usage reports. Coordinator.mu guards it.
type usageState struct {
	ledger *usage.Ledger // nil if usage is not reported
	clocks *usage.Clocks
	token  uint64 // of the term
	told   map[string]told
	// loaded is set while the ledger has all that the store has, and kept once it has been
	// so in this term.
	loaded, kept, loading, saving, sending bool
	era                                    int64 // of the store when the state was loaded
	version                                int64 // of the row usageKey
	nextStep, nextLoad, nextSave, nextSend bootclock.Time
	lastSave                               bootclock.Time
	attempts                               int // to send the next report, in this term
	refusals                               int // of it as invalid, in a row
}

// initUsage prepares the usage reports if they are enabled.
func (c *Coordinator) initUsage() {
	if !c.config.Duties.Has(DutyUsage) {
		return
	}
	c.usage.ledger = usage.NewLedger(c.config.Duties.UsageWindow, c.config.Duties.API.UsageBody)
	c.usage.clocks = usage.NewClocks(c.client.clock)
	c.config.Metrics.GetOrCreateGauge("hibiscusyard_usage_windows_undecided", c.undecidedWindows)
}

// undecidedWindows returns the number of windows that have ended and that this instance, if
// it leads, has not decided.
func (c *Coordinator) undecidedWindows() float64 {
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || !c.usage.loaded {
		return 0
	}
	c.client.mu.Lock()
	at := c.client.clock.At(now)
	c.client.mu.Unlock()
	return float64(usage.WindowOf(at, c.config.Duties.UsageWindow) - c.usage.ledger.DecidedUpTo())
}

// startUsage begins a term. The caller holds mu.
func (c *Coordinator) startUsage() {
	u := &c.usage
	if u.ledger == nil {
		return
	}
	c.client.mu.Lock()
	u.clocks = usage.NewClocks(c.client.clock)
	c.client.mu.Unlock()
	u.token = c.lease.Token()
	u.ledger.StartTerm()
	u.told = map[string]told{}
	u.loaded, u.kept, u.loading, u.saving, u.sending = false, false, false, false, false
	u.nextLoad, u.nextSave, u.nextSend, u.attempts, u.refusals = 0, 0, 0, 0, 0
}

// usageLinkChanged records that a link to an instance came up or went down. The caller holds
// mu.
func (c *Coordinator) usageLinkChanged(instance string) {
	if c.usage.ledger != nil {
		c.usage.ledger.RecordLinkChange(instance)
		delete(c.usage.told, instance)
	}
}

// recordUsageReport takes over the report of an instance. The caller holds mu.
func (c *Coordinator) recordUsageReport(now bootclock.Time, from peer.Identity, report *usage.Report) {
	if c.usage.ledger == nil || report == nil {
		return
	}
	c.usage.clocks.Record(from.Instance, now, report.Wall)
	c.usage.ledger.Record(usage.RunOf(from.Instance, from.Incarnation), from.Instance, report)
}

// recordOwnUsage takes over the leader's own report.
func (c *Coordinator) recordOwnUsage(report *usage.Report) {
	if report == nil {
		return
	}
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return
	}
	c.recordUsageReport(now, peer.Identity{Instance: c.config.Instance, Incarnation: c.config.Boot}, report)
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.counter.Confirm(now)
}

// usageNewsFor returns what to tell an instance now, or nil. The caller holds mu.
func (c *Coordinator) usageNewsFor(now bootclock.Time, id peer.Identity, report instanceReport) *usageNews {
	u := &c.usage
	if u.ledger == nil {
		return nil
	}
	last, decided := u.told[id.Instance], int64(0)
	if u.loaded {
		decided = u.ledger.DecidedUpTo()
	}
	tellTime := report.received != 0 && now.Sub(last.at) >= usageNewsInterval
	resend := u.ledger.NeedsFull(usage.RunOf(id.Instance, id.Incarnation))
	if !tellTime && decided <= last.decided && !resend {
		return nil
	}
	news := &usageNews{Decided: decided, Resend: resend}
	next := told{at: last.at, decided: max(decided, last.decided)}
	c.client.mu.Lock()
	if tellTime && c.client.clock.Synced() {
		news.True, news.Held = c.client.clock.At(now), now.Sub(report.received)
		next.at = now
	}
	c.client.mu.Unlock()
	u.told[id.Instance] = next
	return news
}

// runUsage lets the leader decide, save and send what is due.
func (c *Coordinator) runUsage(ctx context.Context, now bootclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &c.usage
	if u.ledger == nil || !c.leading || !c.lease.Held(now) || now.Before(u.nextStep) {
		return
	}
	u.nextStep = now.Add(usageStepInterval)
	token := c.lease.Token()
	if u.token != token {
		c.startUsage() // a lease that had ended was taken again between two steps
	}
	// After another holder there is time until the first call.
	settled := now.Sub(c.leadingSince) >= usageSettle && c.lease.ordersAt.Sub(now) < usageSaveInterval
	at, known := c.trueTime(now, settled)
	if !known {
		return
	}
	linked := map[string]usage.Run{c.config.Instance: usage.RunOf(c.config.Instance, c.config.Boot)}
	for _, id := range c.hub.Connected() {
		linked[id.Instance] = usage.RunOf(id.Instance, id.Incarnation)
	}
	u.ledger.SetLinked(at, linked)
	if u.loaded && c.lease.Era() > u.era {
		u.loaded = false
	}
	switch {
	case u.saving || u.loading:
	case !u.loaded && now.Before(u.nextLoad):
	case !u.loaded:
		u.loading, u.nextLoad = true, now.Add(usageReadRetry)
		go c.loadUsage(token)
	default:
		var decisions []usage.Decision
		if settled {
			decisions = u.ledger.Decide(at, at-now.Sub(c.leadingSince))
		}
		if len(decisions) > 0 || u.ledger.Changed() && u.mayWriteCounts(now, c.lease.latency()) {
			c.saveUsage(now, decisions, token)
		}
	}
	if report, ok := u.ledger.Next(); ok && u.kept && !u.sending && !now.Before(u.nextSend) && c.lease.MayOrder(now) {
		u.sending = true
		go c.sendUsage(ctx, report, token)
	}
}

// trueTime returns the leader's estimate of true time, which becomes that of this instance.
// It is not known while it may rest on too few clocks. The caller holds mu.
func (c *Coordinator) trueTime(now bootclock.Time, settled bool) (time.Duration, bool) {
	connected := map[string]bool{c.config.Instance: true}
	for _, id := range c.hub.Connected() {
		connected[id.Instance] = true
	}
	c.usage.clocks.Keep(func(instance string) bool { return connected[instance] })
	if !c.usage.clocks.Ready() && !settled {
		return 0, false
	}
	at := c.usage.clocks.At(now)
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.clock.Sync(now, at, 0)
	return at, true
}

// loadUsage reads the saved state.
func (c *Coordinator) loadUsage(token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	page, err := c.config.Store.Read(ctx, UsageTable)
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.lease.Token() != token {
		return
	}
	u := &c.usage
	u.loading = false
	if err != nil {
		c.config.Log.WithError(err).Info("usage not read from the store; retrying")
		return
	}
	c.client.mu.Lock()
	at, announced, began := c.client.clock.At(now), c.client.usageDecided, c.leadingSince
	if known := c.client.leaderKnownSince; known != 0 {
		began = min(began, known) // an earlier leader may have ended before it saved anything
	}
	c.client.mu.Unlock()
	eraSince := at
	if c.lease.Era() == page.Era {
		eraSince -= now.Sub(c.lease.eraSince)
	}
	value, version := joinUsage(page.Rows)
	found := usage.Found{
		Value: value, Era: page.Era, EraSince: eraSince, Began: at - now.Sub(began), Kept: u.kept, Announced: announced,
	}
	first, last, err := u.ledger.Load(at, found)
	if err != nil {
		c.config.Log.WithError(err).Error("usage in the store can't be decoded")
		return
	}
	u.loaded, u.kept, u.era, u.version = true, true, page.Era, version
	if first <= last {
		c.logSkipped(first, last, token, "the store has lost what earlier leaders reported")
	}
	c.config.Log.WithFields(log.Fields{"decided": u.ledger.DecidedUpTo(), "bytes": len(value), "token": token}).Info("usage read from the store")
}

// mayWriteCounts reports whether counts may be written while the store takes as long as given
// for an answer. Decisions are written at once.
func (u *usageState) mayWriteCounts(now bootclock.Time, latency time.Duration) bool {
	return !now.Before(u.nextSave) && now.Sub(u.lastSave) >= usageSavePause*latency
}

// saveUsage writes the state with decisions, which are in force once they are written. The
// caller holds mu.
func (c *Coordinator) saveUsage(now bootclock.Time, decisions []usage.Decision, token uint64) {
	u := &c.usage
	changes := splitUsage(u.ledger.Encode(u.era, decisions), u.version)
	u.saving = true
	u.lastSave, u.nextSave = now, now.Add(time.Duration(len(changes))*usageSaveInterval)
	go c.writeUsage(changes, decisions, u.era, token)
}

func (c *Coordinator) writeUsage(changes []ports.Change, decisions []usage.Decision, era int64, token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Commit(ctx, changes...)
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Token() != token || !c.leading {
		return // the next term reads what was written
	}
	u := &c.usage
	u.saving = false
	u.nextSave = max(u.nextSave, now.Add(usageSavePause*now.Sub(sent)))
	if err == nil && page.Era != era {
		err = ports.ErrHistoryGone // the version has been given out again
	}
	if err != nil {
		// Whether the decisions are saved is settled by reading the state.
		u.loaded = false
		c.config.Log.WithError(err).Info("usage not written to the store; reading it again")
		return
	}
	u.version = page.Version
	c.client.mu.Lock()
	at := c.client.clock.At(now)
	c.client.mu.Unlock()
	for _, d := range u.ledger.Confirm(at, decisions) {
		c.logSkipped(d.Window, d.Window, token, "too many reports wait for the platform")
	}
	for _, d := range decisions {
		if d.Skipped {
			c.logSkipped(d.First, d.Last, token, "nothing is known of it")
		}
	}
	if len(decisions) > 0 {
		u.nextStep = 0
		c.client.mu.Lock()
		late := c.client.usageDecidedUpTo(u.ledger.DecidedUpTo())
		c.client.mu.Unlock()
		c.client.logLateUsage(late)
		c.Notify()
	}
}

func (c *Coordinator) logSkipped(first, last int64, token uint64, reason string) {
	c.config.Log.WithFields(log.Fields{"window": first, "last": last, "reason": reason, "token": token}).Warn("usage window skipped")
	c.config.Metrics.GetOrCreateCounter(`hibiscusyard_usage_reports_total{outcome="skipped"}`).Add(int(last - first + 1))
}

// sendUsage sends one report and records the result.
func (c *Coordinator) sendUsage(ctx context.Context, report usage.Decided, token uint64) {
	result, err := c.sendDuty(ctx, token, DutyUsage, func(ctx context.Context) (ports.DutyResult, error) {
		return c.config.Duties.API.ReportUsage(ctx, token, report.Body)
	})
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Token() != token || !c.leading {
		if result == ports.DutyAccepted {
			c.usage.ledger.Accept(report.Window)
		}
		return
	}
	u := &c.usage
	u.sending = false
	u.attempts++
	c.client.mu.Lock()
	after := c.client.clock.At(now) - time.Duration(report.Window+1)*c.config.Duties.UsageWindow
	c.client.mu.Unlock()
	entry := c.config.Log.WithFields(log.Fields{
		"window": report.Window, "total": report.Total, "workspaces": report.Workspaces, "heard": report.Heard, "missing": report.Missing,
		"after_ms": after.Milliseconds(), "attempts": u.attempts, "token": token, "outcome": result.String(),
	})
	if errors.Is(err, ports.ErrDutyRefused) {
		u.refusals++
	} else {
		u.refusals = 0
	}
	outcome := "accepted"
	switch late := c.config.Duties.UsageLate; {
	case u.refusals >= maxUsageRefusals:
		outcome = "refused"
	case result != ports.DutyAccepted:
		pause := min(time.Duration(u.attempts)*usageRetry, maxUsageRetry)
		if result == ports.DutyThrottled {
			pause = usageThrottled
		}
		u.nextSend = now.Add(pause)
		entry.WithError(err).Info("usage not reported; retrying")
		return
	case late > 0 && after > late:
		outcome = "late"
	}
	c.config.Metrics.GetOrCreateCounter(`hibiscusyard_usage_reports_total{outcome="` + outcome + `"}`).Inc()
	if outcome == "refused" {
		entry.WithError(err).Error("usage report given up: the platform refuses it")
	} else {
		entry.Info("usage reported")
	}
	u.ledger.Accept(report.Window)
	u.attempts, u.refusals, u.nextStep = 0, 0, 0
	c.Notify()
}

// finishUsage passes on the last counts of an instance that stops: to the leader, or to the
// store if it leads itself.
func (c *Coordinator) finishUsage() {
	l := c.client
	if l.counter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageFinishTimeout)
	defer cancel()
	now := bootclock.Now()
	l.mu.Lock()
	leader, final := l.leader, l.counter.Final(now, l.clock, c.config.WallClock())
	l.mu.Unlock()
	var err error
	switch leader {
	case "":
		return
	case c.config.Instance:
		c.recordOwnUsage(final)
		c.mu.Lock()
		changes := splitUsage(c.usage.ledger.Encode(c.usage.era, nil), c.usage.version)
		due := c.leading && c.usage.loaded && !c.usage.saving && c.lease.Held(now)
		c.mu.Unlock()
		if due {
			_, err = c.config.Store.Commit(ctx, changes...)
		}
	default:
		err = c.hub.Notify(ctx, leader, peer.KindDemandReport, instanceReport{
			Sent: now, Versions: l.versions(), Weak: c.config.Weak, Uptime: bootclock.Since(c.started), Resigned: true, Usage: final,
		})
	}
	if err != nil {
		c.config.Log.WithError(err).Info("last usage not passed on")
	}
}
