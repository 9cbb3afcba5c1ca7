package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// feedSlack is added to the wait of a feed call to give its timeout.
	feedSlack = 1200 * time.Millisecond
	// readTimeout bounds the read of a whole table.
	readTimeout = 2 * time.Second
	// retryPause is the pause after a failed call, on the leader and in small
	// systems. In larger systems the instances together make about retriesPerPause
	// attempts in it, and each instance at least one per maxRetryPause: refused
	// calls are billed as well, and the leader relays to the others once the store
	// answers again.
	retryPause      = 200 * time.Millisecond
	retriesPerPause = 8
	maxRetryPause   = time.Second
	// feedPausePerInstance lengthens the pause between feed calls with the number
	// of instances while there is no leader: each change of a busy table would
	// otherwise cost one call per instance. All instances together make about 250
	// calls per second and table.
	feedPausePerInstance = 4 * time.Millisecond
	// feedWaitPerInstance does the same for the wait of feed calls without a change.
	feedWaitPerInstance = 5 * time.Millisecond
	// maxFeedPauseShare and maxFeedWaitShare limit both, as shares of the shortest
	// bound.
	maxFeedPauseShare = 0.25
	maxFeedWaitShare  = 0.35
	// relayCheckInterval is the time between checks whether the relay is still fresh.
	relayCheckInterval = 100 * time.Millisecond
)

// watcher keeps a copy of one table of the store up to date: through the leader's
// relay while that is fresh, otherwise by its own feed calls.
type watcher struct {
	store ports.RowStore
	table string
	// wait is the minimum time a feed call stays open without a change, changePause
	// the minimum pause after a change, which batches changes close together.
	wait, changePause time.Duration
	// applyRow applies one row and reports whether the change is relevant to
	// requests. Calls are serialised; the rows of one key come in version order.
	applyRow func(row ports.VersionedRow) (relevant bool)
	// onAnswer is called after each answer, with whether any row has changed.
	onAnswer func(changed bool)
	// feeders returns how many instances make feed calls for the table while there
	// is no relay: 1 on the leader, which relays to the others. Nil means 1.
	feeders func() int
	// shortestBound is the time within which an instance must act on a change.
	shortestBound time.Duration
	// relayFresh reports whether the leader's relay of the table is up to date.
	relayFresh func(now bootclock.Time) bool
	log        log.Interface

	applyMu sync.Mutex // serialises calls of applyRow

	mu          sync.Mutex
	rows        map[string]watchedRow // newest known version by key, deleted rows included
	baseline    int64                 // rows has all changes after this version
	version     int64                 // rows is complete up to this version
	synced      bool
	currentAt   bootclock.Time // rows had the newest state at this time; 0 if none was read
	clock       storeClock
	era         int64          // of the store, 0 before the first answer
	restoredAt  bootclock.Time // when the store was last seen to have come back from a copy; 0 if never
	failing     bool
	failedAt    bootclock.Time // first failure of the current or last outage
	recoveredAt bootclock.Time // end of the last outage
}

// watchedRow is a row and the version of its last change relevant to requests.
type watchedRow struct {
	ports.VersionedRow
	relevantVersion int64
	// earlier holds previous values, newest first, if they are large: changes of
	// such rows are relayed as differences.
	earlier []ports.VersionedRow
}

const (
	// largeValueBytes is the size above which earlier values of a row are kept, at
	// most maxEarlierValues: the desired state has 250 KB in a large deployment.
	largeValueBytes  = 4 << 10
	maxEarlierValues = 3
)

// withChange returns the watched row after a change to row. A large previous value
// is added to earlier.
func (r watchedRow) withChange(row ports.VersionedRow, relevantVersion int64) watchedRow {
	next := watchedRow{VersionedRow: row, relevantVersion: relevantVersion}
	if len(r.Value) > largeValueBytes {
		next.earlier = append([]ports.VersionedRow{r.VersionedRow}, r.earlier...)
		next.earlier = next.earlier[:min(len(next.earlier), maxEarlierValues)]
	}
	return next
}

// Table returns the name of the table.
func (w *watcher) Table() string { return w.table }

// Known reports whether the table has ever been read.
func (w *watcher) Known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentAt != 0
}

// Age returns the time since the table was last known to be current, one hour if
// it has never been read.
func (w *watcher) Age(now bootclock.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentAt == 0 {
		return time.Hour
	}
	return now.Sub(w.currentAt)
}

