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
	// feedSlack is how much longer than its wait a feed call may take.
	feedSlack = 1200 * time.Millisecond
	// readTimeout bounds the read of a whole table.
	readTimeout = 2 * time.Second
	// watchRetry is the pause after a failed call at the leader and in small
	// systems. The instances together try about watchTries times in it, and each
	// at least once in maxWatchRetry: refused calls are paid for as well, and
	// whoever leads tells the others as soon as the store is back.
	watchRetry    = 200 * time.Millisecond
	watchTries    = 8
	maxWatchRetry = time.Second
	// followGapPerInstance spreads the feeds that the instances keep themselves
	// while there is no leader: each change of a busy table would otherwise cost a
	// call of each. Together they make about 250 calls a second and table.
	followGapPerInstance = 4 * time.Millisecond
	// followWaitPerInstance does the same for feeds without a change.
	followWaitPerInstance = 5 * time.Millisecond
	// followGapShare and followWaitShare bound both as shares of the shortest bound.
	followGapShare  = 0.25
	followWaitShare = 0.35
	// relayCheck is the time between two looks whether the relay is still good.
	relayCheck = 100 * time.Millisecond
)

// watcher follows one table of the store: through the leader's relay while
// that is fresh, else by a feed of its own.
type watcher struct {
	store ports.RowStore
	table string
	// wait is how long a feed call stays open without a change, and gap the
	// pause after a change, which collects those that come together.
	wait, gap time.Duration
	// change takes over one row; rows come in the order of their versions. It
	// reports whether the change matters to requests.
	change func(row ports.VersionedRow) (matters bool)
	// done is called after each answer, with whether anything changed.
	done func(changed bool)
	// followers returns how many instances follow the table while there is no
	// relay: 1 at the leader, whom the others rely on. Nil is 1.
	followers func() int
	// shortest is the time in which an instance has to act on a change.
	shortest time.Duration
	// relayed reports whether the leader's relay of the table can be relied on.
	relayed func(now bootclock.Time) bool
	log     log.Interface

	apply sync.Mutex // orders the calls of change

	mu       sync.Mutex
	rows     map[string]watchedRow // newest known, dropped ones included
	baseline int64                 // changes after this version are all in rows
	version  int64                 // rows are complete up to here
	synced   bool
	proved   bootclock.Time // the newest state at that time is known
	clock    storeClock
	failing  bool
	failed   bootclock.Time // first failure of the present or last outage
	back     bootclock.Time // end of the last outage
}

// watchedRow is a row and the version of its last change that mattered.
type watchedRow struct {
	ports.VersionedRow
	mattered int64
	// earlier are the values before, the newest first, if they are large: changes
	// of such rows are relayed by what differs.
	earlier []ports.VersionedRow
}

const (
	// keptValue is the size from which earlier values of a row are kept, and
	// keptValues their number: the desired state has 250 KB in a large deployment.
	keptValue  = 4 << 10
	keptValues = 3
)

// follow returns the row as it is known after a change.
func (r watchedRow) follow(row ports.VersionedRow, mattered int64) watchedRow {
	next := watchedRow{VersionedRow: row, mattered: mattered}
	if len(r.Value) > keptValue {
		next.earlier = append([]ports.VersionedRow{r.VersionedRow}, r.earlier...)
		next.earlier = next.earlier[:min(len(next.earlier), keptValues)]
	}
	return next
}

// Table returns the name of the table.
func (w *watcher) Table() string { return w.table }

// Age returns how long ago the state was proved to be the newest.
func (w *watcher) Age(now bootclock.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proved == 0 {
		return time.Hour
	}
	return now.Sub(w.proved)
}

// Version returns up to which version the table is known, 0 for not at all.
func (w *watcher) Version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return 0
	}
	return w.version
}

// Since returns the rows whose changes after a version matter to requests, and
// whether all of them are known.
func (w *watcher) Since(after int64) (rows []ports.VersionedRow, to int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced || after < w.baseline {
		return nil, 0, false
	}
	for _, row := range w.rows {
		if row.mattered > after {
			rows = append(rows, row.VersionedRow)
		}
	}
	return rows, w.version, true
}

// At returns the value that a row had up to a version of the table, if it is known.
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

// Apply takes over rows that another instance relays: all changes after a
// version up to another one, as of the time proved.
func (w *watcher) Apply(from, to int64, rows []ports.VersionedRow, proved bootclock.Time) {
	w.mu.Lock()
	complete := w.synced && from <= w.version
	w.mu.Unlock()
	if !complete {
		return
	}
	if changed := w.take(rows, to, proved); changed {
		w.done(true)
	}
}

