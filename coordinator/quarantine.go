package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// quarantineKey is the row with the verdicts, for instances that start while no other
// one runs.
const quarantineKey = "quarantine"

// evidenceRepeat is how long new evidence is part of each report to the leader, so that
// a lost report loses none.
const evidenceRepeat = 2 * time.Second

const (
	// saveRetry is the pause after a failed write of the row with the verdicts.
	saveRetry = time.Second
	// unsaved is the value of savedVerdicts after a failed write.
	unsaved = "unsaved"
)

// takeTrialRequest asks the leader for one request with a quarantined cause.
type takeTrialRequest struct{ quarantine.Cause }

// Blocked implements gateway.Quarantine.
func (l *Client) Blocked(now bootclock.Time, causes []quarantine.Cause) (quarantine.Cause, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quarantine.Blocked(now, causes)
}

// MayRepeat implements gateway.Quarantine.
func (l *Client) MayRepeat(causes []quarantine.Cause) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quarantine.MayRepeat(bootclock.Now(), causes)
}

// RecordCrash implements gateway.Quarantine. The leader is told at once.
func (l *Client) RecordCrash(u *fleet.Upstream, causes []quarantine.Cause) {
	l.mu.Lock()
	added := l.quarantine.RecordCrash(bootclock.Now(), quarantine.Run{Upstream: u.ID, Started: u.Started}, causes)
	if added {
		l.evidenceAt = bootclock.Now()
	}
	l.mu.Unlock()
	if added {
		l.c.config.Log.WithFields(log.Fields{"upstream": u.ID, "causes": fmt.Sprint(causes)}).Info("upstream crashed during a request")
		l.reportSoon()
	}
}

// RecordSuccess implements gateway.Quarantine.
func (l *Client) RecordSuccess(causes []quarantine.Cause, began bootclock.Time) {
	l.mu.Lock()
	wanted := l.quarantine.RecordSuccess(causes, began)
	if wanted {
		l.evidenceAt = bootclock.Now()
	}
	l.mu.Unlock()
	if wanted {
		l.reportSoon()
	}
}

// TakeTrial implements gateway.Quarantine. It fails if there is no leader.
func (l *Client) TakeTrial(ctx context.Context, cause quarantine.Cause) (quarantine.Trial, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	trial, err := callLeader(ctx, l, peer.KindTakeTrial, takeTrialRequest{cause}, l.c.takeTrial)
	if err == nil && trial.Released {
		l.mu.Lock()
		l.quarantine.Forget(cause)
		l.mu.Unlock()
	}
	return trial, err
}

// takeTrial grants a trial if this instance leads, since no other one grants trials until
// the lease ends.
func (c *Coordinator) takeTrial(_ context.Context, req takeTrialRequest) (quarantine.Trial, error) {
	now := bootclock.Now()
	c.mu.Lock()
	leads := c.leading && c.lease.Held(now)
	if leads {
		c.sentEntries, c.quarantineChanged = "", true // the others learn when the next trial is due
	}
	c.mu.Unlock()
	if !leads {
		return quarantine.Trial{}, errNotLeading
	}
	defer c.Notify()
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	return c.client.quarantine.TakeTrial(now, req.Cause), nil
}

// evidence returns what the next report tells the leader: new evidence, and all of it
// after a change of the leader. The caller holds mu.
func (l *Client) evidence(now bootclock.Time) *quarantine.Evidence {
	var e quarantine.Evidence
	switch {
	case now.Sub(l.leaderSince) < evidenceRepeat:
		e = l.quarantine.Evidence(now, 0)
		e.Entries = l.quarantine.Verdicts(now)
	case now.Sub(l.evidenceAt) < evidenceRepeat:
		e = l.quarantine.Evidence(now, now.Add(-evidenceRepeat))
	}
	if e.Empty() {
		return nil
	}
	return &e
}

// noEvidence reports whether this instance knows nothing against any cause of crashes.
func (l *Client) noEvidence() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quarantine.NoEvidence()
}

// recordEvidence adds what another instance reports, if this instance leads.
func (c *Coordinator) recordEvidence(e *quarantine.Evidence) {
	if e == nil {
		return
	}
	c.client.mu.Lock()
	changed := c.client.quarantine.Apply(bootclock.Now(), *e)
	c.client.mu.Unlock()
	if changed {
		c.evidenceChanged()
	}
}

// evidenceChanged makes the next step judge the evidence.
func (c *Coordinator) evidenceChanged() {
	c.mu.Lock()
	c.quarantineChanged = true
	c.mu.Unlock()
	c.Notify()
}

// judge quarantines causes of crashes. The leader knows the evidence of all instances and passes the
// result on; other instances judge by their own while there is no leader.
func (c *Coordinator) judge(now bootclock.Time) {
	c.mu.Lock()
	leads, changed := c.leading, c.quarantineChanged
	c.quarantineChanged = false
	c.mu.Unlock()
	if !leads && (c.client.leaderAlive(now) || c.client.noEvidence()) {
		return
	}
	c.client.mu.Lock()
	found := c.client.quarantine.Judge(now)
	entries := c.client.quarantine.Entries(now)
	if len(found) > 0 {
		c.client.broadcast()
	}
	c.client.mu.Unlock()
	for _, cause := range found {
		message, counter := "prompt part quarantined", `hibiscusyard_quarantined_parts_total`
		if cause.Kind == quarantine.WholeRequest {
			message, counter = "request quarantined", `hibiscusyard_quarantined_requests_total`
		}
		c.config.Log.WithFields(log.Fields{"cause": cause.String(), "leader": leads}).Warn(message)
		c.config.Metrics.GetOrCreateCounter(counter).Inc()
	}
	if !leads {
		return
	}
	news := c.quarantineNews(now, entries)
	if news != nil {
		c.sendToAll(news)
	}
	if news != nil || changed {
		c.saveVerdicts(now)
	}
}