// Version returns the version up to which the table is known, 0 if it is not.
func (w *watcher) Version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return 0
	}
	return w.version
}

// Since returns the rows with changes after a version that are relevant to
// requests, the version they lead to, and whether all such changes are known.
func (w *watcher) Since(after int64) (rows []ports.VersionedRow, to int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced || after < w.baseline {
		return nil, 0, false
	}
	for _, row := range w.rows {
		if row.relevantVersion > after {
			rows = append(rows, row.VersionedRow)
		}
	}
	return rows, w.version, true
}

// At returns the value that a row had at a version of the table, if it is known.
func (w *watcher) At(key string, version int64) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	row, ok := w.rows[key]
	if !ok || !w.synced {
		return nil, false
	}
	for _, r := range append([]ports.VersionedRow{row.VersionedRow}, row.earlier...) {
		if r.Version <= version {
			return r.Value, !r.Deleted
		}
	}
	return nil, false
}

// Era returns the era of the store in which the table was last read.
func (w *watcher) Era() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// recordEra records the era of an answer of the store, or of one that was relayed.
func (w *watcher) recordEra(era int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if era <= w.era {
		return
	}
	if w.era != 0 {
		w.restoredAt, w.clock = bootclock.Now(), storeClock{}
		w.log.WithFields(log.Fields{"table": w.table, "era": era}).Warn("store has come back from a copy")
	}
	w.era = era
}

// restored reports whether the store has come back from a copy within a time. What it
// lost may not have been written again yet.
func (w *watcher) restored(now bootclock.Time, within time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.restoredAt != 0 && now.Sub(w.restoredAt) < within
}

// Apply applies rows relayed by another instance: all changes after version from
// up to version to, which was the newest at asOf, in an era of the store. A relay that
// starts after the known version is ignored, since changes between would be missing.
func (w *watcher) Apply(from, to int64, rows []ports.VersionedRow, asOf bootclock.Time, era int64) {
	w.mu.Lock()
	complete := w.synced && from <= w.version
	w.mu.Unlock()
	if !complete {
		return
	}
	w.recordEra(era)
	if changed := w.applyRows(rows, to, asOf); changed {
		w.onAnswer(true)
	}
}

// applyRows applies the rows that are newer than the known ones, and records that
// version to was current at asOf.
func (w *watcher) applyRows(rows []ports.VersionedRow, to int64, asOf bootclock.Time) (changed bool) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	for _, row := range rows {
		if row.Table != w.table || !w.recordIfNewer(row) {
			continue
		}
		changed = true
		if w.applyRow(row) {
			w.mu.Lock()
			known := w.rows[row.Key]
			known.relevantVersion = row.Version
			w.rows[row.Key] = known
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = max(w.version, to)
	w.currentAt = max(w.currentAt, asOf)
	return changed
}

// recordIfNewer records a row if it is newer than the known one, and reports
// whether it was.
func (w *watcher) recordIfNewer(row ports.VersionedRow) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.rows[row.Key]
	if ok && row.Version <= known.Version {
		return false
	}
	w.rows[row.Key] = known.withChange(row, known.relevantVersion)
	return true
}

// reset applies a read of the whole table. Known rows that are not in it are
// treated as deleted.
func (w *watcher) reset(page ports.Page, asOf bootclock.Time) {
	w.mu.Lock()
	w.log.WithFields(log.Fields{"table": w.table, "rows": len(page.Rows), "version": page.Version, "known_version": w.version}).Info("table read")
	if w.rows == nil {
		w.rows = map[string]watchedRow{}
	}
	present := map[string]bool{}
	for _, row := range page.Rows {
		present[row.Key] = true
	}
	rows := page.Rows
	for key, row := range w.rows {
		if !present[key] && !row.Deleted && row.Version <= page.Version {
			rows = append(rows, ports.VersionedRow{Table: w.table, Key: key, Version: page.Version, Deleted: true})
		}
	}
	w.mu.Unlock()
	w.applyRows(rows, page.Version, asOf)
	w.mu.Lock()
	if w.baseline == 0 {
		// Later reads of the whole table give all changes since the state known
		// before, so the changes can still be relayed to others.
		w.baseline = page.Version
	}
	w.synced = true
	w.mu.Unlock()
}

// outage returns when the last store outage ended for this instance, and how long
// it lasted.
func (w *watcher) outage() (recoveredAt bootclock.Time, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recoveredAt, w.recoveredAt.Sub(w.failedAt)
}