// take applies the rows that are newer than the known ones.
func (w *watcher) take(rows []ports.VersionedRow, to int64, proved bootclock.Time) (changed bool) {
	w.apply.Lock()
	defer w.apply.Unlock()
	for _, row := range rows {
		if row.Table != w.table || !w.newer(row) {
			continue
		}
		changed = true
		if w.change(row) {
			w.mu.Lock()
			known := w.rows[row.Key]
			known.mattered = row.Version
			w.rows[row.Key] = known
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = max(w.version, to)
	w.proved = max(w.proved, proved)
	return changed
}

// newer records a row and reports whether it is newer than the known one.
func (w *watcher) newer(row ports.VersionedRow) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.rows[row.Key]
	if ok && row.Version <= known.Version {
		return false
	}
	w.rows[row.Key] = known.follow(row, known.mattered)
	return true
}

// reset takes over a whole table: known rows that are not in it were dropped.
func (w *watcher) reset(page ports.Page, proved bootclock.Time) {
	w.mu.Lock()
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
	w.take(rows, page.Version, proved)
	w.mu.Lock()
	if w.baseline == 0 {
		// Later reads of the whole table show all changes since the state that was
		// known before, so that others are still told of them.
		w.baseline = page.Version
	}
	w.synced = true
	w.mu.Unlock()
}

// outage returns when the last outage of the store ended for this instance,
// and how long it was.
func (w *watcher) outage() (back bootclock.Time, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.back, w.back.Sub(w.failed)
}

// run follows the table until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Version() > 0 && w.relayed(bootclock.Now()) {
			w.done(false)
			duration.Sleep(ctx, relayCheck)
			continue
		}
		sent := bootclock.Now()
		changed, err := w.follow(ctx, sent)
		switch {
		case errors.Is(err, ports.ErrHistoryGone):
			w.log.WithField("table", w.table).Info("history of the store is gone; reading the table anew")
			w.mu.Lock()
			w.synced = false
			w.mu.Unlock()
			continue
		case err != nil:
			w.fail(err)
			duration.Sleep(ctx, w.retry())
			continue
		}
		w.succeed()
		w.done(changed)
		if gap := w.pause(); changed && gap > 0 {
			duration.Sleep(ctx, gap)
		}
	}
}

// pause returns the time between an answer with a change and the next feed.
func (w *watcher) pause() time.Duration {
	return max(w.gap, min(time.Duration(w.sharers())*followGapPerInstance, w.share(followGapShare)))
}

// feedFor returns how long a feed stays open without a change.
func (w *watcher) feedFor() time.Duration {
	return max(w.wait, min(time.Duration(w.sharers())*followWaitPerInstance, w.share(followWaitShare)))
}

func (w *watcher) share(of float64) time.Duration { return time.Duration(of * float64(w.shortest)) }

// sharers returns how many instances follow the table as this one does.
func (w *watcher) sharers() int {
	if w.followers == nil {
		return 1
	}
	return w.followers()
}

// retry returns the pause after a failed call.
func (w *watcher) retry() time.Duration {
	return min(watchRetry*time.Duration(max(w.sharers(), watchTries))/watchTries, maxWatchRetry)
}

// follow makes one call of the store and takes over its answer.
func (w *watcher) follow(ctx context.Context, sent bootclock.Time) (changed bool, err error) {
	w.mu.Lock()
	synced, after := w.synced, w.version
	w.mu.Unlock()
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := w.store.Read(ctx, w.table)
		if err == nil {
			w.reset(page, w.asOf(sent, page.Clock))
		}
		return true, err
	}
	wait := w.feedFor()
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	page, err := w.store.Feed(ctx, w.table, after, wait)
	if err != nil {
		return false, err
	}
	return w.take(page.Rows, page.Version, w.asOf(sent, page.Clock)), nil
}

// asOf returns when the store has certainly given its answer, at the earliest.
func (w *watcher) asOf(sent bootclock.Time, clock time.Duration) bootclock.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.answered(sent, bootclock.Now(), clock)
}

// clockDrift is kept for the different speeds of two machines' clocks.
const clockDrift = 20 * time.Millisecond

// storeClock relates the store's steady clock to this machine's. An answer was
// given after its call was sent, which bounds the difference of the clocks from
// below; the call that was answered fastest gives the best bound. By it the
// answer to a feed, which may stay open for long, proves more than the time at
// which the feed was sent.
type storeClock struct {
	offset bootclock.Time // of this machine's clock over the store's, at least
	known  bool
}

func (c *storeClock) answered(sent, received bootclock.Time, clock time.Duration) bootclock.Time {
	if clock <= 0 {
		return sent
	}
	if offset := sent.Add(-clock); !c.known || offset > c.offset {
		c.offset, c.known = offset, true
	}
	return max(sent, min(received, c.offset.Add(clock-clockDrift)))
}

func (w *watcher) fail(err error) {
	w.mu.Lock()
	first := !w.failing
	if first {
		w.failing, w.failed = true, bootclock.Now()
	}
	w.mu.Unlock()
	if first {
		w.log.WithError(err).WithField("table", w.table).Warn("store lost")
	}
}

func (w *watcher) succeed() {
	w.mu.Lock()
	again := w.failing
	if again {
		w.failing, w.back = false, bootclock.Now()
	}
	length := w.back.Sub(w.failed)
	w.mu.Unlock()
	if again {
		w.log.WithFields(log.Fields{"table": w.table, "outage_ms": length.Milliseconds()}).Info("store regained")
	}
}