// quarantineNews returns the leader's message to all instances about causes of crashes, and
// about the crashes that it has observed itself, nil if there is nothing new.
func (c *Coordinator) quarantineNews(now bootclock.Time, entries []quarantine.Entry) *update {
	signature := quarantine.Signature(entries)
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.client.observedCrashes(now, c.sentCrashesAt)
	if signature == c.sentEntries && len(crashes) == 0 {
		return nil
	}
	c.sentEntries, c.sentCrashesAt = signature, now
	return &update{Token: c.lease.Token(), Quarantine: entries, HasQuarantine: true, Crashes: crashes}
}

// entries returns what the leader knows of causes of crashes.
func (l *Client) entries(now bootclock.Time) []quarantine.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quarantine.Entries(now)
}

// observedCrashes returns the crashes that this instance has recorded itself since a time.
func (l *Client) observedCrashes(now, since bootclock.Time) []quarantine.CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quarantine.Observed(now, since)
}

// startJudging makes the crashes that this instance has kept part of the evidence that it
// judges as a new leader, once the instances have had time to report.
func (l *Client) startJudging(now bootclock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quarantine.Apply(now, l.quarantine.Evidence(now, 0))
	l.quarantine.AwaitReports(now)
}

// applyEntries takes over the leader's verdicts. The caller holds mu.
func (l *Client) applyEntries(now bootclock.Time, entries []quarantine.Entry) {
	changed, asked := l.quarantine.Adopt(now, entries)
	if changed {
		l.broadcast()
	}
	if asked {
		l.evidenceAt = now
		l.reportSoon()
	}
}

// savedVerdict is a verdict as stored in the row, with its times on the store's clock.
type savedVerdict struct {
	// Part is the ID of the cause, which may be a whole request.
	Part    string          `json:"part"`
	Kind    quarantine.Kind `json:"kind,omitempty"`
	Strikes int             `json:"strikes"`
	Until   time.Duration   `json:"until_ns"`
	// Crashed is when the last crash happened that counts against the cause. A later
	// success ends the verdict, whenever the row is read. 0 in rows of earlier versions.
	Crashed time.Duration `json:"crashed_ns,omitempty"`
}

// saveVerdicts writes the row if the verdicts have changed since it was written.
func (c *Coordinator) saveVerdicts(now bootclock.Time) {
	c.client.mu.Lock()
	verdicts := c.client.quarantine.Verdicts(now)
	c.client.mu.Unlock()
	c.mu.Lock()
	clock := c.lease.StoreClock(now)
	c.mu.Unlock()
	value := encodeVerdicts(clock, verdicts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if string(value) == c.savedVerdicts || len(verdicts) == 0 && c.savedVerdicts == "" {
		return
	}
	c.savedVerdicts = string(value)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if _, err := c.config.Store.Commit(ctx, ports.Change{Table: Table, Key: quarantineKey, Value: value, Unconditional: true}); err != nil {
			c.config.Log.WithError(err).Warn("quarantine not written to the store; retrying")
			time.AfterFunc(saveRetry, func() {
				c.mu.Lock()
				c.savedVerdicts, c.quarantineChanged = unsaved, true
				c.mu.Unlock()
				c.Notify()
			})
		}
	}()
}

func encodeVerdicts(clock time.Duration, verdicts []quarantine.Entry) []byte {
	list := make([]savedVerdict, 0, len(verdicts))
	for _, e := range verdicts {
		list = append(list, savedVerdict{
			Part: e.ID, Kind: e.Kind, Strikes: e.Strikes, Until: (clock + e.Remaining).Round(time.Second),
			// Rounded up, so that no success before the crash counts.
			Crashed: (clock - e.Age).Truncate(time.Second) + time.Second,
		})
	}
	value, err := json.Marshal(list)
	if err != nil {
		panic(err) // the list consists of plain fields
	}
	return value
}

// applySavedVerdicts takes over the verdicts in the row.
func (c *Coordinator) applySavedVerdicts(page ports.Page) {
	for _, row := range page.Rows {
		if row.Table != Table || row.Key != quarantineKey || row.Deleted {
			continue
		}
		var list []savedVerdict
		if err := json.Unmarshal(row.Value, &list); err != nil {
			c.config.Log.WithError(err).Warn("row with the quarantine can't be decoded")
			return
		}
		entries := make([]quarantine.Entry, 0, len(list))
		for _, v := range list {
			e := quarantine.Entry{Cause: quarantine.Cause{ID: v.Part, Kind: v.Kind}, Strikes: v.Strikes, Remaining: max(v.Until-page.Clock, 0)}
			if v.Crashed > 0 {
				e.Age = max(page.Clock-v.Crashed, 0)
			}
			entries = append(entries, e)
		}
		now := bootclock.Now()
		c.client.mu.Lock()
		if c.client.quarantine.Merge(now, entries) {
			c.client.broadcast()
		}
		c.client.mu.Unlock()
	}
}