// run keeps the table up to date until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Version() > 0 && w.relayFresh(bootclock.Now()) {
			w.onAnswer(false)
			duration.Sleep(ctx, relayCheckInterval)
			continue
		}
		sent := bootclock.Now()
		changed, err := w.poll(ctx, sent)
		switch {
		case errors.Is(err, ports.ErrHistoryGone):
			w.log.WithField("table", w.table).Info("history of the store is gone; reading the table anew")
			w.mu.Lock()
			w.synced = false
			w.mu.Unlock()
			continue
		case err != nil:
			w.recordFailure(err)
			duration.Sleep(ctx, w.retryDelay())
			continue
		}
		w.recordSuccess()
		w.onAnswer(changed)
		if delay := w.pause(); changed && delay > 0 {
			duration.Sleep(ctx, delay)
		}
	}
}

// pause returns the time between an answer with a change and the next feed call.
func (w *watcher) pause() time.Duration {
	return max(w.changePause, min(time.Duration(w.feederCount())*feedPausePerInstance, w.shareOfBound(maxFeedPauseShare)))
}

// feedDuration returns how long a feed call stays open without a change.
func (w *watcher) feedDuration() time.Duration {
	return max(w.wait, min(time.Duration(w.feederCount())*feedWaitPerInstance, w.shareOfBound(maxFeedWaitShare)))
}

func (w *watcher) shareOfBound(share float64) time.Duration {
	return time.Duration(share * float64(w.shortestBound))
}

// feederCount returns how many instances make feed calls for the table.
func (w *watcher) feederCount() int {
	if w.feeders == nil {
		return 1
	}
	return w.feeders()
}

// retryDelay returns the pause after a failed call.
func (w *watcher) retryDelay() time.Duration {
	return min(retryPause*time.Duration(max(w.feederCount(), retriesPerPause))/retriesPerPause, maxRetryPause)
}

// poll makes one call to the store, sent at the given time, and applies its answer.
func (w *watcher) poll(ctx context.Context, sent bootclock.Time) (changed bool, err error) {
	w.mu.Lock()
	synced, after := w.synced, w.version
	w.mu.Unlock()
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := w.store.Read(ctx, w.table)
		if err == nil {
			w.recordEra(page.Era)
			w.reset(page, w.answerTime(sent, page.Clock))
		}
		return true, err
	}
	wait := w.feedDuration()
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	page, err := w.store.Feed(ctx, w.table, after, wait)
	if err != nil {
		return false, err
	}
	return w.applyRows(page.Rows, page.Version, w.answerTime(sent, page.Clock)), nil
}

// answerTime returns a lower bound of the time at which the store gave its answer.
func (w *watcher) answerTime(sent bootclock.Time, clock time.Duration) bootclock.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.answerTime(sent, bootclock.Now(), clock)
}

// clockDrift is the margin for clock drift between this machine and the store.
const clockDrift = 20 * time.Millisecond

// storeClock estimates the offset of this machine's clock from the store's
// monotonic clock. An answer is given after its call was sent, which bounds the
// offset from below; the call that was answered fastest gives the best bound. A
// feed call may stay open for long, and with the offset its answer shows the state
// to be current at a later time than the one at which the call was sent.
type storeClock struct {
	offset bootclock.Time // lower bound of this machine's clock minus the store's
	known  bool
}

func (c *storeClock) answerTime(sent, received bootclock.Time, clock time.Duration) bootclock.Time {
	if clock <= 0 {
		return sent
	}
	if offset := sent.Add(-clock); !c.known || offset > c.offset {
		c.offset, c.known = offset, true
	}
	return max(sent, min(received, c.offset.Add(clock-clockDrift)))
}

func (w *watcher) recordFailure(err error) {
	w.mu.Lock()
	first := !w.failing
	if first {
		w.failing, w.failedAt = true, bootclock.Now()
	}
	w.mu.Unlock()
	if first {
		w.log.WithError(err).WithField("table", w.table).Warn("store lost")
	}
}

func (w *watcher) recordSuccess() {
	w.mu.Lock()
	recovered := w.failing
	if recovered {
		w.failing, w.recoveredAt = false, bootclock.Now()
	}
	length := w.recoveredAt.Sub(w.failedAt)
	w.mu.Unlock()
	if recovered {
		w.log.WithFields(log.Fields{"table": w.table, "outage_ms": length.Milliseconds()}).Info("store regained")
	}
}
